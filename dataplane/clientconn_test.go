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

// The last answer on a connection is not lost to a reset because its client was still
// sending: what comes is read past until the client has closed, or for a moment.
func TestLastResponseIsNotLostToAReset(t *testing.T) {
	t.Parallel()
	g := newGateway(t, newBackend(t, good("yes")))
	g.listener.linger = hangTimeout
	c := dial(t, g)
	c.send("POST /once/", "Content-Length: 9999999\r\n", strings.Repeat("b", 64<<10))
	if h := c.want(413, ""); !h.ClosesConnection() {
		t.Errorf("%+v does not say that the connection closes", h)
	}
	if _, err := c.in.ReadByte(); err != io.EOF {
		t.Errorf("the connection ends with %v", err)
	}
	for range 8 {
		if _, err := io.WriteString(c, strings.Repeat("b", 64<<10)); err != nil {
			t.Fatalf("sending on meets %v", err)
		}
	}
	closeConn(c)
	waitForNoConns(t, g)
}

// A client of HTTP/1.0 knows no chunks: it gets the body as it is, up to the end of the
// connection, which is a reset where the body breaks off.
func TestHTTP10ClientGetsTheBodyUntilClose(t *testing.T) {
	t.Parallel()
	const body = "in two chunks"
	b := newBackend(t, func(w io.Writer, h *h1.Head, _ []byte) bool {
		write(w, answerHead("200 OK", "a1", sealed("a1")+"Transfer-Encoding: chunked\r\n"))
		writef(w, "3\r\n%s\r\n%x\r\n%s\r\n", body[:3], len(body)-3, body[3:])
		if h.Target == "/get/cut" {
			return false
		}
		write(w, "0\r\n\r\n")
		return true
	})
	g := newGatewayOf(t, settings.Timing{GraceS: 3}, b)
	for target, breaks := range map[string]bool{"/get/whole": false, "/get/cut": true} {
		c := dial(t, g)
		writef(c, "GET %s HTTP/1.0\r\nHost: h\r\nAttempt-Id: a1\r\n", target)
		write(c, "Authorization: Token k\r\nConnection: keep-alive\r\n\r\n")
		h, err := h1.ReadResponse(c.in, 1<<16)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(c.in)
		whole := err == nil && string(got) == body
		reset := errors.Is(err, syscall.ECONNRESET) && strings.HasPrefix(body, string(got))
		if h.Get("Transfer-Encoding") != "" || !h.ClosesConnection() || !breaks && !whole || breaks && !reset {
			t.Errorf("%s: %+v %q, %v", target, h, got, err)
		}
	}
}

// Nor does it know answers that only announce another: one would be taken for its own
// (RFC 9110, 15.2).
func TestHTTP10ClientGetsNoInterimResponse(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		g := newGatewayOf(t, settings.Timing{GraceS: 3}, newBackend(t, good("yes")))
		c := dial(t, g)
		write(c, "POST /once/ HTTP/1.0\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k\r\n",
			"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		waitForRequests(t, g, 1)
		write(c, "body")
		if line, err := c.in.ReadString('\n'); err != nil || line != "HTTP/1.1 200 OK\r\n" {
			t.Errorf("%q, %v", line, err)
		}
	})
}

// An answer to HEAD says of the body what its server says, and has none.
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

// answerFirst is what becomes of the first of several pipelined requests. It reports whether the connection goes on.
var answerFirst = map[string]func(w io.Writer, id string) bool{
	"slow": func(w io.Writer, id string) bool {
		write(w, answerHead("200 OK", id, sealed(id)+sized(len(ownBody(id)))), ownBody(id))
		return true
	},
	"refused": func(w io.Writer, id string) bool {
		write(w, answerHead("503 x", id, "Not-Executed: full\r\n"+sized(0)))
		return true
	},
	"failed": func(w io.Writer, id string) bool {
		write(w, answerHead("500 x", id, sized(4)), "fail")
		return true
	},
	"closed": func(io.Writer, string) bool { return false },
	"truncated": func(w io.Writer, id string) bool {
		write(w, answerHead("200 OK", id, sealed(id)+sized(2*maxHeldResponse)), "cut")
		return false
	},
}

// Requests that are pipelined are answered in their order, each with its own id, whether the first is slow, refused or
// fails; where its response is truncated, nothing follows.
func TestPipelinedResponsesKeepOrderBehindAFailure(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		want := map[string]int{"slow": 200, "refused": 503, "failed": 500, "closed": 502}
		for first, answer := range answerFirst {
			others := make(chan struct{})
			var done atomic.Int64
			b := newBackend(t, func(w io.Writer, h *h1.Head, _ []byte) bool {
				id := h.Get("Attempt-Id")
				if id == "0" {
					<-others // the others were answered before
					return answer(w, id)
				}
				write(w, answerHead("200 OK", id, sealed(id)+sized(len(ownBody(id)))), ownBody(id))
				if done.Add(1) == 3 {
					close(others)
				}
				return true
			})
			c := dial(t, newGateway(t, b))
			c.pipeline(4)
			if first == "truncated" {
				if h, _, err := c.answer(); err == nil {
					t.Errorf("truncated: the first response is %+v", h)
				}
				continue
			}
			c.wantPipelined(first, 0, want[first])
			for id := 1; id < 4; id++ {
				c.wantPipelined(first, id, 200)
			}
		}
	})
}

// pipeline sends n requests at once.
func (c *client) pipeline(n int) {
	var all strings.Builder
	for id := range n {
		fmt.Fprintf(&all, "GET /open/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: %d\r\n\r\n", id)
	}
	write(c, all.String())
}

// wantPipelined reads the next response, which must be the one to a request.
func (c *client) wantPipelined(name string, request, status int) {
	c.t.Helper()
	id := fmt.Sprint(request)
	h, got, err := c.answer()
	if err != nil || h.Status != status || h.Get("Attempt-Id") != id || status == 200 && got != ownBody(id) {
		c.t.Errorf("%s: the response %s is %+v %q, %v; want %d", name, id, h, got, err, status)
	}
}

// Many clients at once, some of whom reset their connection in the middle or close half
// of it, before servers that do everything: each answer is to its own request, each
// filing runs once at most, and what is refused has not run. Who has closed half counts as
// gone: it need not be answered, but its connection ends within the time of its requests.
func TestResponsesStayWithTheirClients(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		const clients, rounds = 6, 60
		s := newStage(t, attempt.DefaultRules())
		s.renew()
		var mu sync.Mutex
		broken := func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			s.broken(format, args...)
		}
		var wg sync.WaitGroup
		var refused sync.Map // scripts of what was refused
		var answers atomic.Int64
		for n := range clients {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(n), 1))
				for round := range rounds {
					if n == 0 && round%10 == 9 {
						mu.Lock()
						s.renew()
						mu.Unlock()
					}
					nc, err := dialOn(t, s.g.listener.tcp.Addr().String())
					if err != nil {
						broken("%v", err)
						return
					}
					c := &client{t, nc, nil}
					setDeadline(c, time.Now().Add(hangTimeout))
					name := fmt.Sprintf("c%d-%d", n, round)
					talk := conversation{stage: s, client: c, name: name, rng: rng, broken: broken}
					answers.Add(talk.run(&refused))
					closeConn(nc)
				}
			})
		}
		wg.Wait()
		if s.fault != "" {
			t.Error(s.fault)
		}
		s.scripts.Range(func(id, sc any) bool {
			if runs := sc.(*script).runs.Load(); runs > 1 && strings.HasSuffix(id.(string), "-once") {
				t.Errorf("%v ran %d times", id, runs)
			}
			return true
		})
		refused.Range(func(id, status any) bool {
			sc, _ := s.scripts.Load(id)
			if sc.(*script).runs.Load() > 0 {
				t.Errorf("%v is answered %v, but it ran", id, status)
			}
			return true
		})
		if answers.Load() < clients*rounds/2 {
			t.Errorf("only %d answers came", answers.Load())
		}
	})
}

// conversation is one connection of a client with up to four pipelined requests.
type conversation struct {
	*stage
	client    *client
	name      string
	rng       *rand.Rand
	broken    func(format string, args ...any)
	ids       []string
	truncates bool // a response may end early
	left      bool // the client has closed its connection in one direction
}

const conversationBudget = 300 * time.Millisecond

// run sends the requests and reads their responses, unless the client goes away. It returns how many responses came,
// and notes those that say that a request has not run.
func (v *conversation) run(refused *sync.Map) (answers int64) {
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
	case 0: // goes away in the middle
		resetOnClose(c.Conn)
		if v.rng.IntN(2) == 0 {
			_, _ = c.in.ReadByte() // whether a response has come by then or not
		}
		return 0
	case 1:
		v.left = true
		closeWrite(c.Conn)
	}
	for _, id := range v.ids {
		h, got, err := c.answer()
		if h == nil || err != nil {
			v.checkEnd(id, err, time.Since(sent))
			return answers
		}
		answers++
		v.check(id, h, got)
		if h.Status == 503 || h.Status == 429 || h.Status == 408 || h.Status == 421 {
			refused.Store(id, h.Status)
		}
		if h.ClosesConnection() {
			return answers
		}
	}
	return answers
}

// checkEnd holds the end of a connection on which a response is due against the invariants.
func (v *conversation) checkEnd(id string, err error, after time.Duration) {
	switch {
	case v.left:
		if after > conversationBudget {
			v.broken("%s: its client has left, and the connection goes on for %v", id, after)
		}
	case !v.truncates && after < conversationBudget: // later it was cut off because its time was up, as it must be
		v.broken("%s: %v", id, err)
	}
}

// request draws what servers do with the next request, and returns it.
func (v *conversation) request(i int) string {
	sc := &script{}
	for k := range sc.moves {
		if sc.moves[k] = &moves[v.rng.IntN(len(moves))]; v.rng.IntN(2) == 0 {
			sc.moves[k] = &fine
		}
		v.truncates = v.truncates || sc.moves[k].breaks
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

// check holds a response against the invariants.
func (v *conversation) check(id string, h *h1.Head, got string) {
	own := got == ownBody(id) || got == longBody(id) || h.Status == 204
	switch {
	case h.Get("Attempt-Id") != id:
		v.broken("the response to %s is that to %s", id, h.Get("Attempt-Id"))
	case h.Status/100 == 2 && (!own || h.Get("Server-Seal") != "seal-"+id):
		v.broken("%s: %+v with %.60q", id, h, got)
	case h.Get("Failed") != "" && got != "fail:"+id && !own:
		v.broken("%s: %d with %.60q", id, h.Status, got)
	case strings.Contains(got, secret):
		v.broken("%s: someone else's bytes", id)
	}
}

// A long answer may take as long as its request: it is not cut off because it takes
// longer than a short one may.
func TestLongResponseMayTakeTheTimeOfItsRequest(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		long := strings.Repeat("x", 2*maxHeldResponse)
		g := newGateway(t, newBackend(t, good(long)))
		g.listener.writeTimeout = 0
		c := dial(t, g)
		c.send("GET /get/", "", "")
		c.want(200, long)
	})
}

// Who asks before it sends a body, and is turned away, is refused at once: the body may
// never come.
func TestRefusedBeforeTheBodyIsSent(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		g := newGateway(t, newBackend(t, good("yes")))
		g.listener.linger = 2 * hangTimeout
		c := dial(t, g)
		c.send("POST /none/", "Content-Length: 4\r\nExpect: 100-continue\r\n", "")
		if h := c.want(404, ""); !h.ClosesConnection() {
			t.Errorf("%+v: whether a body follows can't be told", h)
		}
		closeConn(c)
	})
}
