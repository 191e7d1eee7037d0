package balancer

import (
	"math"
	"testing"
)

func TestTokenBucketAdmitsBurstAndRate(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	if got := d.admit(40, Submit{}); got != 20 {
		t.Errorf("a full bucket of 20 units admitted %d", got)
	}
	_, a := d.submit(Submit{})
	if r, ok := a.(Reject); !ok || math.Abs(r.RetryAfterMs-100) > 1 {
		t.Errorf("one unit short at 10 units/s: got %#v, want Reject with a retry after 100 ms", a)
	}
	d.now += 1000
	if got := d.admit(40, Submit{}); got != 10 {
		t.Errorf("1 s of refill at 10 units/s admitted %d, want 10", got)
	}
	d.now += 60000
	if got := d.admit(40, Submit{}); got != 20 {
		t.Errorf("60 s of refill admitted %d, want the burst of 20", got)
	}
	if got := d.admit(100, Submit{Plan: 3, Customer: 9}); got != 100 {
		t.Errorf("a plan without a quota admitted %d of 100", got)
	}
}

// A new customer starts with the burst divided by the number of its limiters. The rest is
// released when the peers have responded, less what they reported. Guards against a withheld
// part that is never released, which costs customers of cheap plans requests.
func TestNewCustomerStartsWithItsPartOfTheBurst(t *testing.T) {
	both := Submit{LimiterCount: 2}
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	if got := d.admit(40, both); got != 10 {
		t.Errorf("a burst of 20 divided by two limiters admitted %d, want 10", got)
	}
	d.do(peerLevels(1)) // a response without levels
	if got := d.admit(40, both); got != 10 {
		t.Errorf("%d more admitted after the peer responded, want 10", got)
	}
	d = newLimiterDriver(t, testSettings(), testServers(4)...)
	d.do(peerLevels(90000, 3)) // an older peer knows the level
	if got := d.admit(40, both); got != 3 {
		t.Errorf("%d admitted after a level of 3 from an older peer", got)
	}
}

func TestAttemptsInFlightAreLimited(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	id, a := d.submit(Submit{Plan: 2})
	d.submit(Submit{Plan: 2})
	if _, c := d.submit(Submit{Plan: 2}); c == nil {
		t.Fatal("the request got no response")
	} else if _, ok := c.(Reject); !ok {
		t.Errorf("third attempt in flight with MaxInFlight 2: got %#v, want Reject", c)
	}
	d.succeed(id, a)
	if _, c := d.submit(Submit{Plan: 2}); c != nil {
		if _, ok := c.(StartAttempt); !ok {
			t.Errorf("after one of two attempts has ended: got %#v, want StartAttempt", c)
		}
	}
}

func TestActualUnitsCorrectTheBalance(t *testing.T) {
	cfg := testSettings()
	cfg.TrueUp = true
	d := newLimiterDriver(t, cfg, testServers(4)...)
	id, a := d.submit(Submit{})
	d.do(Outcome{ID: id, Server: a.(StartAttempt).Server, Result: Success, LatencyMs: 10, Final: true,
		ActualUnits: 25})
	if got := d.l.customers[0].balance; math.Abs(got+5) > 1e-9 {
		t.Errorf("balance %g after 25 actual units with a burst of 20, want -5", got)
	}
}

// Idle customers are evicted and return with a full bucket.
func TestIdleCustomersAreEvicted(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	for c := range 500 {
		d.admit(1, Submit{Customer: uint64(c)})
	}
	d.now += 2 * idleCustomerMs
	d.do(TimerFired{Name: "tick"})
	if len(d.l.customers) != 0 || len(d.l.customerList) != 0 || len(d.l.requests) != 0 {
		t.Errorf("still held: %d customers, %d in the list, %d requests", len(d.l.customers), len(d.l.customerList),
			len(d.l.requests))
	}
	if got := d.admit(40, Submit{Customer: 3}); got != 20 {
		t.Errorf("%d admitted for an evicted customer, want its burst of 20", got)
	}
}

// The state of a customer does not grow with limiters that have never reported on it.
func TestCustomerCostIsIndependentOfFleetSize(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers = 470
	d := newLimiterDriver(t, cfg, testServers(4)...)
	d.submit(Submit{Customer: 5, LimiterCount: 200})
	d.do(TimerFired{Name: "tick"})
	if n := len(d.l.customers[5].peerViews); n > aggregatorCount {
		t.Errorf("a customer of 200 limiters has %d peer views, want at most %d", n, aggregatorCount)
	}
}
