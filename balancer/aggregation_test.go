package balancer

import (
	"math/rand/v2"
	"testing"
)

// A customer of a hundred gateways: each sees one request in a while, and all
// together pass its quota, not a burst each. Fails without keepers.
func TestLargeSetHoldsQuota(t *testing.T) {
	const n = 100
	cfg := testSettings()
	cfg.PeerMessagesPerSecond = 20
	c := newTestFleet(t, cfg, n, testServers(4))
	c.ticks(6000) // bursts are whole by now
	passed, rng := 0, rand.New(rand.NewPCG(1, 1))
	for range 200 { // ten seconds of 40 units a second on a rate of 10
		for range 2 {
			if c.submit(rng.IntN(n), Submit{Customer: 5, Spread: n}) {
				passed++
			}
		}
		c.ticks(tickIntervalMs)
	}
	if fair := 20 + 10*10; passed < fair*6/10 || passed > fair*13/10 {
		t.Errorf("%d passed in ten seconds, the quota has %d", passed, fair)
	}
}

// The stand-in takes over when the first keeper is gone.
func TestStandbyAggregatorTakesOver(t *testing.T) {
	const n = 40
	cfg := testSettings()
	cfg.PeerMessagesPerSecond = 100
	c := newTestFleet(t, cfg, n, testServers(4))
	gone := -1
	c.lose = func(from, to int) bool { return from == gone || to == gone }
	c.submit(0, Submit{Customer: 5, Spread: n})
	gone = c.limiters[0].customers[5].reportsTo[0]
	c.ticks(6000)
	passed := 0
	for k := range 200 {
		if i := k % n; i != gone && c.submit(i, Submit{Customer: 5, Spread: n}) {
			passed++
		}
		c.ticks(tickIntervalMs)
	}
	if passed > 20+130 {
		t.Errorf("%d passed without the first keeper, the quota has 120", passed)
	}
}

// A level told twice, late or by one who is no keeper of the customer.
func TestLevelsFromAggregators(t *testing.T) {
	cfg := testSettings()
	cfg.Balancers = 40
	s := newLimiterDriver(t, cfg, testServers(4)...)
	s.now += 6000
	s.submit(Submit{Customer: 5, Spread: 40})
	c := s.l.customers[5]
	news := func(from int, level float64) PeerMessage {
		m := peerMessage{flags: flagLevelUpdate, entries: []peerEntry{{customer: 5, level: int64(level * unitScale)}}}
		data, _ := m.encode()
		return PeerMessage{From: from, Data: data}
	}
	stranger := 1
	for stranger == c.reportsTo[0] || stranger == c.reportsTo[1] {
		stranger++
	}
	before := c.balance
	s.do(news(stranger, -50))
	if c.balance != before {
		t.Error("a level from a gateway that is no keeper counted")
	}
	s.now += 500 // what passed here is in the keeper's level by now
	for range 2 {
		s.do(news(c.reportsTo[0], 3))
		if c.balance != 3 {
			t.Errorf("told a level of 3, the balance is %g", c.balance)
		}
	}
}

// Levels of a plan that is worth little are told seldom, however far its customers
// ask beyond their quotas: each is told to dozens of gateways, which take in only so
// many messages. Fails where it may wait but four times as long as the mean plan.
func TestLevelsOfCheapPlansLeaveRoom(t *testing.T) {
	const n = 60
	cfg := testSettings()
	cfg.Plans = []Plan{{Rate: 0.84, Burst: 4, Price: 0.8}, {Rate: 3, Burst: 11, Price: 1.2},
		{Rate: 12, Burst: 22, Price: 1.8}}
	c := newTestFleet(t, cfg, n, testServers(4))
	told := map[uint64]int{}
	c.lose = func(int, int) bool { return false }
	for step := range 400 { // twenty seconds; each asks for some four times its quota
		for plan, each := range []int{6, 2, 1} {
			if step%each == 0 {
				c.submit((step*7+plan)%n, Submit{Customer: uint64(plan), Plan: plan, Spread: n,
					Units: 1 + float64(plan)})
			}
		}
		c.now += tickIntervalMs
		for i, l := range c.limiters {
			for _, a := range append([]Action(nil), l.Handle(c.now, TimerFired{Name: "tick"})...) {
				if a, ok := a.(SendPeer); ok {
					if m, _ := decodePeerMessage(a.Data); m.flags == flagLevelUpdate {
						told[m.entries[0].plan]++
					}
					c.event(a.To, PeerMessage{From: i, Data: a.Data})
				}
			}
		}
	}
	if told[0] == 0 || told[0] > 10*n || told[0]*2 > told[1] {
		t.Errorf("levels told, by plan from the cheapest: %v", told)
	}
}
