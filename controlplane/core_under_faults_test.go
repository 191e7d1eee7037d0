package controlplane

import (
	"flag"
	"fmt"
	"sync"
	"testing"
)

var coreSeeds = flag.Uint64("core.seeds", 24, "seed count for TestCoresAreDurableAndLinearizableUnderFaults")

// Runs clusters of three and five real cores. Four operators pick the same revisions and retry each
// command until it is answered. Injected faults: disk writes of up to 2 s, full, lost and corrupt
// disks, one-way and two-way partitions, and power failures of one member, a majority or all, in the
// middle of a write and right after an acknowledgement. [Core] sends messages while its store
// writes, but it must not send a vote, term or acknowledgement before it is stored, or report an
// entry as committed that a majority has not stored. The operators' calls must be linearizable.
func TestCoresAreDurableAndLinearizableUnderFaults(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var total coverageCounts
	t.Run("seeds", func(t *testing.T) {
		for seed := range *coreSeeds {
			runInBubble(t, fmt.Sprint(seed), func(t *testing.T) {
				machines := 3
				if seed%4 == 3 {
					machines = 5
				}
				c := newFaultyCluster(t, seed, machines)
				if err := c.run(60); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				mu.Lock()
				defer mu.Unlock()
				total.add(&c.counts)
			})
		}
	})
	runs := int(*coreSeeds)
	t.Logf("%d runs: %+v", runs, total)
	if !t.Failed() && !total.sufficient(runs) {
		t.Error("too few events for a meaningful test")
	}
}
