package balancer

import (
	"math/rand/v2"
	"testing"
)

// The limiters' shares of a hard limit never exceed it, whatever is lost.
func TestEscrowStaysWithinItsPart(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	plan := testSettings().Plans[1]
	start := s.now
	s.now += 1e6
	spent := 0
	begin := s.now
	s.l.getOrCreateCustomer(s.now, 0, 1, 2).balance = 1e9
	s.l.cfg.Plans[1].Burst, s.l.cfg.Plans[1].Rate = 1e9, 1e9
	for range 500 {
		s.now += 10
		spent += s.admit(3, Submit{Plan: 1, LimiterCount: 2})
	}
	if limit := (plan.HardBurst + plan.HardRate*(s.now-begin)/1000) / 2; float64(spent) > limit {
		t.Errorf("passed %d, this limiter's half is %g", spent, limit)
	}
	s = newLimiterDriver(t, testSettings(), testServers(4)...)
	if n := s.admit(10, Submit{Plan: 1, LimiterCount: 2}); n != 0 || s.now != start {
		t.Errorf("a limiter that just started passed %d of an empty share", n)
	}
}

// The shares of a hard limit of hundreds of limiters that receive nothing of each
// other, with restarts, never add up to more than the hard limit.
func TestEscrowPartsAddUp(t *testing.T) {
	const n = 300
	cfg := testSettings()
	cfg.Plans[1] = Plan{Rate: 1e6, Burst: 1e6, HardRate: 400, HardBurst: 900, Price: 1}
	c := newTestFleet(t, cfg, n, testServers(4))
	c.lose = func(int, int) bool { return true }
	rng := rand.New(rand.NewPCG(3, 3))
	c.now += 10000
	store := 900.0
	for range 8000 {
		c.now++
		store = min(900, store+0.4)
		i := rng.IntN(n)
		if c.submit(i, Submit{Plan: 1, Customer: 1, LimiterCount: n}) {
			store--
		}
		if store < 0 {
			t.Fatal("the hard limit is passed")
		}
		if rng.IntN(200) == 0 {
			cfg.Balancers, cfg.Position = n, i
			l, err := New(cfg, rng.Uint64())
			if err != nil {
				t.Fatal(err)
			}
			c.limiters[i] = l
			c.event(i, Endpoints{Scope: Persisted, Servers: testServers(4)})
		}
	}
}

// A customer of eleven limiters has most of its requests come through one, which
// needs more of the hard limit than an equal share. Fails without grants. Whatever is
// lost, and with limiters starting anew, all together never pass the hard limit.
func TestEscrowGrantsFollowDemand(t *testing.T) {
	const n = 11
	cfg := testSettings()
	cfg.Plans[1] = Plan{Rate: 12, Burst: 22, HardRate: 25, HardBurst: 46, Price: 1}
	for _, p := range []struct {
		demand, skew, lost float64
		restarts           bool
		minShare           float64 // share that passes
	}{{8, 0.7, 0.1, false, 0.85}, {8, 0.7, 1, false, 0}, {400, 0.2, 0.3, false, 0}, {60, 0.5, 0.5, true, 0}, {400,
		0.9, 0.9, true, 0}} {
		c := newTestFleet(t, cfg, n, testServers(4))
		rng := rand.New(rand.NewPCG(4, 4))
		c.lose = func(int, int) bool { return rng.Float64() < p.lost }
		c.now += 10000
		c.ticks(tickIntervalMs)
		store, at, requested, passed := 46.0, c.now, 0.0, 0.0
		for end := c.now + 20000; c.now < end; {
			c.ticks(tickIntervalMs)
			for range int(p.demand*tickIntervalMs/1000/1.5 + rng.Float64()) {
				i, units := 1+rng.IntN(n-1), float64(1+rng.IntN(2))
				if rng.Float64() < p.skew {
					i = 3
				}
				requested += units
				if c.submit(i, Submit{Plan: 1, Customer: 1, LimiterCount: n, Units: units}) {
					store, at = min(46, store+(c.now-at)*25/1000)-units, c.now
					passed += units
				}
				if store < -1e-6 {
					t.Fatalf("%+v: the hard limit is passed by %g", p, -store)
				}
			}
			if p.restarts && rng.IntN(10) == 0 {
				cfg.Balancers, cfg.Position = n, rng.IntN(n)
				l, err := New(cfg, rng.Uint64())
				if err != nil {
					t.Fatal(err)
				}
				c.limiters[cfg.Position] = l
				c.event(cfg.Position, Endpoints{Scope: Persisted, Servers: testServers(4)})
			}
		}
		if passed < p.minShare*requested {
			t.Errorf("%+v: %.0f of %.0f units passed", p, passed, requested)
		}
	}
}

// A fleet that has just begun has full hard limits as soon as its limiters have received from
// each other; one limiter that starts among older ones has none, nor one whose peers
// do not respond. Fails where every start begins with nothing.
func TestNewFleetStartsWithFullEscrow(t *testing.T) {
	const n = 20
	cfg := testSettings()
	submit := func(c *testFleet, i int) bool { // three units are most of a full share
		return c.submit(i, Submit{Plan: 1, Customer: 1, LimiterCount: 10, Units: 3})
	}
	c := newTestFleet(t, cfg, n, testServers(4))
	c.ticks(8 * tickIntervalMs)
	if !submit(c, 1) {
		t.Error("a fleet that has just begun has none of a hard limit's burst")
	}
	c.now += 60000
	cfg.Balancers, cfg.Position = n, 2
	l, err := New(cfg, 5)
	if err != nil {
		t.Fatal(err)
	}
	c.limiters[2] = l
	c.event(2, Endpoints{Scope: Persisted, Servers: testServers(4)})
	c.ticks(8 * tickIntervalMs)
	if submit(c, 2) {
		t.Error("a limiter that started among older ones has a part of a hard limit's burst")
	}
	c = newTestFleet(t, cfg, n, testServers(4))
	c.lose = func(int, int) bool { return true }
	c.ticks(8 * tickIntervalMs)
	if submit(c, 1) {
		t.Error("a limiter that received nothing has a part of a hard limit's burst")
	}
}
