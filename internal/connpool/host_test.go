package connpool

import (
	"fmt"
	"testing"
	"time"
)

// A server announced at an address displaces the previous server at that address, whatever
// the earlier sequence of additions, moves and removals. Removed servers leave no state.
func TestServerAtAnAddressDisplacesTheOneBefore(t *testing.T) {
	p := New[string](10, time.Second, time.Second)
	p.Update("a", "x:1", 0, true)
	p.Update("b", "y:1", 0, true)
	p.Update("a", "z:1", 0, true) // moves away from x
	p.Update("c", "x:1", 0, true)
	if h := p.hosts["a"]; h.displaced || !h.available || h.Addr != "z:1" {
		t.Errorf("a server that moved before its old address was reused was displaced: %+v", h)
	}
	p.Update("d", "y:1", 0, true)
	if h := p.hosts["b"]; !h.displaced || h.available {
		t.Errorf("a displaced server is available: %+v", h)
	}
	if p.Update("b", "y:1", 0, true); p.hosts["b"].available {
		t.Error("an update made a displaced server available again")
	}
	p.Update("e", "y:1", 0, true)
	if p.Remove("e"); !p.hosts["d"].displaced || !p.hosts["b"].displaced || p.hosts["d"].available {
		t.Error("a displaced server is available after its successor was removed")
	}
	p.Retain(map[string]bool{"a": true, "c": true})
	p.Remove("a")
	p.Remove("c")
	p.Remove("nobody")
	if len(p.hosts)+len(p.byAddr) != 0 {
		t.Errorf("state left after all servers were removed: %v, %v", p.hosts, p.byAddr)
	}
}

// Applying a whole list takes linear time. An implementation in quadratic time took 2.2 s
// for 9,700 servers.
func BenchmarkList9700(b *testing.B) {
	for b.Loop() {
		p := New[string](10, time.Second, time.Second)
		for i := range 9700 {
			p.Update(fmt.Sprint(i), fmt.Sprint("10.0.0.1:", i), 0, true)
		}
	}
}
