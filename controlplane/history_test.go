package controlplane

import (
	"flag"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
)

var historySeeds = flag.Uint64("history.seeds", 150, "seed count for each test of histories")

// forEachSeed runs a simulation for each seed below n, four in parallel, until one fails.
func forEachSeed(t *testing.T, n uint64, run func(seed uint64) error) {
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

// The operators' calls are linearizable under one-way and two-way network partitions and power
// failures. Regression test for a user report: two changes on the same base revision were both
// confirmed during a partition.
func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	var calls, applied atomic.Int64
	forEachSeed(t, *historySeeds, func(seed uint64) error {
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
		t.Error("too few events for a meaningful test")
	}
}

// Eight concurrent operators pick the same revisions. Injected faults: lost responses, one-way and
// two-way partitions of 20 s, slow links, duplicate messages, storage that loses unsynced writes,
// log truncation, replaced machines, and a power failure of all members and the loss of a disk
// right after an acknowledgement. Every acknowledged command is in the history of all members, no
// refused command is, reads never return an outdated configuration, and the final read returns the
// newest. In every fifth run members remember only four revisions. Regression test for user
// reports: two operators were both confirmed under one revision, a retried command was refused, and
// a member answered with an outdated configuration after a partition.
func TestLargeHistoriesAreConsistent(t *testing.T) {
	t.Parallel()
	var calls, applied, disksLost atomic.Int64
	forEachSeed(t, *historySeeds, func(seed uint64) error {
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
		t.Error("too few events for a meaningful test")
	}
}

// Simulates hundreds of changes under the faults of TestLargeHistoriesAreConsistent. At the end,
// every applied command is acknowledged when it is retried.
func TestHundredsOfCommandsAreAcknowledgedWhenRetried(t *testing.T) {
	t.Parallel()
	config := largeSim
	config.steps = 50_000 // 42 min of simulated time
	s := newRegisterSim(1, config, "")
	if err := s.run(); err != nil {
		t.Fatal(err)
	}
	if err := s.checkHistory(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d calls, %d changes applied, %d disks lost", len(s.history), len(s.appliedVersions), s.disksLost())
	if len(s.appliedVersions) < 3*maxAppliedBeforeDigests {
		t.Error("too few events for a meaningful test")
	}
}

func TestLinearizabilityCheckerFindsPlantedFaults(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{
		faultReadsUnconfirmed,
		faultRefusesUnconfirmed,
	} {
		t.Run(fault, func(t *testing.T) {
			requireFaultDetected(t, smallSim, fault, func(s *registerSim) error {
				// Only the linearizability checker is under test: errors of the run are ignored.
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
			requireFaultDetected(t, largeSim, fault, func(s *registerSim) error {
				if err := s.run(); err != nil {
					return err
				}
				return s.checkHistory()
			})
		})
	}
}

// requireFaultDetected requires that a check detects a fault planted in all members within 1,000
// seeds.
func requireFaultDetected(t *testing.T, config simConfig, fault string, check func(*registerSim) error) {
	t.Helper()
	for seed := range uint64(1000) {
		if err := check(newRegisterSim(seed, config, fault)); err != nil {
			t.Logf("seed %d: %.120s", seed, err)
			return
		}
	}
	t.Error("fault not detected")
}
