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
	"syscall"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/settings"
	"example.org/elmspan/versioned"
)

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
