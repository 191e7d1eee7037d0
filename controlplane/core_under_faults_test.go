package controlplane

import (
	"flag"
	"fmt"
	"sync"
	"testing"
)

var coreSeeds = flag.Uint64("core.seeds", 24, "runs of TestCoresAreDurableAndLinearizableUnderFaults")

// Real cores, three and five, with commands by four operators that pick the same revisions and
// are sent again until they are answered, while writes take up to 2 s, disks are full, disks
// are lost or found corrupt, machines are cut off, one way too, and power is lost by one, a
// majority or all, in the middle of a write and right after an acknowledgement. Whatever
// [Core] sends while its store writes: no vote, term or acknowledgement is sent before it is
// stored, nothing is said to be committed that a majority has not stored, and operators are
// answered the history of one register.
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
		t.Error("too few to show anything")
	}
}
