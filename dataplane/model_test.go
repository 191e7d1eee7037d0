package dataplane

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/h1"
)

// The gateway is put before three servers that do, with the request of each id, what a
// script says: everything that a server can do at each moment of a try, in each order
// of two, on fresh and kept connections, for each kind of request. What then reached
// clients and what ran is checked against the invariants.

// playRun is a run through all moves with all others as second ones.
type playRun struct {
	*stage
	kind    string // of the requests
	kept    bool   // whether connections are kept
	once    bool   // requests of the kind must not run twice
	refused bool   // the servers that there are may all be kept off for what they did
	seconds int    // requests that came to a second server
}

// play goes through all moves with all others as second ones, and returns the first invariant that was broken, with
// how many requests came to a second server.
func play(t testing.TB, rules attempt.Rules, kind string, kept bool, moves []move) (fault string, seconds int) {
	p := &playRun{
		stage: newStage(t, rules), kind: kind, kept: kept, once: kind != "get" && kind != "head", refused: true,
	}
	if _, fake := t.(inMemory); !fake {
		p.recordTimeUp()
	}
	for i := range moves {
		for j := range moves {
			if p.once && moves[i].runs && j%8 != i%8 { // where no second one is met, some are enough
				continue
			}
			p.step(&moves[i], &moves[j])
			if p.fault != "" {
				return p.fault, p.seconds
			}
		}
	}
	return "", p.seconds
}

// step sends a request whose servers do the two moves, then another that they answer.
func (p *playRun) step(first, second *move) {
	p.setUp()
	status, sc := p.request(p.kind, first, second)
	if sc.arrivals.Load() == 0 && status == 503 { // the servers that there are now are kept off too
		p.renew()
		status, sc = p.request(p.kind, first, second)
	}
	if sc.arrivals.Load() > 1 {
		p.seconds++
	}
	if sc.arrivals.Load() == 0 && !endsByDeadline(first, second) {
		p.broken("%s, %s, then %s: it came to no server: %d", p.kind, first.name, second.name, status)
	}
	what := fmt.Sprintf("%s, kept %v, %s, then %s", p.kind, p.kept, first.name, second.name)
	// Whatever stands on connections now, the next filing gets its own answer.
	next, nextScript := p.request("once", &fine, &fine)
	p.refused = next == 503
	mayFail := next == 502 && (first.crosses || second.crosses)
	if next != 200 && !p.refused && !mayFail {
		p.broken("%s: the next filing is answered %d", what, next)
	}
	p.checkRuns(what, p.once, status, sc)
	p.checkRuns(what+", the next one", true, next, nextScript)
}

// setUp puts servers and connections in place for a step.
func (p *playRun) setUp() {
	if !p.kept || p.refused {
		p.renew()
	}
	if p.kept && p.refused {
		p.warm()
	}
	if _, fake := p.t.(inMemory); fake {
		time.Sleep(20 * time.Millisecond) // servers that failed are scriptedRequest again
	}
}

// Whatever servers do, in each order of two, with each kind of request, on kept and on
// fresh connections: what must not run twice runs once at most, what is answered 408,
// 421, 429 or 503 has not run, each answer is to its request and the server's or our
// own, what ends early shows it, and no byte of another's answer is ever seen.
func TestInvariantsHoldWhateverServersDo(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"get", "head", "once", "chunks", "long"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s kept=%v", kind, kept), func(t *testing.T) {
				t.Parallel()
				inFakeTime(t, func(t testing.TB) {
					fault, seconds := play(t, attempt.DefaultRules(), kind, kept, moves)
					if fault != "" {
						t.Error(fault)
					}
					// A long body can't be sent to a second one.
					minimum := map[string]int{"get": 1200, "head": 1200, "once": 200, "chunks": 200}
					if seconds < minimum[kind] {
						t.Errorf("only %d requests came to a second server", seconds)
					}
				})
			})
		}
	}
}

// In fake time no answer takes any, so none may end early because the time is up.
// On sockets, where a machine may be as slow as it likes, one may: but only where the
// gateway itself met the end of the request's time while it read from the server.
func TestInvariantsHoldOnSockets(t *testing.T) {
	t.Parallel()
	var some []move
	for _, m := range moves {
		switch m.name {
		case "answers", "resets", "closes", "refuses before the body", "part of a body, silent",
			"long", "long, resets", "a long failure",
			"503, not executed", "nobody's behind", "closes behind its answer", "resets behind its answer":
			some = append(some, m)
		}
	}
	for _, kind := range []string{"get", "once", "long"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s kept=%v", kind, kept), func(t *testing.T) {
				t.Parallel()
				if fault, _ := play(t, attempt.DefaultRules(), kind, kept, some); fault != "" {
					t.Error(fault)
				}
			})
		}
	}
}

// A long answer whose server takes its time is cut off when the request's is up, at
// that moment and visibly, and is whole where it comes before. A server's failure is no
// different.
func TestDeadlineCutsALongResponse(t *testing.T) {
	t.Parallel()
	const budget = 40 * time.Millisecond
	for _, kind := range []string{"get", "once"} {
		for _, status := range []string{"200 OK", "500 x"} {
			for _, takes := range []time.Duration{budget - 1, budget + 1} {
				inFakeTime(t, func(t testing.TB) {
					long := strings.Repeat("x", 2*maxHeldResponse)
					c := dial(t, newGateway(t, newBackend(t, func(w io.Writer, _ *h1.Head, _ []byte) bool {
						write(w, answerHead(status, "a1", sealed("a1")+sized(len(long)))+long[:maxHeldResponse+9])
						time.Sleep(takes)
						write(w, long[maxHeldResponse+9:])
						return true
					})))
					sent := time.Now()
					if kind == "get" {
						c.send("GET /get/", "Time-Budget-Ms: 40\r\n", "")
					} else {
						c.send("POST /once/", "Time-Budget-Ms: 40\r\nContent-Length: 4\r\n", "body")
					}
					h, got, err := c.answer()
					took := time.Since(sent)
					if h == nil || !strings.HasPrefix(status, fmt.Sprint(h.Status)) ||
						h.Get("Server-Seal") == "" || !strings.HasPrefix(long, got) {
						t.Fatalf("%s, %s: %+v, %v", kind, status, h, err)
					}
					if whole := err == nil && got == long; whole != (takes < budget) || took != min(takes, budget) {
						t.Errorf("%s, %s that takes %v: %d bytes and %v after %v",
							kind, status, takes, len(got), err, took)
					}
				})
			}
		}
	}
}

// Faults that are put in on purpose are found by the same run.
func TestPlantedFaultsAreFound(t *testing.T) {
	t.Parallel()
	with := func(change func(*attempt.Rules)) attempt.Rules {
		r := attempt.DefaultRules()
		change(&r)
		return r
	}
	judged := func(change func(attempt.Evidence) (attempt.Classification, bool)) attempt.Rules {
		return with(func(r *attempt.Rules) {
			r.Classify = func(e attempt.Evidence) attempt.Classification {
				if v, turned := change(e); turned {
					return v
				}
				return attempt.Classify(e)
			}
		})
	}
	for name, c := range map[string]struct {
		rules attempt.Rules
		kind  string
		want  string
	}{
		"ids are not compared": {with(func(r *attempt.Rules) {
			r.OwnerOf = func(string, int, string) attempt.ResponseOwner { return attempt.ThisRequest }
		}), "get", "the answer is to"},
		"a connection with bytes behind an answer is used again": {with(func(r *attempt.Rules) {
			r.Reusable = func(e attempt.Evidence) bool { e.TrailingBytes = 0; return e.Reusable() }
		}), "once", "the next filing is answered 502"},
		"a reset after bytes is taken for unsent": {judged(func(e attempt.Evidence) (attempt.Classification, bool) {
			return attempt.Classification{Result: balance.NotSent}, e.Response == attempt.NoResponse
		}), "once", "ran 2 times"},
		"a bare 503 is passed on": {judged(func(e attempt.Evidence) (attempt.Classification, bool) {
			passedOn := attempt.Classification{
				Result: balance.Failure, MayHaveRun: true, Response: attempt.ServerResponse,
			}
			return passedOn, e.Status == 503 && !e.NotExecuted && e.Response == attempt.Complete
		}), "once", "answered 503, but it ran"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var fault string
			inFakeTime(t, func(t testing.TB) { fault, _ = play(t, c.rules, c.kind, true, moves) })
			if !strings.Contains(fault, c.want) {
				t.Errorf("found %q, want %q", fault, c.want)
			}
		})
	}
}

// Of two servers that have a request at once, the slower one's answer is nobody's: it
// comes on a connection that is closed by then, and the next requests get their own.
func TestLateResponseOfTheSlowerAttemptIsDropped(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		s := newStage(t, attempt.DefaultRules())
		s.renew()
		for range 10 { // what is usual is learnt
			s.warm()
		}
		answered, late := make(chan struct{}), make(chan error, 1)
		slow := move{name: "answers late", runs: true, do: func(a *scriptedRequest) bool {
			<-answered
			a.say(strings.ReplaceAll(a.whole(), "own:", "not:")) // as long: nothing else speaks against the connection
			_, err := a.in.ReadByte()                            // the connection has ended, whatever was sent on it
			late <- err
			return false
		}}
		status, sc := s.request("get", &slow, &fine)
		close(answered)
		if status != 200 || sc.arrivals.Load() != 2 {
			t.Fatalf("answered %d, %d servers had it", status, sc.arrivals.Load())
		}
		begun := time.Now()
		if err := <-late; err == nil || time.Since(begun) > 0 {
			t.Errorf("the connection of the slower one goes on: %v after %v", err, time.Since(begun))
		}
		for range 10 {
			if status, sc := s.request("once", &fine, &fine); status != 200 || sc.runs.Load() != 1 {
				t.Errorf("the next one is answered %d, ran %d times", status, sc.runs.Load())
			}
		}
		if s.fault != "" {
			t.Error(s.fault)
		}
	})
}
