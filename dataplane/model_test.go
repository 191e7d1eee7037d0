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

// These tests run a gateway with three servers that follow a script for each request id. They cover all ordered pairs
// of server behaviors, on new and kept-alive connections and for each kind of request. The responses that clients
// received and the requests that ran are checked against the invariants.

// behaviorRun is a run through all ordered pairs of behaviors.
type behaviorRun struct {
	*harness
	kind            string // of the requests
	kept            bool   // connections are kept alive between requests
	nonIdempotent   bool   // requests of the kind are not idempotent
	needsNewServers bool   // all current servers may be excluded because of earlier failures
	secondAttempts  int    // requests that reached a second server
}

// runBehaviorPairs runs all ordered pairs of behaviors. It returns the first violation of an invariant and the number
// of requests that reached a second server.
func runBehaviorPairs(
	t testing.TB, rules attempt.Rules, kind string, kept bool, behaviors []behavior,
) (violation string, secondAttempts int) {
	p := &behaviorRun{
		harness: newHarness(t, rules), kind: kind, kept: kept,
		nonIdempotent: kind != "get" && kind != "head", needsNewServers: true,
	}
	if _, fake := t.(memoryTB); !fake {
		p.recordDeadlineExceeded()
	}
	for i := range behaviors {
		for j := range behaviors {
			if p.nonIdempotent && behaviors[i].runs && j%8 != i%8 { // reaches no second server: test a sample
				continue
			}
			p.runPair(&behaviors[i], &behaviors[j])
			if p.violation != "" {
				return p.violation, p.secondAttempts
			}
		}
	}
	return "", p.secondAttempts
}

// runPair sends a request whose first two servers show the two behaviors, then one that is answered normally.
func (p *behaviorRun) runPair(first, second *behavior) {
	p.setUp()
	status, sc := p.request(p.kind, first, second)
	if sc.arrivals.Load() == 0 && status == 503 { // all current servers were excluded
		p.replaceServers()
		status, sc = p.request(p.kind, first, second)
	}
	if sc.arrivals.Load() > 1 {
		p.secondAttempts++
	}
	if sc.arrivals.Load() == 0 && !endsByDeadline(first, second) {
		p.report("%s, %s, then %s: request reached no server: status %d", p.kind, first.name, second.name, status)
	}
	what := fmt.Sprintf("%s, kept %v, %s, then %s", p.kind, p.kept, first.name, second.name)
	// Whatever is left on connections, the next non-idempotent request gets its own response.
	next, nextScript := p.request("once", &normalResponse, &normalResponse)
	p.needsNewServers = next == 503
	mayFail := next == 502 && (first.racesNext || second.racesNext)
	if next != 200 && !p.needsNewServers && !mayFail {
		p.report("%s: next non-idempotent request got status %d", what, next)
	}
	p.checkRuns(what, p.nonIdempotent, status, sc)
	p.checkRuns(what+", next request", true, next, nextScript)
}

// setUp prepares servers and connections for a pair.
func (p *behaviorRun) setUp() {
	if !p.kept || p.needsNewServers {
		p.replaceServers()
	}
	if p.kept && p.needsNewServers {
		p.warmUp()
	}
	if _, fake := p.t.(memoryTB); fake {
		time.Sleep(20 * time.Millisecond) // long enough for failed servers to be tried again
	}
}

// For all ordered pairs of server behaviors, with each kind of request, on kept-alive and new connections: a
// non-idempotent request runs at most once; a request answered with 408, 421, 429 or 503 has not run; each response
// belongs to its request and comes from the server or the gateway itself; a truncated response is visibly truncated;
// and no byte of another response reaches the client.
func TestInvariantsHoldWhateverServersDo(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"get", "head", "once", "chunks", "long"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s kept=%v", kind, kept), func(t *testing.T) {
				t.Parallel()
				inFakeTime(t, func(t testing.TB) {
					violation, secondAttempts := runBehaviorPairs(t, attempt.DefaultRules(), kind, kept, behaviors)
					if violation != "" {
						t.Error(violation)
					}
					// A long body can't be sent to a second server.
					minimum := map[string]int{"get": 1200, "head": 1200, "once": 200, "chunks": 200}
					if secondAttempts < minimum[kind] {
						t.Errorf("only %d requests reached a second server", secondAttempts)
					}
				})
			})
		}
	}
}

// In fake time responses take no time, so none may be truncated by its deadline. On real sockets a loaded machine can
// be arbitrarily slow, so a response may be truncated, but only if the gateway exceeded the deadline of the request
// while it read from the server.
func TestInvariantsHoldOnSockets(t *testing.T) {
	t.Parallel()
	var some []behavior
	for _, m := range behaviors {
		switch m.name {
		case "answers", "resets", "closes", "rejects before the body", "part of a body, silent",
			"long", "long, resets", "a long failure",
			"503, not executed", "response without an id after", "closes after its response",
			"resets after its response":
			some = append(some, m)
		}
	}
	for _, kind := range []string{"get", "once", "long"} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s kept=%v", kind, kept), func(t *testing.T) {
				t.Parallel()
				if violation, _ := runBehaviorPairs(t, attempt.DefaultRules(), kind, kept, some); violation != "" {
					t.Error(violation)
				}
			})
		}
	}
}

// A long response from a slow server is truncated visibly and exactly at the deadline of the request, and is complete
// if it arrives before. The same applies to error responses.
func TestDeadlineCutsALongResponse(t *testing.T) {
	t.Parallel()
	const budget = 40 * time.Millisecond
	for _, kind := range []string{"get", "once"} {
		for _, status := range []string{"200 OK", "500 x"} {
			for _, takes := range []time.Duration{budget - 1, budget + 1} {
				inFakeTime(t, func(t testing.TB) {
					long := strings.Repeat("x", 2*maxHeldResponse)
					c := dial(t, newGateway(t, newBackend(t, func(w io.Writer, _ *h1.Head, _ []byte) bool {
						write(w, responseHead(status, "a1", sealField("a1")+lengthField(len(long)))+
							long[:maxHeldResponse+9])
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
					h, got, err := c.readResponse()
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

// Deliberately broken rules are detected by the same checks.
func TestPlantedFaultsAreFound(t *testing.T) {
	t.Parallel()
	with := func(change func(*attempt.Rules)) attempt.Rules {
		r := attempt.DefaultRules()
		change(&r)
		return r
	}
	classify := func(change func(attempt.Evidence) (attempt.Classification, bool)) attempt.Rules {
		return with(func(r *attempt.Rules) {
			r.Classify = func(e attempt.Evidence) attempt.Classification {
				if v, replaced := change(e); replaced {
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
		}), "get", "response belongs to"},
		"a connection with trailing bytes is reused": {with(func(r *attempt.Rules) {
			r.Reusable = func(e attempt.Evidence) bool { e.TrailingBytes = 0; return e.Reusable() }
		}), "once", "next non-idempotent request got status 502"},
		"a reset is classified as not sent": {classify(func(e attempt.Evidence) (attempt.Classification, bool) {
			return attempt.Classification{Result: balance.NotSent}, e.Response == attempt.NoResponse
		}), "once", "ran 2 times"},
		"a bare 503 is forwarded": {classify(func(e attempt.Evidence) (attempt.Classification, bool) {
			forwarded := attempt.Classification{
				Result: balance.Failure, MayHaveRun: true, Response: attempt.ServerResponse,
			}
			return forwarded, e.Status == 503 && !e.NotExecuted && e.Response == attempt.Complete
		}), "once", "got status 503, but it ran"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var violation string
			inFakeTime(t, func(t testing.TB) { violation, _ = runBehaviorPairs(t, c.rules, c.kind, true, behaviors) })
			if !strings.Contains(violation, c.want) {
				t.Errorf("got violation %q, want %q", violation, c.want)
			}
		})
	}
}

// After a hedged request, the response of the slower server reaches no client: the gateway closes that server's
// connection, and later requests get their own responses.
func TestLateResponseOfTheSlowerAttemptIsDropped(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		s := newHarness(t, attempt.DefaultRules())
		s.replaceServers()
		for range 10 { // the gateway learns the usual latency
			s.warmUp()
		}
		answered, late := make(chan struct{}), make(chan error, 1)
		slow := behavior{name: "answers late", runs: true, do: func(a *scriptedRequest) bool {
			<-answered
			a.send(strings.ReplaceAll(a.success(), "own:", "not:")) // same length: only the content differs
			_, err := a.in.ReadByte()                               // the gateway has closed the connection
			late <- err
			return false
		}}
		status, sc := s.request("get", &slow, &normalResponse)
		close(answered)
		if status != 200 || sc.arrivals.Load() != 2 {
			t.Fatalf("status %d, request reached %d servers", status, sc.arrivals.Load())
		}
		begun := time.Now()
		if err := <-late; err == nil || time.Since(begun) > 0 {
			t.Errorf("connection of the slower server was not closed at once: %v after %v", err, time.Since(begun))
		}
		for range 10 {
			if status, sc := s.request("once", &normalResponse, &normalResponse); status != 200 || sc.runs.Load() != 1 {
				t.Errorf("later request got status %d, ran %d times", status, sc.runs.Load())
			}
		}
		if s.violation != "" {
			t.Error(s.violation)
		}
	})
}
