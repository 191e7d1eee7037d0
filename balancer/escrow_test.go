package balancer

import (
	"math/rand/v2"
	"testing"
)

// A limiter admits no more than its part of a hard limit, and nothing right after its start,
// when its escrow is empty.
func TestEscrowStaysWithinItsPart(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	plan := testSettings().Plans[1]
	start := d.now
	d.now += 1e6
	spent := 0
	begin := d.now
	d.l.getOrCreateCustomer(d.now, 0, 1, 2).balance = 1e9
	d.l.cfg.Plans[1].Burst, d.l.cfg.Plans[1].Rate = 1e9, 1e9
	for range 500 {
		d.now += 10
		spent += d.admit(3, Submit{Plan: 1, LimiterCount: 2})
	}
	if limit := (plan.HardBurst + plan.HardRate*(d.now-begin)/1000) / 2; float64(spent) > limit {
		t.Errorf("admitted %d, this limiter's half is %g", spent, limit)
	}
	d = newLimiterDriver(t, testSettings(), testServers(4)...)
	if n := d.admit(10, Submit{Plan: 1, LimiterCount: 2}); n != 0 || d.now != start {
		t.Errorf("a limiter that has just started admitted %d from an empty escrow", n)
	}
}

// The escrows of hundreds of limiters that receive no messages and are restarted never add up
// to more than the hard limit.
func TestEscrowPartsAddUp(t *testing.T) {
	const n = 300
	cfg := testSettings()
	cfg.Plans[1] = Plan{Rate: 1e6, Burst: 1e6, HardRate: 400, HardBurst: 900, Price: 1}
	fleet := newTestFleet(t, cfg, n, testServers(4))
	fleet.lose = func(int, int) bool { return true }
	rng := rand.New(rand.NewPCG(3, 3))
	fleet.now += 10000
	hardBalance := 900.0
	for range 8000 {
		fleet.now++
		hardBalance = min(900, hardBalance+0.4)
		i := rng.IntN(n)
		if fleet.submit(i, Submit{Plan: 1, Customer: 1, LimiterCount: n}) {
			hardBalance--
		}
		if hardBalance < 0 {
			t.Fatal("the hard limit is exceeded")
		}
		if rng.IntN(200) == 0 {
			cfg.Balancers, cfg.Position = n, i
			l, err := New(cfg, rng.Uint64())
			if err != nil {
				t.Fatal(err)
			}
			fleet.limiters[i] = l
			fleet.event(i, Endpoints{Scope: Persisted, Servers: testServers(4)})
		}
	}
}

// Most requests of a customer of eleven limiters arrive at one of them, which needs more than
// an equal part of the hard limit. Fails without grants. All limiters together never exceed the
// hard limit, whatever messages are lost and also if limiters restart.
func TestEscrowGrantsFollowDemand(t *testing.T) {
	const n = 11
	cfg := testSettings()
	cfg.Plans[1] = Plan{Rate: 12, Burst: 22, HardRate: 25, HardBurst: 46, Price: 1}
	for _, p := range []struct {
		demand, skew, lossRate float64
		restarts               bool
		minShare               float64 // least share of the units that is admitted
	}{{8, 0.7, 0.1, false, 0.85}, {8, 0.7, 1, false, 0}, {400, 0.2, 0.3, false, 0}, {60, 0.5, 0.5, true, 0}, {400,
		0.9, 0.9, true, 0}} {
		fleet := newTestFleet(t, cfg, n, testServers(4))
		rng := rand.New(rand.NewPCG(4, 4))
		fleet.lose = func(int, int) bool { return rng.Float64() < p.lossRate }
		fleet.now += 10000
		fleet.ticks(tickIntervalMs)
		hardBalance, refilledAt, requested, admitted := 46.0, fleet.now, 0.0, 0.0
		for end := fleet.now + 20000; fleet.now < end; {
			fleet.ticks(tickIntervalMs)
			for range int(p.demand*tickIntervalMs/1000/1.5 + rng.Float64()) {
				i, units := 1+rng.IntN(n-1), float64(1+rng.IntN(2))
				if rng.Float64() < p.skew {
					i = 3
				}
				requested += units
				if fleet.submit(i, Submit{Plan: 1, Customer: 1, LimiterCount: n, Units: units}) {
					hardBalance, refilledAt = min(46, hardBalance+(fleet.now-refilledAt)*25/1000)-units, fleet.now
					admitted += units
				}
				if hardBalance < -1e-6 {
					t.Fatalf("%+v: the hard limit is exceeded by %g", p, -hardBalance)
				}
			}
			if p.restarts && rng.IntN(10) == 0 {
				cfg.Balancers, cfg.Position = n, rng.IntN(n)
				l, err := New(cfg, rng.Uint64())
				if err != nil {
					t.Fatal(err)
				}
				fleet.limiters[cfg.Position] = l
				fleet.event(cfg.Position, Endpoints{Scope: Persisted, Servers: testServers(4)})
			}
		}
		if admitted < p.minShare*requested {
			t.Errorf("%+v: %.0f of %.0f units admitted", p, admitted, requested)
		}
	}
}

// In a fleet that has just started, the escrows are full as soon as the limiters have received
// messages from each other. A limiter that starts among older ones has an empty escrow, and so
// has one whose peers do not respond. Fails if every limiter starts with an empty escrow.
func TestNewFleetStartsWithFullEscrow(t *testing.T) {
	const n = 20
	cfg := testSettings()
	submit := func(fleet *testFleet, i int) bool { // 3 units are most of a full escrow
		return fleet.submit(i, Submit{Plan: 1, Customer: 1, LimiterCount: 10, Units: 3})
	}
	fleet := newTestFleet(t, cfg, n, testServers(4))
	fleet.ticks(8 * tickIntervalMs)
	if !submit(fleet, 1) {
		t.Error("a fleet that has just started has empty escrows")
	}
	fleet.now += 60000
	cfg.Balancers, cfg.Position = n, 2
	l, err := New(cfg, 5)
	if err != nil {
		t.Fatal(err)
	}
	fleet.limiters[2] = l
	fleet.event(2, Endpoints{Scope: Persisted, Servers: testServers(4)})
	fleet.ticks(8 * tickIntervalMs)
	if submit(fleet, 2) {
		t.Error("a limiter that started among older ones did not begin with an empty escrow")
	}
	fleet = newTestFleet(t, cfg, n, testServers(4))
	fleet.lose = func(int, int) bool { return true }
	fleet.ticks(8 * tickIntervalMs)
	if submit(fleet, 1) {
		t.Error("a limiter whose peers have not responded did not begin with an empty escrow")
	}
}
