package controlplane

import (
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
)

var historySeeds = flag.Uint64("history.seeds", 150, "runs of each test of histories")

// eachSeed runs worlds, four at a time, until one fails.
func eachSeed(t *testing.T, n uint64, run func(seed uint64) error) {
	t.Helper()
	var next atomic.Uint64
	var failed atomic.Bool
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			var seed uint64
			defer func() {
				if p := recover(); p != nil {
					panic(fmt.Sprintf("seed %d: %v", seed, p))
				}
			}()
			for !failed.Load() {
				if seed = next.Add(1) - 1; seed >= n {
					return
				}
				if err := run(seed); err != nil {
					failed.Store(true)
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
	all.Wait()
}

// However the members are cut off from each other, one way too, and whoever loses power when:
// what operators are answered is the history of one register. (Reported by the users: two
// changes on top of the same version were both confirmed while the network was cut.)
func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	var calls, applied atomic.Int64
	eachSeed(t, *historySeeds, func(seed uint64) error {
		s := newRegisterSim(seed, smallSim, "")
		if err := s.run(); err != nil {
			return err
		}
		if err := s.checkHistory(); err != nil {
			return err
		}
		calls.Add(int64(len(s.history)))
		applied.Add(int64(len(s.appliedVersions)))
		if got := s.linearizable(); got != porcupine.Ok {
			return fmt.Errorf("%v: %v", got, s.history)
		}
		return nil
	})
	n := int64(*historySeeds)
	t.Logf("%d runs: %d calls, %d changes applied", n, calls.Load(), applied.Load())
	if calls.Load() < 20*n || applied.Load() < 3*n {
		t.Error("too few to show anything")
	}
}

// Eight operators at once who pick the same revisions, answers that are lost, cuts of 20 s,
// one way too, slow links, doubled messages, storage that loses what was not synced, logs
// that are truncated, machines that are replaced, loss of power of all and of a disk right
// after an acknowledgement: every command that is acknowledged is in the history of all
// members, none that is refused is, nothing old is read back, and the newest is read back in
// the end. In every fifth run members forget all but four revisions. (Reported by the users:
// two operators were both confirmed under one revision, a command that was sent again was
// refused, and a member that had been cut off answered with an old configuration.)
func TestLargeHistoriesAreConsistent(t *testing.T) {
	t.Parallel()
	var calls, applied, disksLost atomic.Int64
	eachSeed(t, *historySeeds, func(seed uint64) error {
		config := largeSim
		if seed%5 == 4 {
			config.remembered = 4
		}
		s := newRegisterSim(seed, config, "")
		if err := s.run(); err != nil {
			return err
		}
		calls.Add(int64(len(s.history)))
		applied.Add(int64(len(s.appliedVersions)))
		disksLost.Add(int64(s.disksLost()))
		return s.checkHistory()
	})
	n := int64(*historySeeds)
	t.Logf("%d runs: %d calls, %d changes applied, %d disks lost", n, calls.Load(), applied.Load(), disksLost.Load())
	if calls.Load() < 60*n || applied.Load() < 8*n || disksLost.Load() < n/2 {
		t.Error("too few to show anything")
	}
}

// A day of hundreds of changes among all these faults: every command that was applied is
// acknowledged when it is sent again in the end.
func TestCommandsOfADayAreAcknowledgedWhenRetried(t *testing.T) {
	t.Parallel()
	day := largeSim
	day.steps = 50_000 // 42 min
	s := newRegisterSim(1, day, "")
	if err := s.run(); err != nil {
		t.Fatal(err)
	}
	if err := s.checkHistory(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d calls, %d changes applied, %d disks lost", len(s.history), len(s.appliedVersions), s.disksLost())
	if len(s.appliedVersions) < 3*maxAppliedBeforeDigests {
		t.Error("too few to show anything")
	}
}

func TestLinearizabilityCheckerFindsPlantedFaults(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{
		faultReadsUnconfirmed,
		faultRefusesUnconfirmed,
	} {
		t.Run(fault, func(t *testing.T) {
			requireFound(t, smallSim, fault, func(s *registerSim) error {
				// What the run itself finds is not asked here.
				_ = s.run()
				if got := s.linearizable(); got == porcupine.Illegal {
					return fmt.Errorf("%v", got)
				}
				return nil
			})
		})
	}
}

func TestHistoryCheckerFindsPlantedFaults(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{
		faultReadsUnconfirmed,
		faultRefusesUnconfirmed,
		faultIgnoresFingerprint,
		faultRemembersFour,
		faultAppliesWithoutEvaluation,
		faultConfirmsProposed,
		faultAnswersByIndexAlone,
		faultSendsBeforeSync,
		faultWipedKeepsID,
	} {
		t.Run(fault, func(t *testing.T) {
			requireFound(t, largeSim, fault, func(s *registerSim) error {
				if err := s.run(); err != nil {
					return err
				}
				return s.checkHistory()
			})
		})
	}
}

// requireFound requires that a check fails for a world with a planted fault, in one of 1,000 runs.
func requireFound(t *testing.T, config simConfig, fault string, check func(*registerSim) error) {
	t.Helper()
	for seed := range uint64(1000) {
		if err := check(newRegisterSim(seed, config, fault)); err != nil {
			t.Logf("seed %d: %.120s", seed, err)
			return
		}
	}
	t.Error("not found")
}
