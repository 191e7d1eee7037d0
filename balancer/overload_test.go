package balancer

import "testing"

// A limiter that has been refusing for lack of servers tries them again.
func TestServersAreUsedAfterOverloadEnds(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(2)...)
	for range 50 {
		id, a := s.submit(Submit{Plan: 3})
		s.do(Outcome{ID: id, Server: a.(StartAttempt).Server, Result: Success, LatencyMs: 400, Final: true})
		s.now += 20
	}
	s.submit(Submit{Plan: 3})
	s.submit(Submit{Plan: 3})
	if _, c := s.submit(Submit{Plan: 3}); c != nil {
		if _, ok := c.(Reject); !ok {
			t.Fatalf("400 ms an answer, aim 500, one in hand at each server: %#v, want Refuse", c)
		}
	}
	for id := range s.l.requests {
		r := s.l.requests[id]
		s.outcome(id, 0, r.attempts[0].server.info.ID, Success)
		break
	}
	if _, a := s.submit(Submit{Plan: 3}); a != nil {
		if _, ok := a.(StartAttempt); !ok {
			t.Errorf("a server has nothing in hand: %#v, want PassOn", a)
		}
	}
}

// Where many limiters stand before few servers, one request of each at every
// idle server is too much: servers that were overdriven never recovered.
func TestLargeFleetUsesIdleServersLess(t *testing.T) {
	for balancers, want := range map[int]int{2: 8, 16: 3} {
		cfg := testSettings()
		cfg.Balancers = balancers
		s := newLimiterDriver(t, cfg, testServers(8)...)
		for range 50 {
			id, a := s.submit(Submit{Plan: 3})
			s.do(Outcome{ID: id, Server: a.(StartAttempt).Server, Result: Success, LatencyMs: 400, Final: true})
		}
		out := 0
		for range 40 {
			if _, a := s.submit(Submit{Plan: 3}); a != nil {
				if _, ok := a.(StartAttempt); ok {
					out++
				}
			}
		}
		if out != want {
			t.Errorf("%d limiters, 8 slow servers: %d out, want %d", balancers, out, want)
		}
	}
}

// Tries whose remaining time shows that their latency target is missed are refused and
// spend nothing; a last try with more time than usual and time to spare passes.
func TestLateRequestIsRejected(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	for range 5 {
		id, a := s.submit(Submit{TimeoutMs: 1000})
		s.pass(id, a)
	}
	before := s.l.customers[0].balance
	if _, a := s.submit(Submit{TimeoutMs: 1400}); a != (Reject{ID: "r6", RetryAfterMs: 1000}) {
		t.Errorf("600 ms after the client began, aim 500: %#v", a)
	}
	if s.l.customers[0].balance != before {
		t.Error("a refused try spent units")
	}
	if _, a := s.submit(Submit{TimeoutMs: 1800}); a != nil {
		if _, ok := a.(StartAttempt); !ok {
			t.Errorf("200 ms after the client began: %#v", a)
		}
	}
}

// Under overload the request of least value for its work is rejected first.
func TestValueDecidesUnderOverload(t *testing.T) {
	cfg := testSettings()
	cfg.Plans[0].Price, cfg.Plans[3].Price = 5, 0.2
	s := newLimiterDriver(t, cfg, testServers(2)...)
	for range 60 {
		for _, plan := range []int{0, 3} {
			id, a := s.submit(Submit{Plan: plan, Customer: uint64(s.n)})
			if p, ok := a.(StartAttempt); ok {
				s.do(Outcome{ID: id, Server: p.Server, Result: Success, LatencyMs: 60, Final: true,
					Load: Load{Busy: -1}})
			}
		}
	}
	passed := map[int]int{}
	for i := range 200 {
		plan := []int{0, 3}[i%2]
		if _, a := s.submit(Submit{Plan: plan, Customer: uint64(s.n)}); a != nil {
			if _, ok := a.(StartAttempt); ok {
				passed[plan]++
			}
		}
	}
	if passed[0] <= passed[3] {
		t.Errorf("dear plan %d, cheap plan %d of 100 each", passed[0], passed[3])
	}
}

// Where clients mark their retries, a first try with a short time of its own has only
// just begun and is served; a retry with it is what is left of a time mostly over.
func TestFirstRequestsWithShortTimeoutAreServed(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	pass := func(e Submit) bool {
		t.Helper()
		id, a := s.submit(e)
		p, ok := a.(StartAttempt)
		if ok {
			s.do(Outcome{ID: id, Server: p.Server, Result: Success, LatencyMs: 20, Final: true, Load: Load{Busy: -1}})
		}
		s.now += 200
		return ok
	}
	for range 20 {
		pass(Submit{Plan: 3, TimeoutMs: 1000})
	}
	if pass(Submit{Plan: 3, TimeoutMs: 200}) {
		t.Error("with no retry marked so far a short time is taken for what is left")
	}
	if pass(Submit{Plan: 3, TimeoutMs: 200, Retry: true}) {
		t.Error("a late retry was sent on")
	}
	if !pass(Submit{Plan: 3, TimeoutMs: 200}) {
		t.Error("a first try in a hurry was refused")
	}
}
