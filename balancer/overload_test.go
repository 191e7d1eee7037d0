package balancer

import "testing"

// A limiter that rejected requests for lack of servers uses the servers again once they are
// idle.
func TestServersAreUsedAfterOverloadEnds(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(2)...)
	for range 50 {
		id, a := d.submit(Submit{Plan: 3})
		d.do(Outcome{ID: id, Server: a.(StartAttempt).Server, Result: Success, LatencyMs: 400, Final: true})
		d.now += 20
	}
	d.submit(Submit{Plan: 3})
	d.submit(Submit{Plan: 3})
	if _, c := d.submit(Submit{Plan: 3}); c != nil {
		if _, ok := c.(Reject); !ok {
			t.Fatalf("400 ms per response, target 500 ms, one request in flight per server: got %#v, want Reject", c)
		}
	}
	for id := range d.l.requests {
		r := d.l.requests[id]
		d.outcome(id, 0, r.attempts[0].server.info.ID, Success)
		break
	}
	if _, a := d.submit(Submit{Plan: 3}); a != nil {
		if _, ok := a.(StartAttempt); !ok {
			t.Errorf("a server is idle: got %#v, want StartAttempt", a)
		}
	}
}

// With many limiters and few servers, a request from each limiter to every idle server is too
// much: overloaded servers never recovered.
func TestLargeFleetUsesIdleServersLess(t *testing.T) {
	for balancers, want := range map[int]int{2: 8, 16: 3} {
		cfg := testSettings()
		cfg.Balancers = balancers
		d := newLimiterDriver(t, cfg, testServers(8)...)
		for range 50 {
			id, a := d.submit(Submit{Plan: 3})
			d.do(Outcome{ID: id, Server: a.(StartAttempt).Server, Result: Success, LatencyMs: 400, Final: true})
		}
		inFlight := 0
		for range 40 {
			if _, a := d.submit(Submit{Plan: 3}); a != nil {
				if _, ok := a.(StartAttempt); ok {
					inFlight++
				}
			}
		}
		if inFlight != want {
			t.Errorf("%d limiters, 8 slow servers: %d requests in flight, want %d", balancers, inFlight, want)
		}
	}
}

// A request whose remaining time shows that it misses the latency target is rejected without a
// charge. One that can still meet the target is admitted, although its client also began
// earlier.
func TestLateRequestIsRejected(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	for range 5 {
		id, a := d.submit(Submit{TimeoutMs: 1000})
		d.succeed(id, a)
	}
	before := d.l.customers[0].balance
	if _, a := d.submit(Submit{TimeoutMs: 1400}); a != (Reject{ID: "r6", RetryAfterMs: 1000}) {
		t.Errorf("600 ms after the client began, target 500 ms: got %#v, want Reject", a)
	}
	if d.l.customers[0].balance != before {
		t.Error("a rejected request was charged")
	}
	if _, a := d.submit(Submit{TimeoutMs: 1800}); a != nil {
		if _, ok := a.(StartAttempt); !ok {
			t.Errorf("200 ms after the client began: got %#v, want StartAttempt", a)
		}
	}
}

// Under overload, requests of the least value per work are rejected first.
func TestValueDecidesUnderOverload(t *testing.T) {
	cfg := testSettings()
	cfg.Plans[0].Price, cfg.Plans[3].Price = 5, 0.2
	d := newLimiterDriver(t, cfg, testServers(2)...)
	for range 60 {
		for _, plan := range []int{0, 3} {
			id, a := d.submit(Submit{Plan: plan, Customer: uint64(d.n)})
			if p, ok := a.(StartAttempt); ok {
				d.do(Outcome{ID: id, Server: p.Server, Result: Success, LatencyMs: 60, Final: true,
					Load: Load{Busy: -1}})
			}
		}
	}
	admitted := map[int]int{}
	for i := range 200 {
		plan := []int{0, 3}[i%2]
		if _, a := d.submit(Submit{Plan: plan, Customer: uint64(d.n)}); a != nil {
			if _, ok := a.(StartAttempt); ok {
				admitted[plan]++
			}
		}
	}
	if admitted[0] <= admitted[3] {
		t.Errorf("admitted %d of 100 of the expensive plan, %d of the cheap one", admitted[0], admitted[3])
	}
}

// Where clients mark their retries, a first request with a short timeout has only just begun
// and is served. A retry with the same timeout has little of its deadline left.
func TestFirstRequestsWithShortTimeoutAreServed(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	serve := func(e Submit) bool {
		t.Helper()
		id, a := d.submit(e)
		p, ok := a.(StartAttempt)
		if ok {
			d.do(Outcome{ID: id, Server: p.Server, Result: Success, LatencyMs: 20, Final: true, Load: Load{Busy: -1}})
		}
		d.now += 200
		return ok
	}
	for range 20 {
		serve(Submit{Plan: 3, TimeoutMs: 1000})
	}
	if serve(Submit{Plan: 3, TimeoutMs: 200}) {
		t.Error("without marked retries, a short timeout was not taken for the rest of a deadline")
	}
	if serve(Submit{Plan: 3, TimeoutMs: 200, Retry: true}) {
		t.Error("a late retry was forwarded")
	}
	if !serve(Submit{Plan: 3, TimeoutMs: 200}) {
		t.Error("a first request with a short timeout was rejected")
	}
}
