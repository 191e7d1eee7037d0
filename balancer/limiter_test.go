package balancer

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestInvalidSettingIsNamed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"balancers":       func(s *Settings) { s.Balancers = 0 },
		"position":        func(s *Settings) { s.Position = 2 },
		"request_classes": func(s *Settings) { s.Classes = nil },
		"packages":        func(s *Settings) { s.Plans = nil },
		"cold_share":      func(s *Settings) { s.ServerLimits.SlowStartShare = 2 },
		"promise_ms":      func(s *Settings) { s.Classes[0].LatencyTargetMs = 0 },
		"burst":           func(s *Settings) { s.Plans[0].Burst = 0 },
		"packages.1":      func(s *Settings) { s.Plans[1].HardRate = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("setting %s is not named in the error: %v", name, err)
		}
	}
}

func TestEventsOfEndedRequestsAreIgnored(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(2)...)
	id, a := d.submit(Submit{})
	d.succeed(id, a)
	for _, e := range []Event{
		Outcome{ID: id, Server: 1}, Outcome{ID: "no", Server: 1,
			Attempt: 3}, ClientDisconnected{ID: id}, ClientDisconnected{ID: "no"},
		FirstByte{ID: "no"}, TimerFired{Name: "no"}, ProbeResult{Server: 99}, Submit{ID: "x", Class: 99}, nil,
		PeerMessage{From: -1}, PeerMessage{From: 0},
	} {
		for _, act := range d.do(e) {
			if _, ok := act.(StartAttempt); ok {
				t.Errorf("%#v led to %#v", e, act)
			}
		}
	}
}

// No state is left behind by customers that appear once, in requests or in reports of peers, or
// by servers that are replaced.
func TestNoStateIsLeftBehind(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	for i := range 4000 {
		d.now += 20
		d.admit(1, Submit{Plan: i % 3, Customer: uint64(1000 + i), LimiterCount: 2})
		m := peerMessage{incarnation: 7, seq: uint64(i + 1), ageMs: uint64(d.now), entries: []peerEntry{
			{customer: uint64(100000 + i), plan: uint64(i % 3), limiterCount: 2, spent: 8, newlySpent: 8}}}
		data, _ := m.encode()
		d.do(PeerMessage{From: 1, Data: data})
		if i%10 == 0 { // one server is removed, another added
			d.do(Endpoints{Scope: Partial, Servers: []ServerInfo{{ID: uint64(100 + i), Weight: 1},
				{ID: uint64(90 + i), Phase: Removed}}})
			d.do(TimerFired{Name: "tick"})
		}
	}
	if n := len(d.l.customers); n > 3000 {
		t.Errorf("%d customers held after 80 s of new ones, want those of the last 15 s", n)
	}
	for range 3 {
		d.now += 2 * idleCustomerMs
		d.do(TimerFired{Name: "tick"})
	}
	if len(d.l.customers)+len(d.l.customerList)+len(d.l.aggregated)+len(d.l.unreported)+len(d.l.requests) != 0 ||
		d.l.inFlight != 0 {
		t.Errorf("still held: %d customers, %d in the list, %d aggregated, %d unreported, %d requests, %d in flight",
			len(d.l.customers), len(d.l.customerList), len(d.l.aggregated), len(d.l.unreported), len(d.l.requests),
			d.l.inFlight)
	}
	if len(d.l.servers) != 5 || len(d.l.serverList) != 5 {
		t.Errorf("%d servers, %d in the list, want 5", len(d.l.servers), len(d.l.serverList))
	}
}

// A limiter that was paused does not count the timeouts of attempts that were in flight during
// the pause against their servers.
func TestPausedLimiterBlamesNoServer(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(2)...)
	for range 30 {
		id, a := d.submit(Submit{Plan: 3})
		d.succeed(id, a)
		d.now += 20
	}
	var ids []string
	var to []uint64
	for range 6 {
		id, a := d.submit(Submit{Plan: 3})
		ids, to = append(ids, id), append(to, a.(StartAttempt).Server)
	}
	typical := d.l.typicalMs[0]
	d.now += 1600
	for k, id := range ids {
		d.do(Outcome{ID: id, Server: to[k], Result: TimedOut, LatencyMs: 1600})
	}
	if d.l.typicalMs[0] != typical || d.l.servers[1].ejections[0].failures+d.l.servers[2].ejections[0].failures > 0 {
		t.Error("the limiter's own pause was counted against servers")
	}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			cfg := testSettings()
			cfg.Balancers = randomLimiters
			fleet := &randomFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: 1e6 * float64(seed), cfg: cfg,
				limiters: make([]*Limiter, randomLimiters), listed: make([]map[uint64]ServerInfo, randomLimiters),
				requests: make([]map[string]*randomRequest, randomLimiters), servers: map[uint64]ServerInfo{},
				hardBalances: make([]float64, 64), sentTimes: make([]map[uint64][]float64, randomLimiters)}
			for k := range fleet.hardBalances {
				fleet.hardBalances[k] = cfg.Plans[1].HardBurst
			}
			for id := uint64(1); id <= 8; id++ {
				fleet.servers[id] = ServerInfo{ID: id, Cell: int(id % 2), Zone: int(id % 2)}
			}
			for i := range fleet.limiters {
				fleet.start(i)
			}
			for range 6000 {
				fleet.step()
			}
			if fleet.finishedRequests < 3000 {
				t.Errorf("only %d requests got a final response", fleet.finishedRequests)
			}
		})
	}
}

// Equal seeds and events yield equal actions.
func TestEqualSeedsGiveEqualActions(t *testing.T) {
	run := func() string {
		l, err := New(testSettings(), 3)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(5, 5))
		out := fmt.Sprint(l.Handle(1, Endpoints{Scope: Persisted, Servers: testServers(9)}))
		for n := range 3000 {
			now := float64(n * 3)
			out += fmt.Sprint(l.Handle(now, Submit{ID: fmt.Sprint(n), TimeoutMs: 900, Units: 1, Plan: rng.IntN(4),
				Class: rng.IntN(4), Customer: uint64(rng.IntN(30)), LimiterCount: 2}))
			out += fmt.Sprint(l.Handle(now, Outcome{ID: fmt.Sprint(rng.IntN(n + 1)), Result: Result(rng.IntN(8)),
				LatencyMs: 30}))
			out += fmt.Sprint(l.Handle(now, TimerFired{Name: "tick"}),
				l.Handle(now, ProbeResult{Server: 3, Result: TimedOut}))
		}
		return out
	}
	first, second := run(), run()
	if first != second {
		t.Error("two runs with equal seeds differ")
	}
}

// FuzzEvents interprets bytes as a sequence of events; no event may cause a panic.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("a script of any bytes whatever, long enough for a few events"))
	f.Fuzz(func(t *testing.T, b []byte) {
		l, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := 0.0
		l.Handle(now, Endpoints{Servers: testServers(3)})
		for len(b) >= 4 {
			k, x, y, z := b[0], int(int8(b[1])), int(b[2]), b[3]
			b = b[4:]
			now += float64(z)
			id := fmt.Sprint(y % 8)
			switch k % 9 {
			case 0, 1:
				l.Handle(now, Submit{ID: id, TimeoutMs: float64(x * 10), Units: float64(x), Class: y % 5,
					Plan:     int(z) % 5,
					Customer: uint64(y), LimiterCount: x, FirstLimiter: x})
			case 2, 3:
				l.Handle(now, Outcome{ID: id, Attempt: x % 4, Server: uint64(y), Result: Result(z % 9),
					LatencyMs: float64(x), Final: y%2 == 0})
			case 4:
				l.Handle(now, ClientDisconnected{ID: id})
			case 5:
				l.Handle(now, TimerFired{Name: "tick"})
			case 6:
				l.Handle(now, ProbeResult{Server: uint64(y % 4), Result: Result(z % 8)})
			case 7:
				l.Handle(now, Endpoints{Scope: Scope(y % 4),
					Servers: []ServerInfo{{ID: uint64(x & 3), Phase: Phase(z % 3), ReadyAt: float64(y)}}})
			case 8:
				l.Handle(now, PeerMessage{From: x, Data: b})
			}
		}
	})
}

// BenchmarkHandle measures a request and a tick at one of 470 limiters with 90 servers.
func BenchmarkHandle(b *testing.B) {
	cfg := testSettings()
	cfg.Balancers, cfg.PeerMessagesPerSecond = 470, 40
	l, err := New(cfg, 1)
	if err != nil {
		b.Fatal(err)
	}
	l.Handle(0, Endpoints{Scope: Persisted, Servers: testServers(90)})
	for k := range b.N {
		now := 10000 + float64(k)*300
		id := fmt.Sprint(k)
		for _, a := range l.Handle(now, Submit{ID: id, TimeoutMs: 900, Units: 1, Customer: uint64(k % 300),
			LimiterCount: 100}) {
			if p, ok := a.(StartAttempt); ok {
				l.Handle(now+20, Outcome{ID: id, Server: p.Server, Result: Success, LatencyMs: 20, Final: true})
				break
			}
		}
		l.Handle(now+50, TimerFired{Name: "tick"})
	}
}
