package balancer

import (
	"fmt"
	"testing"
)

func TestDrainingServersGetNoRequests(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(2)...)
	s.do(Endpoints{Scope: Partial, Servers: []ServerInfo{{ID: 1, Phase: Draining}}})
	for range 10 {
		if id, a := s.submit(Submit{Plan: 3}); a.(StartAttempt).Server != 2 {
			t.Fatal("sent to a draining server")
		} else {
			s.pass(id, a)
		}
	}
	s.do(Endpoints{Scope: Complete, Servers: []ServerInfo{{ID: 3}}})
	for range 10 {
		if id, a := s.submit(Submit{Plan: 3}); a.(StartAttempt).Server != 3 {
			t.Fatal("sent to a server missing from the whole list")
		} else {
			s.pass(id, a)
		}
	}
	s.do(Endpoints{Scope: Failed})
	if _, a := s.submit(Submit{Plan: 3}); a.(StartAttempt).Server != 3 {
		t.Error("a failed list call changed the list")
	}
	s.do(Endpoints{Scope: Complete})
	if _, a := s.submit(Submit{Plan: 3}); a != (Reject{ID: "r22", RetryAfterMs: rejectedPauseMs}) {
		t.Errorf("with no server: %#v", a)
	}
}

// A report of a server's load, however high, keeps no server out of use. Found
// on an overloaded day, when reports that were believed left one server in ten
// in use, and again when leaving them out served a twentieth more.
func TestLoadReportsExcludeNoServer(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	used := map[uint64]int{}
	for range 100 {
		id, a := s.submit(Submit{Plan: 3})
		p, ok := a.(StartAttempt)
		if !ok {
			t.Fatalf("refused beside idle servers: %#v", a)
		}
		used[p.Server]++
		s.do(Outcome{ID: id, Server: p.Server, Result: Success, LatencyMs: 60, Final: true,
			Load: Load{Busy: 200 * float64(p.Server)}})
		s.now += 20
	}
	for id := uint64(1); id <= 4; id++ {
		if used[id] < 10 {
			t.Errorf("server %d got %d of 100", id, used[id])
		}
	}
}

// subsetPairs lists the pairs of a limiter and a server of its subset.
func (c *testFleet) subsetPairs() map[[2]uint64]bool {
	pairs := map[[2]uint64]bool{}
	for i, l := range c.limiters {
		for id, s := range l.servers {
			if s.inSubset {
				pairs[[2]uint64{uint64(i), id}] = true
			}
		}
	}
	return pairs
}

// One of many limiters uses few servers, every server has equally many limiters, and a change
// of the list moves little. Fails where each chooses among all.
func TestSubsetsAreBalanced(t *testing.T) {
	const n, servers = 80, 60
	f := testServers(servers)
	c := newTestFleet(t, testSettings(), n, f)
	before := c.subsetPairs()
	at := map[uint64]int{}
	for p := range before {
		at[p[1]]++
	}
	for _, s := range f {
		if at[s.ID] < n/4-4 || at[s.ID] > n/4+4 {
			t.Errorf("server %d has %d limiters of %d", s.ID, at[s.ID], n)
		}
	}
	if used := c.usedConnections(4000); used == 0 || used > n*servers/4 {
		t.Errorf("%d limiters use %d connections to %d servers", n, used, servers)
	}
	removed := f[7]
	removed.Phase = Removed
	for i := range n {
		c.event(i, Endpoints{Scope: Partial, Servers: []ServerInfo{removed}})
	}
	after, moved := c.subsetPairs(), 0
	for p := range after {
		if !before[p] {
			moved++
		}
	}
	if moved > 2*n { // the one that was removed, and a place at each edge
		t.Errorf("%d of %d pairs are new after one server went", moved, len(after))
	}
	// With its subset out of reach a limiter goes on with the others.
	for _, s := range c.limiters[0].servers {
		s.down = s.inSubset
	}
	if !c.submit(0, Submit{Plan: 3, Customer: 1, LimiterCount: n}) {
		t.Error("a limiter whose subset is down rejected a request")
	}
}

// usedConnections makes requests at the limiters in turn and counts the pairs of a limiter and
// a server that they use.
func (c *testFleet) usedConnections(requests int) int {
	n := len(c.limiters)
	used := map[[2]int]bool{}
	for k := range requests {
		l := c.limiters[k%n]
		submit := Submit{ID: fmt.Sprint(k), TimeoutMs: 1500, Plan: 3, Customer: 1, LimiterCount: n, Units: 1}
		for _, a := range append([]Action(nil), l.Handle(c.now, submit)...) {
			if a, ok := a.(StartAttempt); ok {
				used[[2]int{k % n, int(a.Server)}] = true
				l.Handle(c.now, Outcome{ID: a.ID, Server: a.Server, Result: Success, LatencyMs: 20, Final: true})
			}
		}
		c.now += 2.5
	}
	return len(used)
}

// One of many limiters spreads what it has out at once over different servers: a
// further request at a busy one waits there, and needs a connection of its own.
// Fails where chance alone decides.
func TestBusyServersComeLast(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers = 80
	twice := 0
	for seed := range uint64(50) {
		l, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		l.Handle(1000, Endpoints{Scope: Persisted, Servers: testServers(12)})
		used := map[uint64]bool{}
		for k := range 6 {
			for _, a := range l.Handle(1000,
				Submit{ID: fmt.Sprint(k), TimeoutMs: 1500, Plan: 3, LimiterCount: 1, Units: 1}) {
				if a, ok := a.(StartAttempt); ok {
					if used[a.Server] {
						twice++
					}
					used[a.Server] = true
				}
			}
		}
		if len(used) < 2 {
			t.Errorf("seed %d: only %d servers were used", seed, len(used))
		}
	}
	if twice > 50*6/15 {
		t.Errorf("%d of %d requests went to a server in use, with six idle ones left", twice, 50*6)
	}
}
