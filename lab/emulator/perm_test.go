package emulator

import (
	"math/rand/v2"
	"sync"
	"testing"
)

// Troubles that strike at the same time draw from one source, one after the
// other. Fails with -race where the platform and the fleet guard it by mutexes
// of their own.
func TestTroublesDrawTogether(t *testing.T) {
	f := &Fleet{rng: rand.New(rand.NewPCG(1, 3)), platform: &platform{}}
	for range 5 {
		f.nodes = append(f.nodes, &node{})
		f.platform.servers = append(f.platform.servers, &server{})
	}
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			if len(f.some(2)) != 2 || len(f.platform.pick(f.perm, 3)) != 3 {
				t.Error("too few are drawn")
			}
		})
	}
	all.Wait()
}
