package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	durabilitySeeds   = 200
	minDurabilityRuns = 120 // the others are cut short by random crashes of the simulation
)

// A member that restarts with its disk rolled back to a state before its last acknowledgements is
// notified of that by the leader that received them, whichever messages are lost, delayed or
// duplicated. A member that restarts with its disk intact is not notified. Without the notification
// the leader would count entries that the member no longer has.
func TestMemberWithRolledBackDiskIsNotified(t *testing.T) {
	t.Parallel()
	completed := 0
	for seed := range uint64(durabilitySeeds) {
		if runRolledBackDisk(t, seed) {
			completed++
		}
	}
	if completed < minDurabilityRuns {
		t.Errorf("%d of %d runs completed", completed, durabilitySeeds)
	}
}

// rolledBackDiskRun is a simulation in which one follower crashes and restarts.
type rolledBackDiskRun struct {
	*simCluster
	leader *Node
	id     ID // of the follower that restarts
}

// runRolledBackDisk simulates one run, in which the follower restarts with a disk that was rolled
// back if the seed is even. It returns false if the run could not be completed.
func runRolledBackDisk(t *testing.T, seed uint64) bool {
	t.Helper()
	s := newSimCluster(t, seed)
	run := &rolledBackDiskRun{simCluster: s, leader: s.awaitLeader(), id: 1}
	if run.leader.cfg.ID == run.id {
		run.id = 2
	}
	if !run.acknowledgeValues(1 + int(seed%5)) {
		return false
	}
	earlier := *s.disks[run.id]
	earlier.Entries = slices.Clone(earlier.Entries)
	if !run.acknowledgeValues(1 + int(seed%7)) {
		return false
	}
	lost := seed%2 == 0
	s.crash(run.id)
	if lost {
		s.disks[run.id] = &earlier
	}
	s.start(run.id)
	n := s.nodes[run.id]
	run.runUntilNotified(n)
	if !run.leads() {
		return false
	}
	if n.LostDurability() != lost {
		t.Errorf("seed %d: entries lost: %v, notified: %v, last index %d, acknowledged index %d",
			seed, lost, n.LostDurability(), n.LastIndex(), run.leader.progress[run.id].matchIndex)
	}
	return true
}

// leads reports whether the leader has not crashed and still leads.
func (r *rolledBackDiskRun) leads() bool {
	return r.nodes[r.leader.cfg.ID] == r.leader && r.leader.Role() == Leader
}

// acknowledgeValues proposes values and runs the simulation until the follower has acknowledged all
// of them. It returns false if the leader or the follower crashed, or the leader changed.
func (r *rolledBackDiskRun) acknowledgeValues(count int) bool {
	for i := range count {
		if r.nodes[r.id] == nil || !r.leads() {
			return false
		}
		r.propose(r.leader, fmt.Appendf(nil, "%d at %d", i, r.leader.LastIndex()))
		r.step()
	}
	isUp := func() bool { return r.nodes[r.id] != nil && r.leads() }
	for isUp() && r.leader.progress[r.id].matchIndex < r.leader.LastIndex() {
		r.step()
	}
	return isUp()
}

// runUntilNotified runs the leader and the restarted follower, without crashes of the follower, until
// the follower is notified, the leader no longer leads, or a limit of 400 steps is reached.
func (r *rolledBackDiskRun) runUntilNotified(n *Node) {
	rng := rand.New(rand.NewPCG(r.seed, 8))
	for i := 0; i < 400 && !n.LostDurability() && r.leads(); i++ {
		if i%9 == 0 && rng.IntN(2) == 0 {
			r.propose(r.leader, []byte("more"))
		}
		messages := r.network
		r.network = nil
		r.leader.Tick()
		r.runHost(r.leader.cfg.ID)
		n.Tick()
		r.runHostWithoutDisk(n)
		for _, m := range messages {
			switch percent := rng.IntN(100); {
			case percent < 5:
			case percent < 20:
				r.network = append(r.network, m)
			case m.To == r.id:
				n.Step(m)
				r.runHostWithoutDisk(n)
			case r.nodes[m.To] != nil:
				r.nodes[m.To].Step(m)
				r.runHost(m.To)
			}
		}
	}
}

// runHostWithoutDisk processes the pending work of a member without storing anything.
func (s *simCluster) runHostWithoutDisk(n *Node) {
	for r := n.Ready(); !r.Empty() && !n.LostDurability(); r = n.Ready() {
		s.network = append(s.network, r.Messages...)
		n.Advance(r)
	}
}
