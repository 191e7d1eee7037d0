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

// However the core is cut, one way too, and whoever loses power when: what
// operators are answered is the history of one register. (Told by the users: two
// changes on top of the same version were both confirmed while the network was cut.)
func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	var calls, taken atomic.Int64
	eachSeed(t, *historySeeds, func(seed uint64) error {
		w := newWorld(seed, small, "")
		if err := w.play(); err != nil {
			return err
		}
		if err := w.check(); err != nil {
			return err
		}
		calls.Add(int64(len(w.history)))
		taken.Add(int64(len(w.chain)))
		if got := w.linearizable(); got != porcupine.Ok {
			return fmt.Errorf("%v: %v", got, w.history)
		}
		return nil
	})
	if n := int64(*historySeeds); calls.Load() < 20*n || taken.Load() < 3*n {
		t.Errorf("%d calls, %d changes taken in %d histories: too few to show anything", calls.Load(), taken.Load(), n)
	}
}

// Eight operators at once who pick the same numbers, answers that are lost, cuts
// of 20 s, one way too, slow links, doubled messages, storage that loses what was
// not synced, logs that are cut short, machines that are replaced, loss of power
// of all and of a disk right after an acknowledgement: every order that is
// acknowledged is in the history of all members, none that is refused is, nothing
// old is read back, and the newest is read back in the end. In every fifth run
// members forget what is older than four versions. (Told by the users: two
// operators were both confirmed under one number, an order that was sent again
// was refused, and one that had been cut off handed out an old configuration.)
func TestHistoriesAtSize(t *testing.T) {
	t.Parallel()
	var calls, taken, replaced atomic.Int64
	eachSeed(t, *historySeeds, func(seed uint64) error {
		s := atSize
		if seed%5 == 4 {
			s.remembered = 4
		}
		w := newWorld(seed, s, "")
		if err := w.play(); err != nil {
			return err
		}
		calls.Add(int64(len(w.history)))
		taken.Add(int64(len(w.chain)))
		replaced.Add(int64(w.next - 100))
		return w.check()
	})
	n := int64(*historySeeds)
	t.Logf("%d runs: %d calls, %d changes taken, %d disks lost", n, calls.Load(), taken.Load(), replaced.Load())
	if calls.Load() < 60*n || taken.Load() < 8*n || replaced.Load() < n/2 {
		t.Errorf("%d calls, %d changes taken, %d disks lost in %d histories: too few to show anything", calls.Load(), taken.Load(), replaced.Load(), n)
	}
}

// A day of hundreds of changes among all these troubles: every order of it that was
// taken is acknowledged when it is sent again in the end.
func TestHistoryOfADay(t *testing.T) {
	t.Parallel()
	day := atSize
	day.steps = 50_000 // 42 min
	w := newWorld(1, day, "")
	if err := w.play(); err != nil {
		t.Fatal(err)
	}
	if err := w.check(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d calls, %d changes taken, %d disks lost", len(w.history), len(w.chain), w.next-100)
	if len(w.chain) < 3*maxAppliedBeforeDigests {
		t.Errorf("%d changes taken: too few to show anything", len(w.chain))
	}
}

// The checkers find what is to be found: registers with a fault in them.
func TestPlantedFaultsAreFound(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"reads without a confirmation", "turned down without a confirmation"} {
		found := false
		for seed := range uint64(1000) {
			w := newWorld(seed, small, fault)
			if w.play(); w.linearizable() == porcupine.Illegal {
				t.Logf("%s: seed %d", fault, seed)
				found = true
				break
			}
		}
		if !found {
			t.Errorf("%s: not found by the checker of linearizability", fault)
		}
	}
	for _, fault := range []string{"reads without a confirmation", "turned down without a confirmation", "told apart by number alone",
		"four versions remembered", "judged before it is proposed, and not again", "confirmed before it is agreed",
		"answered by another's entry", "promises before the disk has it", "a wiped member under its old id"} {
		found := false
		for seed := range uint64(1000) {
			w := newWorld(seed, atSize, fault)
			err := w.play()
			if err == nil {
				err = w.check()
			}
			if err != nil {
				t.Logf("%s: seed %d: %.120s", fault, seed, err)
				found = true
				break
			}
		}
		if !found {
			t.Errorf("%s: not found", fault)
		}
	}
}
