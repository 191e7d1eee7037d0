package balancer

import (
	"math/rand/v2"
	"testing"
)

// A customer of a hundred limiters: each sees one request in a while, and all
// together pass its quota, not a burst each. Fails without aggregators.
func TestLargeSetHoldsQuota(t *testing.T) {
	const n = 100
	cfg := testSettings()
	cfg.PeerMessagesPerSecond = 20
	c := newTestFleet(t, cfg, n, testServers(4))
	c.ticks(6000) // bursts are whole by now
	passed, rng := 0, rand.New(rand.NewPCG(1, 1))
	for range 200 { // ten seconds of 40 units a second on a rate of 10
		for range 2 {
			if c.submit(rng.IntN(n), Submit{Customer: 5, LimiterCount: n}) {
				passed++
			}
		}
		c.ticks(tickIntervalMs)
	}
	if fair := 20 + 10*10; passed < fair*6/10 || passed > fair*13/10 {
		t.Errorf("%d passed in ten seconds, the quota has %d", passed, fair)
	}
}

// The standby takes over when the first aggregator has failed.
func TestStandbyAggregatorTakesOver(t *testing.T) {
	const n = 40
	cfg := testSettings()
	cfg.PeerMessagesPerSecond = 100
	c := newTestFleet(t, cfg, n, testServers(4))
	failed := -1
	c.lose = func(from, to int) bool { return from == failed || to == failed }
	c.submit(0, Submit{Customer: 5, LimiterCount: n})
	failed = c.limiters[0].customers[5].reportsTo[0]
	c.ticks(6000)
	passed := 0
	for k := range 200 {
		if i := k % n; i != failed && c.submit(i, Submit{Customer: 5, LimiterCount: n}) {
			passed++
		}
		c.ticks(tickIntervalMs)
	}
	if passed > 20+130 {
		t.Errorf("%d passed without the first aggregator, the quota has 120", passed)
	}
}

// A level sent twice, late or by a limiter that is no aggregator of the customer.
func TestLevelsFromAggregators(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers = 40
	s := newLimiterDriver(t, cfg, testServers(4)...)
	s.now += 6000
	s.submit(Submit{Customer: 5, LimiterCount: 40})
	c := s.l.customers[5]
	levelFrom := func(from int, level float64) PeerMessage {
		m := peerMessage{flags: flagLevelUpdate, entries: []peerEntry{{customer: 5, level: int64(level * unitScale)}}}
		data, _ := m.encode()
		return PeerMessage{From: from, Data: data}
	}
	other := 1
	for other == c.reportsTo[0] || other == c.reportsTo[1] {
		other++
	}
	before := c.balance
	s.do(levelFrom(other, -50))
	if c.balance != before {
		t.Error("a level from a limiter that is no aggregator counted")
	}
	s.now += 500 // what passed here is in the aggregator's level by now
	for range 2 {
		s.do(levelFrom(c.reportsTo[0], 3))
		if c.balance != 3 {
			t.Errorf("sent a level of 3, the balance is %g", c.balance)
		}
	}
}

// Levels of a plan that is worth little are told seldom, however far its customers
// ask beyond their quotas: each is told to dozens of limiters, which take in only so
// many messages. Fails where it may wait but four times as long as the mean plan.
func TestLevelsOfCheapPlansLeaveRoom(t *testing.T) {
	const n = 60
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 0.84, Burst: 4, Price: 0.8}, {Rate: 3, Burst: 11, Price: 1.2},
		{Rate: 12, Burst: 22, Price: 1.8}}
	c := newTestFleet(t, cfg, n, testServers(4))
	sent := map[uint64]int{}
	c.lose = func(int, int) bool { return false }
	for step := range 400 { // twenty seconds; each asks for some four times its quota
		for plan, each := range []int{6, 2, 1} {
			if step%each == 0 {
				c.submit((step*7+plan)%n, Submit{Customer: uint64(plan), Plan: plan, LimiterCount: n,
					Units: 1 + float64(plan)})
			}
		}
		c.now += tickIntervalMs
		for i, l := range c.limiters {
			for _, a := range append([]Action(nil), l.Handle(c.now, TimerFired{Name: "tick"})...) {
				if a, ok := a.(SendPeer); ok {
					if m, _ := decodePeerMessage(a.Data); m.flags == flagLevelUpdate {
						sent[m.entries[0].plan]++
					}
					c.event(a.To, PeerMessage{From: i, Data: a.Data})
				}
			}
		}
	}
	if sent[0] == 0 || sent[0] > 10*n || sent[0]*2 > sent[1] {
		t.Errorf("levels sent, by plan from the cheapest: %v", sent)
	}
}
