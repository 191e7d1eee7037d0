package controlplane

import (
	"flag"
	"fmt"
	"sync"
	"testing"
)

var coreSeeds = flag.Uint64("core.seeds", 24, "runs of TestCoresUnderFaults")

// Real cores, three and five, with orders by four operators that pick the same numbers and
// are sent again until they are answered, while writes take up to 2 s, disks are full,
// stores are lost or found corrupt, machines are cut off, one way too, and power is lost
// by one, a majority or all, in the middle of a write and right after an acknowledgement.
// Whatever the loop of [Core] sends while its store writes: no vote, term or
// acknowledgement leaves before it is stored, nothing is told to be agreed that a majority
// has not stored, and operators are answered the history of one register.
func TestCoresUnderFaults(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	var sent, beside, checked, torn, powers, lost, calls, changes int
	t.Run("seeds", func(t *testing.T) {
		for seed := range *coreSeeds {
			runInBubble(t, fmt.Sprint(seed), func(t *testing.T) {
				machines := 3
				if seed%4 == 3 {
					machines = 5
				}
				w := newCoreWorld(t, seed, machines)
				if err := w.play(60); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				mu.Lock()
				defer mu.Unlock()
				s := &w.seen
				sent, beside, checked, torn = sent+s.sent, beside+s.beside, checked+s.checked, torn+s.torn
				powers, lost, calls, changes = powers+s.powers, lost+s.lost, calls+s.calls, changes+s.taken
			})
		}
	})
	n := int(*coreSeeds)
	t.Logf("%d runs: %d messages, %d of them beside a write, %d acknowledgements of entries; %d losses of power, %d in a write; %d stores lost; %d calls, %d changes",
		n, sent, beside, checked, powers, torn, lost, calls, changes)
	if !t.Failed() && (beside < 20*n || torn < n || lost < n || calls < 20*n || changes < 5*n) {
		t.Error("too little to show anything")
	}
}
