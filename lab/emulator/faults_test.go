package emulator

import (
	"math/rand/v2"
	"sync"
	"testing"

	"example.org/elmspan/lab/scenario"
)

// Faults that strike at the same time draw from one source, one after the other. Fails
// with -race where machines and servers are drawn under mutexes of their own.
func TestFaultsDrawTogether(t *testing.T) {
	f := &Fleet{rng: rand.New(rand.NewPCG(1, 3)), platform: &platform{}}
	for range 5 {
		f.nodes = append(f.nodes, &node{})
		f.platform.servers = append(f.platform.servers, &server{})
	}
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			if len(f.someNodes(2)) != 2 || len(f.someServers(3)) != 3 {
				t.Error("too few are drawn")
			}
		})
	}
	all.Wait()
}

// Each kind of fault that a day's file may have the emulator play is there, and no other.
func TestEveryEmulatedFaultIsThere(t *testing.T) {
	day := readPatientDay(t)
	for kind := range faultKinds {
		spec := &scenario.Fault{Kind: kind}
		if !spec.Emulated() {
			t.Errorf("%s is not one that the emulator plays", kind)
		}
		if s, err := newFault(day, spec); err != nil || s.fault == nil {
			t.Errorf("%s: %v", kind, err)
		}
	}
	emulated := 0
	for _, kind := range scenario.FaultKinds() {
		if (&scenario.Fault{Kind: kind}).Emulated() {
			emulated++
		} else if _, err := newFault(day, &scenario.Fault{Kind: kind}); err == nil {
			t.Errorf("%s is taken", kind)
		}
	}
	if emulated != len(faultKinds) {
		t.Errorf("%d kinds of faults, %d are there", emulated, len(faultKinds))
	}
}
