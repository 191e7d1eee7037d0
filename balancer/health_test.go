package balancer

import (
	"fmt"
	"testing"
)

// A server that fails fast looks idle, but is ejected. After the ejection it is tried again
// with a few requests.
func TestFailingServerIsEjected(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	serve := func() (bad int) {
		id, a := d.submit(Submit{Plan: 3})
		for attempt := 0; ; attempt++ {
			p, ok := a.(StartAttempt)
			if !ok {
				return bad
			}
			r := Success
			if p.Server == 1 {
				r, bad = ServerError, bad+1
			}
			a = d.outcome(id, attempt, p.Server, r)
		}
	}
	for range 200 {
		serve()
	}
	bad := 0
	for range 200 {
		bad += serve()
	}
	if bad != 0 {
		t.Errorf("an ejected server got %d of 200 requests", bad)
	}
	d.now += 20000
	for range 200 {
		bad += serve()
	}
	if bad < ejectAfterFailures || bad > 2*ejectAfterFailures {
		t.Errorf("after its ejection the server got %d of 200 requests, want a few", bad)
	}
}

func TestUnresponsiveServerIsProbedAndMarkedDown(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(2)...)
	ids := map[string]uint64{}
	for range 4 {
		id, a := d.submit(Submit{Plan: 3})
		ids[id] = a.(StartAttempt).Server
	}
	for id, server := range ids {
		if server == 2 {
			d.outcome(id, 0, 2, Success)
		}
	}
	d.now += 600
	probed := false
	for _, a := range d.do(TimerFired{Name: "tick"}) {
		if p, ok := a.(ProbeServer); ok && p.Server == 1 {
			probed = true
		}
	}
	if !probed {
		t.Fatal("a server that had not responded for long was not probed")
	}
	canceled := 0
	for _, a := range d.do(ProbeResult{Server: 1, Result: TimedOut}) {
		if _, ok := a.(CancelAttempt); ok {
			canceled++
		}
	}
	if canceled == 0 {
		t.Error("no attempt was canceled at a server marked down")
	}
	for range 20 {
		if id, a := d.submit(Submit{Plan: 3}); a.(StartAttempt).Server != 2 {
			t.Fatal("request sent to a server that is down")
		} else {
			d.succeed(id, a)
		}
	}
	d.do(ProbeResult{Server: 1, Result: Success})
	if d.l.servers[1].down {
		t.Error("a server whose probe succeeded is still marked down")
	}
}

// A server that fails only one class is ejected for that class, and the peers are sent hints.
func TestServerIsEjectedForOneClass(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	hints := 0
	for range 40 {
		d.now += 100
		id, a := d.submit(Submit{Plan: 3})
		p, ok := a.(StartAttempt)
		if !ok {
			continue
		}
		if p.Server != 1 {
			d.outcome(id, 0, p.Server, Success)
			continue
		}
		for _, b := range d.do(Outcome{ID: id, Server: 1, Result: TimedOut, LatencyMs: 900}) {
			if message, ok := b.(SendPeer); ok {
				if m, ok := decodePeerMessage(message.Data); ok && m.flags&flagFailureHint != 0 {
					hints++
				}
			} else if q, ok := b.(StartAttempt); ok {
				d.outcome(id, 1, q.Server, Success)
			}
		}
	}
	if srv := d.l.servers[1]; srv.ejections[0].until <= d.now || srv.ejections[1].until > d.now {
		t.Errorf("class 0 fails at server 1: ejections %v at %v", srv.ejections, d.now)
	}
	if hints == 0 {
		t.Error("the peer was sent no hint")
	}
}

// The hints of all limiters together stay within the share of messages set aside for them,
// however many limiters and failures there are. In two incidents hints were nine tenths of all
// messages. Fails if a limiter may send hints without a limit.
func TestFailureHintsAreBounded(t *testing.T) {
	for _, n := range []int{20, 300} {
		cfg := testSettings()
		cfg.Balancers = n
		sent := 0
		for i := range n {
			cfg.Position = i
			l, err := New(cfg, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			l.Handle(0, Endpoints{Scope: Persisted, Servers: testServers(9)})
			for k := range 40 { // 2 s, every fifth attempt fails
				now, id := float64(50*k), fmt.Sprint(k)
				for _, a := range l.Handle(now,
					Submit{ID: id, TimeoutMs: 900, Units: 1, Plan: 3, Class: 2, LimiterCount: 1}) {
					if p, ok := a.(StartAttempt); ok {
						o := Outcome{ID: id, Server: p.Server, LatencyMs: 20, Result: Success, Final: true}
						if k%5 == 0 {
							o.Result, o.Final = ServerError, false
						}
						for _, b := range l.Handle(now, o) {
							if _, ok := b.(SendPeer); ok {
								sent++
							}
						}
					}
				}
			}
		}
		// For 2 s each receives 40 messages/s, of which hintMessageShare are hints. More than
		// a fifth of the messages would displace the levels.
		if each := float64(sent) / float64(n); each < 1 || each > min(1.5*2*40*hintMessageShare, 2*40/5.0) {
			t.Errorf("%d limiters: each was sent %.0f hints in 2 s", n, each)
		}
	}
}

// Hints of unknown servers or classes are ignored; two valid hints eject a server.
func TestFailureHintsEjectAServer(t *testing.T) {
	d := newLimiterDriver(t, testSettings(), testServers(4)...)
	hint := func(server, class uint64) {
		m := peerMessage{flags: flagLevelUpdate | flagFailureHint,
			entries: []peerEntry{{customer: server, plan: class}}}
		data, _ := m.encode()
		d.do(PeerMessage{From: 1, Data: data})
	}
	for range 2 {
		hint(99, 0)
		hint(2, 99)
	}
	if len(d.l.servers) != 4 || d.l.servers[2].ejections[0].failures != 0 {
		t.Error("an invalid hint was counted")
	}
	for range 2 {
		hint(2, 0)
	}
	for range 40 {
		if id, a := d.submit(Submit{Plan: 3}); a.(StartAttempt).Server == 2 {
			t.Fatal("request sent to a server that hints had ejected")
		} else {
			d.succeed(id, a)
		}
	}
}
