package balancer

import (
	"fmt"
	"testing"
)

// A server that fails fast is ejected although it looks idle, and is tried
// again, gently, with requests that may be repeated.
func TestFailingServerIsEjected(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	serve := func() (bad int) {
		id, a := s.submit(Submit{Plan: 3})
		for attempt := 0; ; attempt++ {
			p, ok := a.(StartAttempt)
			if !ok {
				return bad
			}
			r := Success
			if p.Server == 1 {
				r, bad = ServerError, bad+1
			}
			a = s.outcome(id, attempt, p.Server, r)
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
		t.Errorf("a server that failed twice got %d of 200", bad)
	}
	s.now += 20000
	for range 200 {
		bad += serve()
	}
	if bad < ejectAfterFailures || bad > 2*ejectAfterFailures {
		t.Errorf("tried anew it got %d of 200, want a few", bad)
	}
}

func TestUnresponsiveServerIsProbedAndMarkedDown(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(2)...)
	ids := map[string]uint64{}
	for range 4 {
		id, a := s.submit(Submit{Plan: 3})
		ids[id] = a.(StartAttempt).Server
	}
	for id, server := range ids {
		if server == 2 {
			s.outcome(id, 0, 2, Success)
		}
	}
	s.now += 600
	probed := false
	for _, a := range s.do(TimerFired{Name: "tick"}) {
		if p, ok := a.(ProbeServer); ok && p.Server == 1 {
			probed = true
		}
	}
	if !probed {
		t.Fatal("a server without a response for long was not probed")
	}
	aborted := 0
	for _, a := range s.do(ProbeResult{Server: 1, Result: TimedOut}) {
		if _, ok := a.(CancelAttempt); ok {
			aborted++
		}
	}
	if aborted == 0 {
		t.Error("nothing was called off at a server found down")
	}
	for range 20 {
		if id, a := s.submit(Submit{Plan: 3}); a.(StartAttempt).Server != 2 {
			t.Fatal("sent to a server that is down")
		} else {
			s.pass(id, a)
		}
	}
	s.do(ProbeResult{Server: 1, Result: Success})
	if s.l.servers[1].down {
		t.Error("a server that answers is still held down")
	}
}

// A server that fails one class only is ejected for that class; peers are sent a hint.
func TestServerIsEjectedForOneClass(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	hints := 0
	for range 40 {
		s.now += 100
		id, a := s.submit(Submit{Plan: 3})
		p, ok := a.(StartAttempt)
		if !ok {
			continue
		}
		if p.Server != 1 {
			s.outcome(id, 0, p.Server, Success)
			continue
		}
		for _, b := range s.do(Outcome{ID: id, Server: 1, Result: TimedOut, LatencyMs: 900}) {
			if message, ok := b.(SendPeer); ok {
				if m, ok := decodePeerMessage(message.Data); ok && m.flags&flagFailureHint != 0 {
					hints++
				}
			} else if q, ok := b.(StartAttempt); ok {
				s.outcome(id, 1, q.Server, Success)
			}
		}
	}
	if srv := s.l.servers[1]; srv.ejections[0].until <= s.now || srv.ejections[1].until > s.now {
		t.Errorf("class 0 fails at server 1: ejected to %v at %v", srv.ejections, s.now)
	}
	if hints == 0 {
		t.Error("the peer got no hint")
	}
}

// Hints of all limiters together stay within what each takes in, however many
// limiters and failures. Found as two incidents in which they were nine tenths of
// all messages. Fails if each limiter may hint as it likes.
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
			for k := range 40 { // two seconds, every fifth answer fails
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
		// Each takes in 40 a second, of which hintShare are hints, for two seconds.
		// More than a fifth of all would crowd out the levels.
		if each := float64(sent) / float64(n); each < 1 || each > min(1.5*2*40*hintMessageShare, 2*40/5.0) {
			t.Errorf("%d limiters: each got %.0f hints in two seconds", n, each)
		}
	}
}

// Hints about servers or classes that the own list and settings do not name
// change nothing; two sound ones keep a server off.
func TestFailureHintsEjectAServer(t *testing.T) {
	s := newLimiterDriver(t, testSettings(), testServers(4)...)
	hint := func(server, class uint64) {
		m := peerMessage{flags: flagLevelUpdate | flagFailureHint,
			entries: []peerEntry{{customer: server, plan: class}}}
		data, _ := m.encode()
		s.do(PeerMessage{From: 1, Data: data})
	}
	for range 2 {
		hint(99, 0)
		hint(2, 99)
	}
	if len(s.l.servers) != 4 || s.l.servers[2].ejections[0].failures != 0 {
		t.Error("an unsound hint counted")
	}
	for range 2 {
		hint(2, 0)
	}
	for range 40 {
		if id, a := s.submit(Submit{Plan: 3}); a.(StartAttempt).Server == 2 {
			t.Fatal("sent to a server that peers say fails")
		} else {
			s.pass(id, a)
		}
	}
}
