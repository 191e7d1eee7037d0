package balancer

import (
	"math/rand/v2"
	"testing"
)

// A server in slow start gets no more than its share of capacity times what a warm server gets,
// and at most two requests at once if there is no warm server.
func TestSlowStartLimitsAServer(t *testing.T) {
	list := testServers(4)
	list[0].ReadyAt = 999
	d := newLimiterDriver(t, testSettings(), list...)
	sent := map[uint64]int{}
	for range 50 {
		d.now += 20
		out := map[string]Action{}
		for range 12 {
			if id, a := d.submit(Submit{Plan: 3}); a != nil {
				if p, ok := a.(StartAttempt); ok {
					out[id] = a
					sent[p.Server]++
				}
			}
		}
		for id, a := range out {
			d.succeed(id, a)
		}
	}
	if sent[1] == 0 || sent[1] > sent[2]/3 {
		t.Errorf("the server in slow start got %d requests, the warm ones %d, %d and %d",
			sent[1], sent[2], sent[3], sent[4])
	}
	d = newLimiterDriver(t, testSettings(), list[0])
	if n := d.admit(200, Submit{Plan: 3}); n > 2 {
		t.Errorf("the only server is in slow start and got %d requests at once", n)
	}
}

// The parts that any number of independent limiters use of a server in slow start add up to
// less than ServerLimits permit. One request per window from each limiter would be almost nothing
// for three limiters and far too much for hundreds.
func TestSlowStartPartsAddUp(t *testing.T) {
	for _, n := range []int{1, 3, 40, 300} {
		cfg := testSettings()
		cfg.Caps.Peers = false
		list := testServers(10)
		list[0].ReadyAt = 1e6
		fleet := newTestFleet(t, cfg, n, list)
		rng := rand.New(rand.NewPCG(2, 2))
		for range 2000 { // 10 s at 200 requests/s over all limiters
			i := rng.IntN(n)
			fleet.submit(i, Submit{Plan: 3, Customer: rng.Uint64N(99), LimiterCount: n})
			l := fleet.limiters[i] // it uses its whole part, as if no other server were better
			for s := l.servers[1]; l.hasSlowStartCredit(fleet.now, s); s.slowStartCredit-- {
				fleet.sent[1]++
			}
			fleet.now += 5
		}
		warm := 0
		for id, k := range fleet.sent {
			if id != 1 {
				warm += k
			}
		}
		// The mean share of capacity over the 10 s is 0.6; OverloadFactor permits twice that.
		if mean := float64(warm) / 9; float64(fleet.sent[1]) > 0.7*mean+3 {
			t.Errorf("%d limiters: the server in slow start got %d requests, a warm one %.0f", n, fleet.sent[1], mean)
		}
	}
}

// If all servers of a restarted fleet are in slow start, they get few requests, however many
// limiters there are.
func TestFleetOfServersInSlowStart(t *testing.T) {
	for _, n := range []int{3, 300} {
		cfg := testSettings()
		cfg.Caps.Peers = false
		fleet := newTestFleet(t, cfg, n, []ServerInfo{{ID: 1, ReadyAt: 1e6}})
		for k := range 2000 {
			fleet.submit(k%n, Submit{Plan: 3, Customer: uint64(k), LimiterCount: n})
			fleet.now += 0.5
		}
		if fleet.sent[1] == 0 || fleet.sent[1] > 40 {
			t.Errorf("%d limiters: a server in slow start got %d requests in its first second", n, fleet.sent[1])
		}
	}
}

// Six in ten servers of a large fleet are replaced. The new ones get at once what they can
// take, and the warm ones are not left with all of the load. Fails if each limiter uses the
// server that it sees as the best, as all see the same.
func TestReplacedServersShareLoad(t *testing.T) {
	const n, servers, starting = 80, 60, 36
	cfg := testSettings()
	cfg.Caps.Peers = false
	cfg.ServerLimits.SlowStartShare, cfg.ServerLimits.SlowStartMs = 0.3, 16000
	list := testServers(servers)
	fleet := newTestFleet(t, cfg, n, list)
	rng := rand.New(rand.NewPCG(3, 3))
	run := func(requests int) { // 400 requests/s over all limiters
		clear(fleet.sent)
		for range requests {
			fleet.submit(rng.IntN(n), Submit{Plan: 3, Customer: rng.Uint64N(99), LimiterCount: n})
			fleet.now += 2.5
		}
	}
	run(4000)
	for i := range starting {
		list[i].ReadyAt = fleet.now
	}
	for i := range n {
		fleet.event(i, Endpoints{Scope: Complete, Servers: list})
	}
	const requests = 2000 // 5 s; the mean share of capacity is 0.41
	run(requests)
	got := 0
	for i := range starting {
		got += fleet.sent[list[i].ID]
		if part := float64(fleet.sent[list[i].ID]); part > 2*0.41*requests/servers {
			t.Errorf("server %d, in slow start, got %g requests", i, part)
		}
	}
	fair := requests * starting * 0.41 / (starting*0.41 + servers - starting)
	if float64(got) < 0.8*fair || float64(got) > 1.1*fair {
		t.Errorf("%d of %d requests went to the servers in slow start, which can take %.0f", got, requests, fair)
	}
	for i := starting; i < servers; i++ {
		if mean := float64(requests-got) / (servers - starting); float64(fleet.sent[list[i].ID]) > 1.6*mean {
			t.Errorf("warm server %d got %d requests, the mean of the warm ones is %.0f", i, fleet.sent[list[i].ID],
				mean)
		}
	}
}
