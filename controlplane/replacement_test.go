package controlplane

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"example.org/elmspan/raft"
)

var repairSeeds = flag.Uint64("repair.seeds", 60, "runs of TestSecondLossAfterRepair, each of six losses")

// A machine is lost, in any way, and the next one as soon as the first one or its
// successor has been back for 4 s: something is agreed on at least every 5 s, nothing
// that was agreed on is lost, and the number of voters is never an even one.
func TestSecondLossAfterRepair(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		voters, standBy int
		hard            bool
	}{{3, 0, false}, {3, 1, false}, {3, 2, false}, {5, 0, false}, {5, 2, false}, {3, 0, true}, {3, 1, true}} {
		t.Run(fmt.Sprint(c.voters, " and ", c.standBy, map[bool]string{true: ", always the leader"}[c.hard]), func(t *testing.T) {
			t.Parallel()
			failed, silence, changes := 0, 0, 0
			for seed := range *repairSeeds {
				s := newSite(seed, c.voters, c.standBy, "")
				s.hard = c.hard
				if err := s.days(6, c.voters/2); err != nil {
					if failed++; failed <= 3 {
						t.Error(err)
					}
				}
				silence, changes = max(silence, s.silence), changes+s.changes
			}
			t.Logf("%d of %d failed; at most %d steps without anything agreed on, %.1f changes of members a run", failed, *repairSeeds, silence,
				float64(changes)/float64(*repairSeeds))
		})
	}
}

// A voter that was lost before its leader was is replaced by the next leader an election
// time after it leads: it has never answered that one, and its silence is not counted anew.
func TestSilenceIsNotCountedAnew(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		s := newSite(seed, 5, 2, "")
		s.steps(syncTicks)
		l := s.leader()
		if l == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
		var lost *machine
		for _, m := range s.machines {
			if m != l && isVoter(l.node.Members(), m.id) {
				lost = m
			}
		}
		lost.node = nil
		s.steps(3)
		l.node = nil
		for i := 0; s.leader() == nil || s.leader() == l; i++ {
			if s.step(); i > mostSilence {
				t.Fatalf("seed %d: no new leader", seed)
			}
		}
		led := s.now
		for l = s.leader(); isVoter(l.node.Members(), lost.id); s.step() {
			if s.now-led > electionTicks+8 {
				t.Fatalf("seed %d: a voter that never answered still votes %d ticks after the election", seed, s.now-led)
			}
		}
	}
}

// With voters replaced in two steps, 0.2 s apart, and silent ones after 3 s, as it
// once was, a second loss finds a core without a majority: the test above would see it.
func TestTwoStepsBearNoSecondLoss(t *testing.T) {
	t.Parallel()
	for _, hard := range []bool{true, false} {
		failed := 0
		var first error
		for seed := range *repairSeeds {
			s := newSite(seed, 3, 0, "two steps")
			s.hard = hard
			if err := s.days(6, 1); err != nil {
				if failed++; first == nil {
					first = err
				}
			}
		}
		t.Logf("always the leader: %v: %d of %d seeds fail, the first: %v", hard, failed, *repairSeeds, first)
		if hard && failed < int(*repairSeeds/4) {
			t.Errorf("%d of %d seeds: the old way is not found to fail", failed, *repairSeeds)
		}
	}
}

// With one machine of a version that doesn't know joint changes, voters are replaced
// one more and then one less, as before; no such machine ever votes by a joint change.
// Upgraded, it is written down as such, and swaps are joint again.
func TestOlderVersions(t *testing.T) {
	t.Parallel()
	even, joint := 0, 0
	for seed := range *repairSeeds {
		s := newSite(seed, 3, 1, "")
		s.mixed = true
		s.machines[1].older = true
		s.see = func(ms []raft.Member) {
			if voterCount(ms)%2 == 0 {
				even++
			}
			for _, m := range ms {
				if x := s.by(m.ID); m.Outgoing {
					if joint++; x != nil && x.older {
						s.fail("%d is of an older version, and part of a joint change", m.ID)
					}
				}
			}
		}
		if err := s.days(4, 1); err != nil {
			t.Fatal(err)
		}
		s.machines[1].older = false
		if err := s.days(2, 1); err != nil {
			t.Fatal(err)
		}
		if l := s.leader(); slices.ContainsFunc(l.node.Members(), func(m raft.Member) bool { return !m.SupportsJoint && s.by(m.ID) != nil }) {
			t.Fatalf("seed %d: not all are known to understand joint changes: %v", seed, l.node.Members())
		}
	}
	if even == 0 || joint == 0 {
		t.Errorf("%d changes in two steps, %d joint ones: too few to say anything", even, joint)
	}
}

// An even number of voters bears no more losses than one less: of four first voters
// one stands by from then on.
func TestFourFirstVoters(t *testing.T) {
	t.Parallel()
	s := newSite(1, 4, 0, "")
	s.mixed, s.wanted = true, 3
	for _, m := range s.machines {
		m.policy.voters = 3
	}
	if err := s.days(6, 1); err != nil {
		t.Fatal(err)
	}
}
