package balancer

import (
	"math"
	"testing"
)

func TestTokenBucketAdmitsBurstAndRate(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	if got := s.admit(40, Submit{}); got != 20 {
		t.Errorf("a full bucket of 20 let %d through", got)
	}
	_, a := s.submit(Submit{})
	if r, ok := a.(Reject); !ok || math.Abs(r.RetryAfterMs-100) > 1 {
		t.Errorf("short of one unit at 10/s: got %#v, want a refusal for 100 ms", a)
	}
	s.now += 1000
	if got := s.admit(40, Submit{}); got != 10 {
		t.Errorf("after a second at 10/s %d passed", got)
	}
	s.now += 60000
	if got := s.admit(40, Submit{}); got != 20 {
		t.Errorf("the store holds 20, %d passed", got)
	}
	if got := s.admit(100, Submit{Plan: 3, Customer: 9}); got != 100 {
		t.Errorf("a plan without a quota let %d of 100 through", got)
	}
}

// An unseen customer starts with the burst split over its limiters; the rest
// is released when the peers have answered, and only what they have not
// reported. Found as a loss of the cheap plans: the held part never came back.
func TestNewCustomerStartsWithItsPartOfTheBurst(t *testing.T) {
	both := Submit{LimiterCount: 2}
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	if got := s.admit(40, both); got != 10 {
		t.Errorf("split of 20 over two let %d through", got)
	}
	s.do(peerLevels(1)) // a response without levels
	if got := s.admit(40, both); got != 10 {
		t.Errorf("after the peer's answer %d more passed, want 10", got)
	}
	s = newLimiterDriver(t, testSettings(), testServers(4)...)
	s.do(peerLevels(90000, 3)) // an older peer knows the level
	if got := s.admit(40, both); got != 3 {
		t.Errorf("sent a level of 3, %d passed", got)
	}
}

func TestAttemptsInFlightAreLimited(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	id, a := s.submit(Submit{Plan: 2})
	s.submit(Submit{Plan: 2})
	if _, c := s.submit(Submit{Plan: 2}); c == nil {
		t.Fatal("no answer")
	} else if _, ok := c.(Reject); !ok {
		t.Errorf("a third attempt out where two are allowed: %#v", c)
	}
	s.pass(id, a)
	if _, c := s.submit(Submit{Plan: 2}); c != nil {
		if _, ok := c.(StartAttempt); !ok {
			t.Errorf("one came back, the next is refused: %#v", c)
		}
	}
}

func TestActualUnitsCorrectTheBalance(t *testing.T) {
	cfg := testSettings()
	cfg.TrueUp = true
	s := newLimiterDriver(t, cfg, testServers(4)...)
	id, a := s.submit(Submit{})
	s.do(Outcome{ID: id, Server: a.(StartAttempt).Server, Result: Success, LatencyMs: 10, Final: true,
		ActualUnits: 25})
	if got := s.l.customers[0].balance; math.Abs(got+5) > 1e-9 {
		t.Errorf("balance %g after true units of 25 of 20, want -5", got)
	}
}

// Idle customers are forgotten, and come back with a full bucket they earned.
func TestIdleCustomersAreEvicted(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	for c := range 500 {
		s.admit(1, Submit{Customer: uint64(c)})
	}
	s.now += 2 * idleCustomerMs
	s.do(TimerFired{Name: "tick"})
	if len(s.l.customers) != 0 || len(s.l.customerList) != 0 || len(s.l.requests) != 0 {
		t.Errorf("%d customers, %d listed, %d requests are still held", len(s.l.customers), len(s.l.customerList),
			len(s.l.requests))
	}
	if got := s.admit(40, Submit{Customer: 3}); got != 20 {
		t.Errorf("a forgotten customer got %d, want its burst of 20", got)
	}
}

// What a customer costs does not grow with limiters that never touched it.
func TestCustomerCostIsIndependentOfFleetSize(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers = 470
	s := newLimiterDriver(t, cfg, testServers(4)...)
	s.submit(Submit{Customer: 5, LimiterCount: 200})
	s.do(TimerFired{Name: "tick"})
	if n := len(s.l.customers[5].peerViews); n > aggregatorCount {
		t.Errorf("a customer of 200 limiters has %d records of peers, want %d", n, aggregatorCount)
	}
}
