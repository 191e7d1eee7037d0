package dataplane

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/settings"
	"example.org/elmspan/versioned"
)

// scriptedRequest is a request as a scripted server has it.
type scriptedRequest struct {
	net.Conn
	in   *bufio.Reader
	head *h1.Head
	id   string
	prev string // id of the request before on the connection, or an unknown one
}

func (a *scriptedRequest) reset() bool {
	resetOnClose(a.Conn)
	return false
}

func (a *scriptedRequest) say(parts ...string) { write(a, strings.Join(parts, "")) }

// wait waits until the gateway gives the connection up.
func (a *scriptedRequest) wait() bool {
	_, _ = io.Copy(io.Discard, a.in) // it ends with the connection, in whatever way
	return false
}

func answerHead(status, id, fields string) string {
	return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id + "\r\n" + fields + "\r\n"
}

func sized(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

func sealed(id string) string { return "Server-Seal: seal-" + id + "\r\n" }

func ownBody(id string) string { return "own:" + id }

func longBody(id string) string {
	return strings.Repeat(id+"|", 2*maxHeldResponse/(len(id)+1))
}

// body is a body, unless the request is one that has none in its answer.
func (a *scriptedRequest) body(s string) string {
	if a.head.Method == "HEAD" {
		return ""
	}
	return s
}

func (a *scriptedRequest) whole() string {
	b := ownBody(a.id)
	return answerHead("200 OK", a.id, sealed(a.id)+sized(len(b))) + a.body(b)
}

func (a *scriptedRequest) failure(status, fields string) string {
	b := "fail:" + a.id
	return answerHead(status, a.id, "Failed: 1\r\n"+fields+sized(len(b))) + a.body(b)
}

const secret = "SOMEONE-ELSES"

func responseTo(id string) string {
	return answerHead("200 OK", id, sealed(id)+sized(len(secret))) + secret
}

var nobodysAnswer = "HTTP/1.1 200 OK\r\nServer-Seal: x\r\n" + sized(len(secret)) + "\r\n" + secret

// move is what a server does with a request. It returns whether the connection goes on.
type move struct {
	name    string
	runs    bool // it has begun work on it
	early   bool // before it has read the body
	breaks  bool // an answer may end before its end, visibly
	crosses bool // what it sends later may meet the next request on its way
	do      func(a *scriptedRequest) bool
}

var fine = move{name: "answers", runs: true, do: func(a *scriptedRequest) bool { a.say(a.whole()); return true }}

// moves are all that a server can do.
var moves = []move{
	fine,
	{name: "resets before the body", early: true, do: (*scriptedRequest).reset},
	{name: "closes before the body", early: true, do: func(*scriptedRequest) bool { return false }},
	{name: "refuses before the body", early: true, do: func(a *scriptedRequest) bool {
		a.say(a.failure("503 x", "Not-Executed: full\r\nConnection: close\r\n"))
		return false
	}},
	{name: "resets", runs: true, do: (*scriptedRequest).reset},
	{name: "closes", runs: true, do: func(*scriptedRequest) bool { return false }},
	{name: "is silent", runs: true, do: (*scriptedRequest).wait},
	{name: "says nonsense", runs: true, do: func(a *scriptedRequest) bool { a.say(secret, "\r\n\r\n"); return false }},
	{name: "part of a head, closes", runs: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole()[:30])
		return false
	}},
	{name: "part of a head, silent", runs: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole()[:30])
		return a.wait()
	}},
	{name: "part of a body, closes", runs: true, do: func(a *scriptedRequest) bool {
		w := a.whole()
		a.say(w[:len(w)-3])
		return false
	}},
	{name: "part of a body, silent", runs: true, do: func(a *scriptedRequest) bool {
		w := a.whole()
		a.say(w[:len(w)-3])
		return a.wait()
	}},
	{name: "in chunks", runs: true, do: func(a *scriptedRequest) bool {
		b := ownBody(a.id)
		head := answerHead("200 OK", a.id, sealed(a.id)+"Transfer-Encoding: chunked\r\n")
		a.say(head, a.body(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(b), b)))
		return true
	}},
	{name: "in chunks, no last one", runs: true, breaks: true, do: func(a *scriptedRequest) bool {
		b := ownBody(a.id)
		head := answerHead("200 OK", a.id, sealed(a.id)+"Transfer-Encoding: chunked\r\n")
		a.say(head, fmt.Sprintf("%x\r\n%s\r\n", len(b), b))
		return false
	}},
	{name: "long", runs: true, do: func(a *scriptedRequest) bool {
		b := longBody(a.id)
		a.say(answerHead("200 OK", a.id, sealed(a.id)+sized(len(b))), a.body(b))
		return true
	}},
	{name: "long, resets", runs: true, breaks: true, do: func(a *scriptedRequest) bool {
		b := longBody(a.id)
		a.say(answerHead("200 OK", a.id, sealed(a.id)+sized(len(b))), a.body(b[:len(b)-9]))
		return a.reset()
	}},
	{name: "a failure, cut short", runs: true, do: func(a *scriptedRequest) bool {
		w := a.failure("500 x", "")
		a.say(w[:len(w)-3])
		return false
	}},
	{name: "not found, cut short", runs: true, do: func(a *scriptedRequest) bool {
		w := a.failure("404 x", "")
		a.say(w[:len(w)-3])
		return false
	}},
	{name: "a long failure", runs: true, do: func(a *scriptedRequest) bool {
		b := longBody(a.id)
		a.say(answerHead("500 x", a.id, "Failed: 1\r\n"+sized(len(b))), a.body(b))
		return true
	}},
	{name: "500", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("500 x", "")); return true }},
	{name: "504", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("504 x", "")); return true }},
	{name: "404", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("404 x", "")); return true }},
	{name: "204", runs: true, do: func(a *scriptedRequest) bool {
		a.say(answerHead("204 x", a.id, sealed(a.id)))
		return true
	}},
	{name: "bare 503", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("503 x", "")); return true }},
	{name: "bare 429", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("429 x", "")); return true }},
	{name: "bare 408", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("408 x", "")); return true }},
	{name: "bare 400", runs: true, do: func(a *scriptedRequest) bool { a.say(a.failure("400 x", "")); return true }},
	{name: "421", do: func(a *scriptedRequest) bool { a.say(a.failure("421 x", "")); return true }},
	{name: "503, not executed", do: func(a *scriptedRequest) bool {
		a.say(a.failure("503 x", "Not-Executed: full\r\n"))
		return true
	}},
	{name: "429, not executed", do: func(a *scriptedRequest) bool {
		a.say(a.failure("429 x", "Not-Executed: full\r\n"))
		return true
	}},
	{name: "500, not executed", do: func(a *scriptedRequest) bool {
		a.say(a.failure("500 x", "Not-Executed: full\r\n"))
		return true
	}},
	{name: "400, not executed", do: func(a *scriptedRequest) bool {
		a.say(a.failure("400 x", "Not-Executed: bad\r\n"))
		return true
	}},
	{name: "503, not executed, cut short", do: func(a *scriptedRequest) bool {
		w := a.failure("503 x", "Not-Executed: full\r\n")
		a.say(w[:len(w)-3])
		return false
	}},
	{name: "no seal", runs: true, do: func(a *scriptedRequest) bool {
		a.say(answerHead("200 OK", a.id, sized(2)), a.body("no"))
		return true
	}},
	{name: "without an end", runs: true, do: func(a *scriptedRequest) bool {
		a.say(answerHead("200 OK", a.id, sealed(a.id)), a.body("no end"))
		return false
	}},
	{name: "announces it", runs: true, do: func(a *scriptedRequest) bool {
		a.say("HTTP/1.1 103 x\r\nX: 1\r\n\r\n", a.whole())
		return true
	}},
	{name: "says that it closes", runs: true, do: func(a *scriptedRequest) bool {
		a.say(strings.Replace(a.whole(), "\r\n", "\r\nConnection: close\r\n", 1))
		return false
	}},
	{name: "another's before", runs: true, do: func(a *scriptedRequest) bool {
		a.say(responseTo(a.prev), a.whole())
		return true
	}},
	{name: "another's instead", runs: true, do: func(a *scriptedRequest) bool {
		a.say(responseTo(a.prev))
		return false
	}},
	{name: "nobody's before", runs: true, do: func(a *scriptedRequest) bool {
		a.say(nobodysAnswer, a.whole())
		return true
	}},
	{name: "nobody's instead", runs: true, do: func(a *scriptedRequest) bool { a.say(nobodysAnswer); return true }},
	{name: "with two ids", runs: true, do: func(a *scriptedRequest) bool {
		a.say(strings.Replace(a.whole(), "\r\n", "\r\nAttempt-Id: x\r\n", 1))
		return true
	}},
	{name: "twice", runs: true, do: func(a *scriptedRequest) bool { a.say(a.whole(), a.whole()); return true }},
	{name: "nobody's behind", runs: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole(), nobodysAnswer)
		return true
	}},
	{name: "part of another's behind", runs: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole(), responseTo("x")[:40])
		return true
	}},
	{name: "twice, the second late", runs: true, crosses: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole())
		a.say(a.whole())
		return true
	}},
	{name: "closes behind its answer", runs: true, crosses: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole())
		return false
	}},
	{name: "resets behind its answer", runs: true, crosses: true, do: func(a *scriptedRequest) bool {
		a.say(a.whole())
		return a.reset()
	}},
}

// script is what becomes of one request, and the record of what did.
type script struct {
	moves    [2]*move // of the first servers that it reaches; the third answers
	arrivals atomic.Int32
	runs     atomic.Int32
}

// stage is a gateway before scripted servers, with one client.
type stage struct {
	t       testing.TB
	g       *Gateway
	scripts sync.Map // by id
	timeUp  sync.Map // ids of requests whose time was up in the middle of a long answer
	table   versioned.Table
	servers []*backend
	n       int
	c       *client
	fault   string // the first invariant that was broken
}

func (s *stage) serve(c net.Conn) {
	defer closeConn(c)
	a := &scriptedRequest{Conn: c, in: bufio.NewReader(c), id: "stranger"}
	for {
		var err error
		setDeadline(c, time.Now().Add(2*hangTimeout))
		if a.head, err = h1.ReadRequest(a.in, 1<<16); err != nil {
			return
		}
		a.prev, a.id = a.id, a.head.Get("Attempt-Id")
		known, ok := s.scripts.Load(a.id)
		if !ok {
			return
		}
		sc, m := known.(*script), &fine
		if i := int(sc.arrivals.Add(1)) - 1; i < len(sc.moves) {
			m = sc.moves[i]
		}
		if m.runs {
			sc.runs.Add(1)
		}
		if !m.early {
			n, err := a.head.RequestFraming()
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, h1.NewBody(a.in, n)); err != nil {
				return
			}
		}
		if !m.early {
			s.work()
		}
		if !m.do(a) {
			return
		}
	}
}

// work takes a moment of fake time, so that what is usual is learnt: a second server is
// tried beside one that takes longer.
func (s *stage) work() {
	if _, fake := s.t.(inMemory); fake {
		time.Sleep(time.Millisecond)
	}
}

func newStage(t testing.TB, rules attempt.Rules) *stage {
	s := &stage{t: t}
	for range 3 {
		l := listenOn(t)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go s.serve(c)
			}
		}()
		s.servers = append(s.servers, &backend{addr: l.Addr().String()})
	}
	s.g = newGatewayOf(t, settings.Timing{GraceS: 3}, s.servers...)
	s.g.forwarder.rules = rules
	return s
}

// renew puts new instances of the servers in place of those before: nothing speaks against
// them, and no connection leads to them.
func (s *stage) renew() {
	version := s.g.EndpointsVersion() + 1
	var list []api.Server
	for i, b := range s.servers {
		list = append(list, serverAt(fmt.Sprintf("i-%d-%d", i, version), b.addr))
	}
	applyServers(s.t, s.g, &s.table, version, list)
}

// warm has connections kept, as many as come by themselves.
func (s *stage) warm() {
	for range 4 {
		s.request("get", &fine, &fine)
	}
}

func (s *stage) broken(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf(format, args...)
	}
}

// clientRequest is a request of a kind, as its client sends it.
type clientRequest struct{ method, line, fields, body string }

// requestOf returns the request of a kind.
func requestOf(kind string) clientRequest {
	switch kind {
	case "head":
		return clientRequest{method: "HEAD", line: "HEAD /get/"}
	case "once":
		return clientRequest{method: "POST", line: "POST /once/", fields: sized(4), body: "body"}
	case "chunks":
		return clientRequest{
			method: "POST", line: "POST /once/", fields: "Transfer-Encoding: chunked\r\n",
			body: "4\r\nbody\r\n0\r\n\r\n",
		}
	case "long":
		body := strings.Repeat("b", 2*maxHeldBody)
		return clientRequest{method: "POST", line: "POST /once/", fields: sized(len(body)), body: body}
	}
	return clientRequest{method: "GET", line: "GET /get/"}
}

// request sends one request and holds its response against the invariants.
func (s *stage) request(kind string, first, second *move) (status int, sc *script) {
	s.n++
	id := fmt.Sprintf("%s-%d", kind, s.n)
	sc = &script{moves: [2]*move{first, second}}
	s.scripts.Store(id, sc)
	s.saveRetries()
	if s.c == nil {
		s.c = dial(s.t, s.g)
	}
	setDeadline(s.c, time.Now().Add(hangTimeout))
	budget := ""
	if endsByDeadline(first, second) {
		budget = "Time-Budget-Ms: 40\r\n"
	}
	r := requestOf(kind)
	writef(s.c, "%s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nAuthorization: Token k\r\n%s%s\r\n%s",
		r.line, id, budget, r.fields, r.body)
	what := fmt.Sprintf("%s, %s, then %s", kind, first.name, second.name)
	h, err := h1.ReadResponse(s.c.in, 1<<16)
	if err != nil {
		s.broken("%s: no answer: %v", what, err)
		s.hangUp()
		return 0, sc
	}
	framing, err := h.ResponseFraming(r.method)
	var got []byte
	if err == nil {
		got, err = io.ReadAll(h1.NewBody(s.c.in, framing))
	}
	if _, up := s.timeUp.Load(id); err != nil && !first.breaks && !second.breaks && !up {
		s.broken("%s: %d ends early: %v", what, h.Status, err)
	}
	s.checkResponse(what, &receivedResponse{
		id: id, method: r.method, head: h, body: string(got), truncated: err != nil, runs: sc.runs.Load(),
	})
	if err != nil || h.ClosesConnection() {
		s.hangUp()
	}
	return h.Status, sc
}

// saveRetries has the gateway save up for further attempts.
func (s *stage) saveRetries() {
	s.g.guarded.mu.Lock()
	defer s.g.guarded.mu.Unlock()
	for range 8 {
		s.g.guarded.limiter.AccrueRetryBudget("s")
	}
}

// receivedResponse is what a client got.
type receivedResponse struct {
	id, method string // of its request
	head       *h1.Head
	body       string
	truncated  bool  // it ended early, visibly
	runs       int32 // how often its request ran
}

// matches reports whether the body is the given one, as far as it came.
func (r *receivedResponse) matches(body string) bool {
	return r.body == body || r.truncated && strings.HasPrefix(body, r.body) ||
		r.method == "HEAD" && r.body == "" || r.head.Status == 204
}

// isServers reports whether a server gave the response.
func (r *receivedResponse) isServers() bool {
	return r.head.Get("Server-Seal") != "" || r.head.Get("Failed") != ""
}

// isGenuineSuccess reports whether a success is the one of a server that ran the request.
func (r *receivedResponse) isGenuineSuccess() bool {
	return r.head.Get("Server-Seal") == "seal-"+r.id && r.head.Get("Failed") == "" && r.runs > 0
}

// checkResponse holds a response against the invariants.
func (s *stage) checkResponse(what string, r *receivedResponse) {
	own := ownBody(r.id)
	if r.head.Get("Failed") != "" {
		own = "fail:" + r.id
	}
	switch {
	case r.head.Get("Attempt-Id") != r.id || r.head.Count("Attempt-Id") != 1:
		s.broken("%s: the answer is to %q", what, r.head.Get("Attempt-Id"))
	case strings.Contains(r.body, secret):
		s.broken("%s: someone else's bytes: %q", what, r.body)
	case r.head.Status/100 == 2 && !r.isGenuineSuccess():
		s.broken("%s: a success that is not the server's: %+v", what, r.head)
	case r.isServers() && !r.matches(own) && !r.matches(longBody(r.id)):
		s.broken("%s: %d with %.60q", what, r.head.Status, r.body)
	}
}

// endsByDeadline reports whether one of the moves ends with the request's time.
func endsByDeadline(ms ...*move) bool {
	return slices.ContainsFunc(ms, func(m *move) bool { return strings.Contains(m.name, "silent") })
}

func (s *stage) hangUp() {
	closeConn(s.c)
	s.c = nil
}

// checkRuns checks a request's record against its status, once nothing of it is under way.
func (s *stage) checkRuns(what string, once bool, status int, sc *script) {
	runs := sc.runs.Load()
	switch {
	case once && runs > 1:
		s.broken("%s: ran %d times", what, runs)
	case runs > 0 && (status == 408 || status == 421 || status == 429 || status == 503):
		s.broken("%s: answered %d, but it ran", what, status)
	}
}

// recorded is a connection of the gateway to a server that records the requests whose
// time was up while the gateway read an answer to them that it passed on already.
type recorded struct {
	net.Conn
	s    *stage
	id   string // of the request on it
	long bool   // so is the answer: it is passed on before it is whole
}

func (s *stage) recordTimeUp() {
	dial := s.g.forwarder.pool.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	s.g.forwarder.pool.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &recorded{Conn: c, s: s}, nil
	}
}

var (
	idField     = regexp.MustCompile(`\r\nAttempt-Id: (\S+)\r\n`)
	lengthField = regexp.MustCompile(`\r\nContent-Length: (\d+)\r\n`)
)

func (c *recorded) Write(b []byte) (int, error) {
	if m := idField.FindSubmatch(b); m != nil {
		c.id, c.long = string(m[1]), false
	}
	return c.Conn.Write(b)
}

func (c *recorded) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if m := lengthField.FindSubmatch(b[:n]); m != nil {
		length, _ := strconv.Atoi(string(m[1]))
		c.long = c.long || length > maxHeldResponse
	}
	if c.long && errors.Is(err, os.ErrDeadlineExceeded) {
		c.s.timeUp.Store(c.id, true)
	}
	return n, err
}

func (c *recorded) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }
