package storage

import (
	"flag"
	"runtime"
	"sync"
	"testing"
)

var diskSeeds = flag.Int("disk.seeds", 40, "number of seeds per test on the simulated disk; 10000 for a long run")

// runSeeds calls run concurrently with the seeds 1 to n, or fewer under the race detector,
// and returns the errors by seed.
func runSeeds(n int, run func(seed uint64) error) map[uint64]error {
	n = max(1, n/seedDivisor)
	var mu sync.Mutex
	var tasks sync.WaitGroup
	failures := map[uint64]error{}
	next := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		tasks.Go(func() {
			for seed := range next {
				if err := run(seed); err != nil {
					mu.Lock()
					failures[seed] = err
					mu.Unlock()
				}
			}
		})
	}
	for i := range n {
		next <- uint64(i) + 1
	}
	close(next)
	tasks.Wait()
	return failures
}

// checkSeeds calls run like runSeeds, and fails the test for each error.
func checkSeeds(t *testing.T, n int, run func(seed uint64) error) {
	t.Helper()
	for seed, err := range runSeeds(n, run) {
		t.Errorf("seed %d: %v", seed, err)
	}
}
