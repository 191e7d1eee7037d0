package connpool

import (
	"fmt"
	"testing"
	"time"
)

// A server that comes to an address ends the use of the one that was there, however servers
// came, moved and went before; and nothing is kept of servers that are gone.
func TestServerAtAnAddressDisplacesTheOneBefore(t *testing.T) {
	p := New[string](10, time.Second, time.Second)
	p.Update("a", "x:1", 0, true)
	p.Update("b", "y:1", 0, true)
	p.Update("a", "z:1", 0, true) // moved: x is free
	p.Update("c", "x:1", 0, true)
	if h := p.hosts["a"]; h.displaced || !h.available || h.Addr != "z:1" {
		t.Errorf("one that moved before another came to its address is gone: %+v", h)
	}
	p.Update("d", "y:1", 0, true)
	if h := p.hosts["b"]; !h.displaced || h.available {
		t.Errorf("one whose address another has gets requests: %+v", h)
	}
	if p.Update("b", "y:1", 0, true); p.hosts["b"].available {
		t.Error("one whose address another has is available again")
	}
	p.Update("e", "y:1", 0, true)
	if p.Remove("e"); !p.hosts["d"].displaced || !p.hosts["b"].displaced || p.hosts["d"].available {
		t.Error("one whose address another had gets requests when that one went")
	}
	p.Retain(map[string]bool{"a": true, "c": true})
	p.Remove("a")
	p.Remove("c")
	p.Remove("nobody")
	if len(p.hosts)+len(p.byAddr) != 0 {
		t.Errorf("kept: %v, %v", p.hosts, p.byAddr)
	}
}

// A whole list costs a step for each server. (It was one for each pair: 2.2 s at 9,700.)
func BenchmarkList9700(b *testing.B) {
	for b.Loop() {
		p := New[string](10, time.Second, time.Second)
		for i := range 9700 {
			p.Update(fmt.Sprint(i), fmt.Sprint("10.0.0.1:", i), 0, true)
		}
	}
}
