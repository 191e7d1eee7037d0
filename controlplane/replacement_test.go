package controlplane

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"example.org/elmspan/raft"
)

var repairSeeds = flag.Uint64("repair.seeds", 60, "runs of TestSecondLossAfterRepairIsTolerated, of six losses each")

// A machine is lost, in any way, and the next one as soon as the first one or its replacement has
// been back for 4 s. With five voters, two machines may be lost at a time. An entry is committed at
// least every 5 s, no committed entry is lost, and the number of voters stays the configured one: it
// is never even.
func TestSecondLossAfterRepairIsTolerated(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		voters, standbys int
		alwaysLeader     bool
	}{
		{voters: 3, standbys: 0},
		{voters: 3, standbys: 1},
		{voters: 3, standbys: 2},
		{voters: 5, standbys: 0},
		{voters: 5, standbys: 2},
		{voters: 3, standbys: 0, alwaysLeader: true},
		{voters: 3, standbys: 1, alwaysLeader: true},
	} {
		name := fmt.Sprintf("%d voters, %d standbys, leader %t", c.voters, c.standbys, c.alwaysLeader)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failed, longestGap, changes := 0, 0, 0
			for seed := range *repairSeeds {
				s := newReplacementSim(seed, c.voters, c.standbys)
				s.alwaysLeader = c.alwaysLeader
				if err := s.run(6, c.voters/2); err != nil {
					failed++
					t.Error(err)
				}
				longestGap, changes = max(longestGap, s.longestGap), changes+s.memberChanges
			}
			t.Logf("%d of %d failed; at most %d steps without a commit, %.1f membership changes per run",
				failed, *repairSeeds, longestGap, float64(changes)/float64(*repairSeeds))
		})
	}
}

// A voter is lost, and then the leader. The voter has never answered the next leader, which replaces
// it one election timeout after its own election instead of waiting for the full timeout again.
func TestNewLeaderDoesNotRestartLostVoterTimeout(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newReplacementSim(seed, 5, 2)
		s.steps(repairTicks)
		first := s.leader()
		if first == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
		var lost *simMachine
		for _, m := range s.machines {
			if m != first && isVoter(first.node.Members(), m.id) {
				lost = m
			}
		}
		lost.node = nil
		s.steps(3)
		first.node = nil
		next, err := s.awaitNewLeader(first)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		elected := s.now
		for ; isVoter(next.node.Members(), lost.id); s.step() {
			if ticks := s.now - elected; ticks > electionTicks+8 {
				t.Fatalf("seed %d: the lost voter is still a voter %d ticks after the election", seed, ticks)
			}
		}
	}
}

// With the former policy, which replaces voters in two steps 0.2 s apart and only after 3 s without an
// answer, a second loss leaves no majority. This shows that TestSecondLossAfterRepairIsTolerated
// detects such a policy.
func TestTwoStepReplacementFailsOnSecondLoss(t *testing.T) {
	t.Parallel()
	for _, alwaysLeader := range []bool{true, false} {
		failed := 0
		var first error
		for seed := range *repairSeeds {
			s := newReplacementSim(seed, 3, 0)
			s.twoStepPolicy, s.alwaysLeader = true, alwaysLeader
			if err := s.run(6, 1); err != nil {
				failed++
				if first == nil {
					first = err
				}
			}
		}
		t.Logf("always the leader: %t: %d of %d seeds failed, the first: %v", alwaysLeader, failed, *repairSeeds, first)
		if alwaysLeader && failed < int(*repairSeeds/4) {
			t.Errorf("%d of %d seeds failed: the fault of the former policy is not detected", failed, *repairSeeds)
		}
	}
}

// While one machine runs a version without joint membership changes, voters are replaced in two
// steps, by adding one and then removing one, and that machine is never part of a joint change.
// After its upgrade, the machine is recorded as supporting joint changes, and replacements are
// joint again.
func TestMachinesWithoutJointChangesAreSupported(t *testing.T) {
	t.Parallel()
	even, joint := 0, 0
	for seed := range *repairSeeds {
		s := newReplacementSim(seed, 3, 1)
		s.mixedVersions = true
		s.machines[1].withoutJoint = true
		s.observeChanges = func(members []raft.Member) {
			if voterCount(members)%2 == 0 {
				even++
			}
			joint += s.checkJointChange(members)
		}
		if err := s.run(4, 1); err != nil {
			t.Fatal(err)
		}
		s.machines[1].withoutJoint = false
		if err := s.run(2, 1); err != nil {
			t.Fatal(err)
		}
		members := s.leader().node.Members()
		if slices.ContainsFunc(members, func(m raft.Member) bool {
			return !m.SupportsJoint && s.machine(m.ID) != nil
		}) {
			t.Fatalf("seed %d: not all members are recorded as supporting joint changes: %v", seed, members)
		}
	}
	if even == 0 || joint == 0 {
		t.Errorf("%d two-step changes, %d joint changes: too few for a meaningful test", even, joint)
	}
}

// checkJointChange returns the number of outgoing voters, and requires that all of them support
// joint changes.
func (s *replacementSim) checkJointChange(members []raft.Member) int {
	outgoing := 0
	for _, m := range members {
		if !m.Outgoing {
			continue
		}
		outgoing++
		if x := s.machine(m.ID); x != nil && x.withoutJoint {
			s.fail("member %d is part of a joint change, which it doesn't support", m.ID)
		}
	}
	return outgoing
}

// An even number of voters tolerates no more losses than one voter less: one of four initial voters
// becomes a standby.
func TestFourthInitialVoterBecomesStandby(t *testing.T) {
	t.Parallel()
	s := newReplacementSim(1, 4, 0)
	// mixedVersions is set only because it disables the check of the number of voters.
	s.mixedVersions, s.voters = true, 3
	for _, m := range s.machines {
		m.policy.voters = 3
	}
	if err := s.run(6, 1); err != nil {
		t.Fatal(err)
	}
}
