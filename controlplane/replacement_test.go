package controlplane

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"example.org/elmspan/raft"
)

var repairSeeds = flag.Uint64("repair.seeds", 60, "runs of TestSecondLossAfterRepairIsBorne, each of six losses")

// A machine is lost, in any way, and the next one as soon as the first one or its successor
// has been back for 4 s: something is committed at least every 5 s, nothing that was committed
// is lost, and the number of voters is never an even one.
func TestSecondLossAfterRepairIsBorne(t *testing.T) {
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
				longestGap, changes = max(longestGap, s.longestGap), changes+s.changes
			}
			t.Logf("%d of %d failed; at most %d steps without a commit, %.1f changes of members a run",
				failed, *repairSeeds, longestGap, float64(changes)/float64(*repairSeeds))
		})
	}
}

// A voter that was lost before its leader was is replaced by the next leader an election time
// after that was elected: it has never answered that one, and is not waited for anew.
func TestLostVoterIsNotWaitedForAnewByEachLeader(t *testing.T) {
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
				t.Fatalf("seed %d: the lost voter still votes %d ticks after the election", seed, ticks)
			}
		}
	}
}

// With voters replaced in two steps, 0.2 s apart, and those that do not answer after 3 s, as it once was, a
// second loss finds no majority: TestSecondLossAfterRepairIsBorne finds such a fault.
func TestReplacementInTwoStepsBearsNoSecondLoss(t *testing.T) {
	t.Parallel()
	for _, alwaysLeader := range []bool{true, false} {
		failed := 0
		var first error
		for seed := range *repairSeeds {
			s := newReplacementSim(seed, 3, 0)
			s.formerPolicy, s.alwaysLeader = true, alwaysLeader
			if err := s.run(6, 1); err != nil {
				failed++
				if first == nil {
					first = err
				}
			}
		}
		t.Logf("always the leader: %t: %d of %d seeds fail, the first: %v", alwaysLeader, failed, *repairSeeds, first)
		if alwaysLeader && failed < int(*repairSeeds/4) {
			t.Errorf("%d of %d seeds: the former policy is not found to fail", failed, *repairSeeds)
		}
	}
}

// With one machine of a version that doesn't support joint changes, voters are replaced by one
// more and then one less, as before; no such machine ever votes by a joint change. Upgraded,
// it is recorded as such, and replacements are joint again.
func TestMachinesWithoutJointChangesAreBorne(t *testing.T) {
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
			t.Fatalf("seed %d: not all are recorded to support joint changes: %v", seed, members)
		}
	}
	if even == 0 || joint == 0 {
		t.Errorf("%d changes in two steps, %d joint ones: too few to show anything", even, joint)
	}
}

// checkJointChange returns how many outgoing voters there are, and requires that all of them
// support joint changes.
func (s *replacementSim) checkJointChange(members []raft.Member) int {
	outgoing := 0
	for _, m := range members {
		if !m.Outgoing {
			continue
		}
		outgoing++
		if x := s.machine(m.ID); x != nil && x.withoutJoint {
			s.fail("%d doesn't support joint changes, and is part of one", m.ID)
		}
	}
	return outgoing
}

// An even number of voters bears no more losses than one less: of four first voters one is a
// standby from then on.
func TestFourthFirstVoterBecomesStandby(t *testing.T) {
	t.Parallel()
	s := newReplacementSim(1, 4, 0)
	s.mixedVersions, s.voters = true, 3
	for _, m := range s.machines {
		m.policy.voters = 3
	}
	if err := s.run(6, 1); err != nil {
		t.Fatal(err)
	}
}
