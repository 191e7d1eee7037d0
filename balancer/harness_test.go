package balancer

// The drivers of the tests: limiterDriver runs a single limiter, testFleet a fleet of limiters.

import (
	"fmt"
	"testing"
)

// testSettings has a class of each idempotency, and plans with a rate, with a hard limit, with
// a limit of attempts in flight, and without any quota.
func testSettings() Settings {
	return Settings{
		Balancers: 2, PeerMessagesPerSecond: 40,
		Classes: []Class{
			{Idempotency: Safe, LatencyTargetMs: 500, DeadlineMs: 2000, Value: 1, DedupWindowMs: 1000},
			{Idempotency: Keyed, DedupScope: DedupCell, LatencyTargetMs: 500, DeadlineMs: 2000, Value: 1,
				DedupWindowMs: 1000},
			{Idempotency: Unsafe, LatencyTargetMs: 500, DeadlineMs: 2000, Value: 1},
			{Idempotency: Keyed, DedupScope: DedupAll, LatencyTargetMs: 500, DeadlineMs: 2000, Value: 1,
				DedupWindowMs: 1000},
		},
		Plans: []Plan{
			{Rate: 10, Burst: 20, Price: 1},
			{Rate: 10, Burst: 20, Price: 1, HardRate: 20, HardBurst: 40},
			{Rate: 10, Burst: 20, Price: 1, MaxInFlight: 2},
			{Price: 1},
		},
		Caps: Caps{MaxAttempts: 4, Cancel: true, Peers: true, Probes: true, RetryAfter: true,
			MaxRetryAfterMs: 1000, ConnectTimeoutMs: 250},
		ServerLimits: ServerLimits{SlowStartShare: 0.2, SlowStartMs: 10000, OverloadFactor: 2, OverloadMs: 1000},
	}
}

// limiterDriver drives a single Limiter.
type limiterDriver struct {
	t   *testing.T
	l   *Limiter
	now float64
	n   int
}

func newLimiterDriver(t *testing.T, s Settings, servers ...ServerInfo) *limiterDriver {
	t.Helper()
	l, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	d := &limiterDriver{t: t, l: l, now: 1000}
	d.do(Endpoints{Scope: Persisted, Servers: servers})
	return d
}

func testServers(n int) (s []ServerInfo) {
	for i := range n {
		s = append(s, ServerInfo{ID: uint64(i + 1), Cell: i % 2, Zone: i % 2, Weight: 1})
	}
	return s
}

func (d *limiterDriver) do(e Event) []Action { return append([]Action(nil), d.l.Handle(d.now, e)...) }

// submit submits a request and returns its id and the response. Zero fields of e get default
// values.
func (d *limiterDriver) submit(e Submit) (string, Action) {
	d.n++
	e.ID = fmt.Sprint("r", d.n)
	if e.TimeoutMs == 0 {
		e.TimeoutMs = 1500
	}
	if e.LimiterCount == 0 {
		e.LimiterCount = 1
	}
	if e.Units == 0 {
		e.Units = 1
	}
	return e.ID, d.response(d.do(e))
}

// response returns the one action that concerns a request, or nil if there is none.
func (d *limiterDriver) response(acts []Action) (got Action) {
	d.t.Helper()
	for _, a := range acts {
		switch a.(type) {
		case StartAttempt, Reject, Fail:
			if got != nil {
				d.t.Fatalf("two responses: %v and %v", got, a)
			}
			got = a
		}
	}
	return got
}

func (d *limiterDriver) outcome(id string, attempt int, server uint64, r Result) Action {
	d.t.Helper()
	return d.response(d.do(Outcome{ID: id, Attempt: attempt, Server: server, Result: r, LatencyMs: 20,
		Final: r == Success,
		Load:  Load{Busy: -1, Pending: -1, ServiceMs: -1}}))
}

// succeed ends the attempt of a request, which must have been forwarded, with success.
func (d *limiterDriver) succeed(id string, a Action) {
	d.t.Helper()
	p, ok := a.(StartAttempt)
	if !ok {
		d.t.Fatalf("%s: got %#v, want StartAttempt", id, a)
	}
	d.outcome(id, 0, p.Server, Success)
}

// admit submits n requests, each served at once, and returns how many were admitted.
func (d *limiterDriver) admit(n int, e Submit) (admitted int) {
	for range n {
		if id, a := d.submit(e); a != nil {
			if _, ok := a.(StartAttempt); ok {
				admitted++
				d.succeed(id, a)
			}
		}
	}
	return admitted
}

// peerReport returns a report of a peer on customer 0; ageMs is the time since the peer's
// start.
func peerReport(ageMs float64, seq, spentUnits uint64) PeerMessage {
	m := peerMessage{incarnation: 77, seq: seq, ageMs: uint64(ageMs)}
	m.entries = []peerEntry{{limiterCount: 2, spent: spentUnits * unitScale}}
	data, _ := m.encode()
	return PeerMessage{From: 1, Data: data}
}

// peerLevels returns a response to a request for levels, with levels of customer 0; ageMs is
// the time since the peer's start.
func peerLevels(ageMs float64, levels ...float64) PeerMessage {
	m := peerMessage{flags: flagLevelUpdate | flagLevelsResponse, ageMs: uint64(ageMs)}
	for _, level := range levels {
		m.entries = append(m.entries, peerEntry{level: int64(level * unitScale)})
	}
	data, _ := m.encode()
	return PeerMessage{From: 1, Data: data}
}

// testFleet is a number of limiters that share nothing but messages.
type testFleet struct {
	t        testing.TB
	now      float64
	limiters []*Limiter
	ids      int
	sent     map[uint64]int          // attempts by server
	lose     func(from, to int) bool // whether a message is lost
}

func newTestFleet(t testing.TB, cfg Settings, n int, servers []ServerInfo) *testFleet {
	t.Helper()
	fleet := &testFleet{t: t, now: 1e6, sent: map[uint64]int{}, lose: func(int, int) bool { return false }}
	cfg.Balancers = n
	for i := range n {
		cfg.Position = i
		l, err := New(cfg, uint64(i)+9)
		if err != nil {
			t.Fatal(err)
		}
		fleet.limiters = append(fleet.limiters, l)
		fleet.event(i, Endpoints{Scope: Persisted, Servers: servers})
	}
	return fleet
}

// event passes an event to a limiter, serves forwarded requests and delivers messages at once,
// and reports whether a request was forwarded.
func (fleet *testFleet) event(i int, e Event) (forwarded bool) {
	for _, a := range append([]Action(nil), fleet.limiters[i].Handle(fleet.now, e)...) {
		switch a := a.(type) {
		case StartAttempt:
			forwarded = true
			fleet.sent[a.Server]++
			fleet.event(i, Outcome{ID: a.ID, Server: a.Server, Result: Success, LatencyMs: 20, Final: true})
		case SendPeer:
			if !fleet.lose(i, a.To) {
				fleet.event(a.To, PeerMessage{From: i, Data: a.Data})
			}
		}
	}
	return forwarded
}

func (fleet *testFleet) submit(i int, e Submit) bool {
	fleet.ids++
	e.ID, e.TimeoutMs = fmt.Sprint("c", fleet.ids), 1500
	e.Units = max(1, e.Units)
	return fleet.event(i, e)
}

func (fleet *testFleet) ticks(ms float64) {
	for end := fleet.now + ms; fleet.now < end; {
		fleet.now += tickIntervalMs
		for i := range fleet.limiters {
			fleet.event(i, TimerFired{Name: "tick"})
		}
	}
}
