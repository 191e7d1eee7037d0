package dataplane

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/settings"
)

// The last response on a connection is not lost to a TCP reset while the client is still sending: the gateway discards
// what arrives until the client closes or the linger time has passed.
func TestLastResponseIsNotLostToAReset(t *testing.T) {
	t.Parallel()
	g := newGateway(t, newBackend(t, respondOK("yes")))
	g.listener.linger = hangTimeout
	c := dial(t, g)
	c.send("POST /once/", "Content-Length: 9999999\r\n", strings.Repeat("b", 64<<10))
	if h := c.expect(413, ""); !h.ClosesConnection() {
		t.Errorf("%+v has no Connection: close", h)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("reading past the response returned %v, want EOF", err)
	}
	for range 8 {
		if _, err := io.WriteString(c, strings.Repeat("b", 64<<10)); err != nil {
			t.Fatalf("sending after the response failed: %v", err)
		}
	}
	closeConn(c)
	waitForNoConns(t, g)
}

// An HTTP/1.0 client does not understand chunked encoding: it gets the plain body, delimited by the close of the
// connection, or by a reset if the body is truncated.
func TestHTTP10ClientGetsTheBodyUntilClose(t *testing.T) {
	t.Parallel()
	const body = "in two chunks"
	b := newBackend(t, func(w io.Writer, h *h1.Head, _ []byte) bool {
		write(w, responseHead("200 OK", "a1", sealField("a1")+"Transfer-Encoding: chunked\r\n"))
		writef(w, "3\r\n%s\r\n%x\r\n%s\r\n", body[:3], len(body)-3, body[3:])
		if h.Target == "/get/cut" {
			return false
		}
		write(w, "0\r\n\r\n")
		return true
	})
	g := newGatewayWithTiming(t, settings.Timing{GraceS: 3}, b)
	for target, truncated := range map[string]bool{"/get/whole": false, "/get/cut": true} {
		c := dial(t, g)
		writef(c, "GET %s HTTP/1.0\r\nHost: h\r\nAttempt-Id: a1\r\n", target)
		write(c, "Authorization: Token k\r\nConnection: keep-alive\r\n\r\n")
		h, err := h1.ReadResponse(c.in, 1<<16)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(c.in)
		complete := err == nil && string(got) == body
		reset := errors.Is(err, syscall.ECONNRESET) && strings.HasPrefix(body, string(got))
		if h.Get("Transfer-Encoding") != "" || !h.ClosesConnection() || !truncated && !complete || truncated && !reset {
			t.Errorf("%s: %+v %q, %v", target, h, got, err)
		}
	}
}

// An HTTP/1.0 client does not understand interim responses and would take one for the final response (RFC 9110, 15.2).
func TestHTTP10ClientGetsNoInterimResponse(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		g := newGatewayWithTiming(t, settings.Timing{GraceS: 3}, newBackend(t, respondOK("yes")))
		c := dial(t, g)
		write(c, "POST /once/ HTTP/1.0\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k\r\n",
			"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		waitForRequests(t, g, 1)
		write(c, "body")
		if line, err := c.in.ReadString('\n'); err != nil || line != "HTTP/1.1 200 OK\r\n" {
			t.Errorf("first line is %q, %v; want the final response", line, err)
		}
	})
}

// A response to HEAD has the framing fields that the server sent, and no body.
func TestHeadResponseHasTheLengthOfGet(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		b := newBackend(t, func(w io.Writer, h *h1.Head, _ []byte) bool {
			framing := map[string]string{
				"/get/sized":   "Content-Length: 123456\r\n",
				"/get/chunked": "Transfer-Encoding: chunked\r\n",
				"/get/unsaid":  "",
			}[h.Target]
			writef(w, "HTTP/1.1 404 x\r\nAttempt-Id: a1\r\n%s\r\n", framing)
			return true
		})
		c := dial(t, newGateway(t, b))
		for target, want := range map[string]struct{ length, encoding string }{
			"/get/sized":   {"123456", ""},
			"/get/chunked": {"", "chunked"},
			"/get/unsaid":  {"", ""},
		} {
			c.send("HEAD "+target, "", "")
			h, err := h1.ReadResponse(c.in, 1<<16)
			if err != nil || h.Status != 404 ||
				h.Get("Content-Length") != want.length || h.Get("Transfer-Encoding") != want.encoding {
				t.Errorf("%s: %+v, %v; want %v", target, h, err, want)
			}
		}
	})
}

// firstResponses are the ways in which the server responds to the first of several pipelined requests. Each function
// reports whether the server keeps the connection open.
var firstResponses = map[string]func(w io.Writer, id string) bool{
	"slow": func(w io.Writer, id string) bool {
		write(w, responseHead("200 OK", id, sealField(id)+lengthField(len(expectedBody(id)))), expectedBody(id))
		return true
	},
	"refused": func(w io.Writer, id string) bool {
		write(w, responseHead("503 x", id, "Not-Executed: full\r\n"+lengthField(0)))
		return true
	},
	"failed": func(w io.Writer, id string) bool {
		write(w, responseHead("500 x", id, lengthField(4)), "fail")
		return true
	},
	"closed": func(io.Writer, string) bool { return false },
	"truncated": func(w io.Writer, id string) bool {
		write(w, responseHead("200 OK", id, sealField(id)+lengthField(2*maxHeldResponse)), "cut")
		return false
	},
}

// Pipelined requests are answered in order, each with its own id, whether the first is slow, rejected or fails. If the
// first response is truncated, no other follows.
func TestPipelinedResponsesKeepOrderBehindAFailure(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		want := map[string]int{"slow": 200, "refused": 503, "failed": 500, "closed": 502}
		for first, answer := range firstResponses {
			others := make(chan struct{})
			var done atomic.Int64
			b := newBackend(t, func(w io.Writer, h *h1.Head, _ []byte) bool {
				id := h.Get("Attempt-Id")
				if id == "0" {
					<-others // wait until the other requests have been answered
					return answer(w, id)
				}
				write(w, responseHead("200 OK", id, sealField(id)+lengthField(len(expectedBody(id)))), expectedBody(id))
				if done.Add(1) == 3 {
					close(others)
				}
				return true
			})
			c := dial(t, newGateway(t, b))
			c.pipeline(4)
			if first == "truncated" {
				if h, _, err := c.readResponse(); err == nil {
					t.Errorf("truncated: the first response is %+v", h)
				}
				continue
			}
			c.expectPipelined(first, 0, want[first])
			for id := 1; id < 4; id++ {
				c.expectPipelined(first, id, 200)
			}
		}
	})
}

// pipeline sends n requests in a single write.
func (c *client) pipeline(n int) {
	var all strings.Builder
	for id := range n {
		fmt.Fprintf(&all, "GET /open/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: %d\r\n\r\n", id)
	}
	write(c, all.String())
}

// expectPipelined reads the next response and checks that it belongs to the given request.
func (c *client) expectPipelined(name string, request, status int) {
	c.t.Helper()
	id := fmt.Sprint(request)
	h, got, err := c.readResponse()
	if err != nil || h.Status != status || h.Get("Attempt-Id") != id || status == 200 && got != expectedBody(id) {
		c.t.Errorf("%s: response %s: got %+v %q, %v; want status %d", name, id, h, got, err, status)
	}
}

// Concurrent clients, some of which reset or half-close their connection early, send requests to servers with
// randomly chosen behaviors. Each response belongs to its own request, a non-idempotent request runs at most once, and
// a rejected request has not run. A client that has half-closed its connection counts as disconnected: it may get no
// response, but its connection is closed within the time budget of its requests.
func TestResponsesStayWithTheirClients(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		const clients, rounds = 6, 60
		s := newHarness(t, attempt.DefaultRules())
		s.replaceServers()
		var mu sync.Mutex
		report := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			s.report(format, args...)
		}
		var wg sync.WaitGroup
		var rejected sync.Map // status by id of the requests that were rejected
		var responses atomic.Int64
		for n := range clients {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(n), 1))
				for round := range rounds {
					if n == 0 && round%10 == 9 {
						mu.Lock()
						s.replaceServers()
						mu.Unlock()
					}
					nc, err := dialOn(t, s.g.listener.tcp.Addr().String())
					if err != nil {
						report("%v", err)
						return
					}
					c := &client{t, nc, nil}
					setDeadline(c, time.Now().Add(hangTimeout))
					name := fmt.Sprintf("c%d-%d", n, round)
					conv := conversation{harness: s, client: c, name: name, rng: rng, report: report}
					responses.Add(conv.run(&rejected))
					closeConn(nc)
				}
			})
		}
		wg.Wait()
		if s.violation != "" {
			t.Error(s.violation)
		}
		s.scripts.Range(func(id, sc any) bool {
			if runs := sc.(*script).runs.Load(); runs > 1 && strings.HasSuffix(id.(string), "-once") {
				t.Errorf("%v ran %d times", id, runs)
			}
			return true
		})
		rejected.Range(func(id, status any) bool {
			sc, _ := s.scripts.Load(id)
			if sc.(*script).runs.Load() > 0 {
				t.Errorf("%v got status %v, but it ran", id, status)
			}
			return true
		})
		if responses.Load() < clients*rounds/2 {
			t.Errorf("only %d responses received", responses.Load())
		}
	})
}

// conversation is a client connection with up to four pipelined requests.
type conversation struct {
	*harness
	client     *client
	name       string // prefix of the request ids
	rng        *rand.Rand
	report     func(format string, args ...any) // harness.report, safe for concurrent use
	ids        []string                         // of the requests sent
	truncates  bool                             // a response may be truncated
	halfClosed bool                             // the client has closed its sending side
}

const conversationBudget = 300 * time.Millisecond

// run sends the requests and reads their responses, unless the client disconnects. It returns the number of responses
// received, and adds to rejected those whose status says that the request has not run.
func (v *conversation) run(rejected *sync.Map) (responses int64) {
	var all strings.Builder
	for i := range 1 + v.rng.IntN(4) {
		all.WriteString(v.request(i))
	}
	c := v.client
	c.in = readerPool.New().(*bufio.Reader)
	c.in.Reset(c.Conn)
	sent := time.Now()
	write(c, all.String())
	switch v.rng.IntN(5) {
	case 0: // reset the connection while requests are in flight
		resetOnClose(c.Conn)
		if v.rng.IntN(2) == 0 {
			_, _ = c.in.ReadByte() // reset after the first byte of a response, if there is one
		}
		return 0
	case 1:
		v.halfClosed = true
		closeWrite(c.Conn)
	}
	for _, id := range v.ids {
		h, got, err := c.readResponse()
		if h == nil || err != nil {
			v.checkEnd(id, err, time.Since(sent))
			return responses
		}
		responses++
		v.check(id, h, got)
		if h.Status == 503 || h.Status == 429 || h.Status == 408 || h.Status == 421 {
			rejected.Store(id, h.Status)
		}
		if h.ClosesConnection() {
			return responses
		}
	}
	return responses
}

// checkEnd checks the invariants for a connection that ended before the response to a request.
func (v *conversation) checkEnd(id string, err error, after time.Duration) {
	switch {
	case v.halfClosed:
		if after > conversationBudget {
			v.report("%s: connection stayed open for %v although its client had disconnected", id, after)
		}
	case !v.truncates && after < conversationBudget: // after the time budget, the gateway must abort the request
		v.report("%s: connection ended early: %v", id, err)
	}
}

// request returns the text of the next request. It chooses at random how servers respond to it.
func (v *conversation) request(i int) string {
	sc := &script{}
	for k := range sc.behaviors {
		if sc.behaviors[k] = &behaviors[v.rng.IntN(len(behaviors))]; v.rng.IntN(2) == 0 {
			sc.behaviors[k] = &normalResponse
		}
		v.truncates = v.truncates || sc.behaviors[k].truncates
	}
	id, line, body := fmt.Sprintf("%s-%d-get", v.name, i), "GET /get/ HTTP/1.1\r\n", ""
	if v.rng.IntN(3) == 0 {
		id, body = fmt.Sprintf("%s-%d-once", v.name, i), "body"
		line = "POST /once/ HTTP/1.1\r\nContent-Length: 4\r\n"
	}
	v.scripts.Store(id, sc)
	v.ids = append(v.ids, id)
	return fmt.Sprintf("%sHost: h\r\nAttempt-Id: %s\r\nAuthorization: Token k\r\nTime-Budget-Ms: %d\r\n\r\n%s",
		line, id, conversationBudget.Milliseconds(), body)
}

// check checks a response against the invariants.
func (v *conversation) check(id string, h *h1.Head, got string) {
	own := got == expectedBody(id) || got == longResponseBody(id) || h.Status == 204
	switch {
	case h.Get("Attempt-Id") != id:
		v.report("request %s got the response to %s", id, h.Get("Attempt-Id"))
	case h.Status/100 == 2 && (!own || h.Get("Server-Seal") != "seal-"+id):
		v.report("%s: wrong body or seal: %+v with %.60q", id, h, got)
	case h.Get("Failed") != "" && got != "fail:"+id && !own:
		v.report("%s: wrong body of a failure, status %d: %.60q", id, h.Status, got)
	case strings.Contains(got, foreignBody):
		v.report("%s: body has bytes of another response", id)
	}
}

// A long response may take until the deadline of its request: the write timeout for short responses does not apply.
func TestLongResponseMayTakeTheTimeOfItsRequest(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		long := strings.Repeat("x", 2*maxHeldResponse)
		g := newGateway(t, newBackend(t, respondOK(long)))
		g.listener.writeTimeout = 0
		c := dial(t, g)
		c.send("GET /get/", "", "")
		c.expect(200, long)
	})
}

// A request with Expect: 100-continue that is rejected gets its response at once, because the client may never send
// the body.
func TestRefusedBeforeTheBodyIsSent(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		g := newGateway(t, newBackend(t, respondOK("yes")))
		g.listener.linger = 2 * hangTimeout
		c := dial(t, g)
		c.send("POST /none/", "Content-Length: 4\r\nExpect: 100-continue\r\n", "")
		if h := c.expect(404, ""); !h.ClosesConnection() {
			t.Errorf("%+v: no Connection: close although the client may still send the body", h)
		}
		closeConn(c)
	})
}

// A gateway that ends in the middle of a body that is delimited by the end of the connection resets the connection: an
// orderly close would make the truncated body look complete.
func TestBodyUntilCloseIsResetWhenTheGatewayEnds(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		stalled := make(chan struct{})
		b := newBackend(t, func(w io.Writer, _ *h1.Head, _ []byte) bool {
			write(w, responseHead("404 x", "a1", sealField("a1")), strings.Repeat("x", 2*maxHeldResponse))
			<-stalled
			return false
		})
		g := newGateway(t, b)
		c := dial(t, g)
		write(c, "GET /get/ HTTP/1.0\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k\r\n\r\n")
		if _, err := io.ReadFull(c.in, make([]byte, maxHeldResponse)); err != nil {
			t.Fatal(err)
		}
		g.listener.closeAll()
		if _, err := io.ReadAll(c.in); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("the connection ends with %v; want a reset", err)
		}
		close(stalled)
	})
}
