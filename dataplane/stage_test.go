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

// harness is a gateway with scripted servers and one client.
type harness struct {
	t                testing.TB
	g                *Gateway
	scripts          sync.Map // by request id
	deadlineExceeded sync.Map // ids of requests whose deadline passed during a long response
	table            versioned.Table
	servers          []*backend
	n                int     // requests sent by request
	c                *client // nil: the next request opens a connection
	violation        string  // the first violation of an invariant
}

// serve handles a connection to a server according to the scripts of its requests.
func (s *harness) serve(c net.Conn) {
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
		sc, m := known.(*script), &normalResponse
		if i := int(sc.arrivals.Add(1)) - 1; i < len(sc.behaviors) {
			m = sc.behaviors[i]
		}
		if m.runs {
			sc.runs.Add(1)
		}
		if !m.beforeBody {
			n, err := a.head.RequestFraming()
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, h1.NewBody(a.in, n)); err != nil {
				return
			}
		}
		if !m.beforeBody {
			s.work()
		}
		if !m.do(a) {
			return
		}
	}
}

// work takes 1 ms of fake time, so that the gateway learns a usual latency and hedges requests that take longer.
func (s *harness) work() {
	if _, fake := s.t.(memoryTB); fake {
		time.Sleep(time.Millisecond)
	}
}

// newHarness starts a gateway that uses the given rules, with three scripted servers.
func newHarness(t testing.TB, rules attempt.Rules) *harness {
	s := &harness{t: t}
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
	s.g = newGatewayWithTiming(t, settings.Timing{GraceS: 3}, s.servers...)
	s.g.forwarder.rules = rules
	return s
}

// replaceServers replaces the servers by new instances, which have no recorded failures and no open connections.
func (s *harness) replaceServers() {
	version := s.g.EndpointsVersion() + 1
	var list []api.Server
	for i, b := range s.servers {
		list = append(list, testServer(fmt.Sprintf("i-%d-%d", i, version), b.addr))
	}
	applyServers(s.t, s.g, &s.table, version, list)
}

// warmUp sends requests so that the gateway opens connections to servers and keeps them alive.
func (s *harness) warmUp() {
	for range 4 {
		s.request("get", &normalResponse, &normalResponse)
	}
}

// report records the violation of an invariant, unless there is an earlier one.
func (s *harness) report(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// clientRequest is a request as its client sends it.
type clientRequest struct{ method, line, fields, body string }

// newClientRequest returns a request of the given kind.
func newClientRequest(kind string) clientRequest {
	switch kind {
	case "head":
		return clientRequest{method: "HEAD", line: "HEAD /get/"}
	case "once":
		return clientRequest{method: "POST", line: "POST /once/", fields: lengthField(4), body: "body"}
	case "chunks":
		return clientRequest{
			method: "POST", line: "POST /once/", fields: "Transfer-Encoding: chunked\r\n",
			body: "4\r\nbody\r\n0\r\n\r\n",
		}
	case "long":
		body := strings.Repeat("b", 2*maxHeldBody)
		return clientRequest{method: "POST", line: "POST /once/", fields: lengthField(len(body)), body: body}
	}
	return clientRequest{method: "GET", line: "GET /get/"}
}

// request sends a request and checks its response against the invariants.
func (s *harness) request(kind string, first, second *behavior) (status int, sc *script) {
	s.n++
	id := fmt.Sprintf("%s-%d", kind, s.n)
	sc = &script{behaviors: [2]*behavior{first, second}}
	s.scripts.Store(id, sc)
	s.fillRetryBudget()
	if s.c == nil {
		s.c = dial(s.t, s.g)
	}
	setDeadline(s.c, time.Now().Add(hangTimeout))
	budget := ""
	if endsByDeadline(first, second) {
		budget = "Time-Budget-Ms: 40\r\n"
	}
	r := newClientRequest(kind)
	writef(s.c, "%s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nAuthorization: Token k\r\n%s%s\r\n%s",
		r.line, id, budget, r.fields, r.body)
	what := fmt.Sprintf("%s, %s, then %s", kind, first.name, second.name)
	h, err := h1.ReadResponse(s.c.in, 1<<16)
	if err != nil {
		s.report("%s: no response: %v", what, err)
		s.closeClient()
		return 0, sc
	}
	framing, err := h.ResponseFraming(r.method)
	var got []byte
	if err == nil {
		got, err = io.ReadAll(h1.NewBody(s.c.in, framing))
	}
	if _, late := s.deadlineExceeded.Load(id); err != nil && !first.truncates && !second.truncates && !late {
		s.report("%s: response of status %d is truncated: %v", what, h.Status, err)
	}
	s.checkResponse(what, &receivedResponse{
		id: id, method: r.method, head: h, body: string(got), truncated: err != nil, runs: sc.runs.Load(),
	})
	if err != nil || h.ClosesConnection() {
		s.closeClient()
	}
	return h.Status, sc
}

// fillRetryBudget fills the gateway's retry budget.
func (s *harness) fillRetryBudget() {
	s.g.guarded.mu.Lock()
	defer s.g.guarded.mu.Unlock()
	for range 8 {
		s.g.guarded.limiter.AccrueRetryBudget("s")
	}
}

// receivedResponse is a response that a client received.
type receivedResponse struct {
	id, method string // of its request
	head       *h1.Head
	body       string
	truncated  bool  // visibly truncated
	runs       int32 // how often its request ran
}

// matches reports whether the body equals the given one, or a prefix of it if the response is truncated.
func (r *receivedResponse) matches(body string) bool {
	return r.body == body || r.truncated && strings.HasPrefix(body, r.body) ||
		r.method == "HEAD" && r.body == "" || r.head.Status == 204
}

// isFromServer reports whether the response comes from a server rather than from the gateway.
func (r *receivedResponse) isFromServer() bool {
	return r.head.Get("Server-Seal") != "" || r.head.Get("Failed") != ""
}

// isGenuineSuccess reports whether a success comes from a server that ran the request.
func (r *receivedResponse) isGenuineSuccess() bool {
	return r.head.Get("Server-Seal") == "seal-"+r.id && r.head.Get("Failed") == "" && r.runs > 0
}

// checkResponse checks a response against the invariants.
func (s *harness) checkResponse(what string, r *receivedResponse) {
	own := expectedBody(r.id)
	if r.head.Get("Failed") != "" {
		own = "fail:" + r.id
	}
	switch {
	case r.head.Get("Attempt-Id") != r.id || r.head.Count("Attempt-Id") != 1:
		s.report("%s: response belongs to %q", what, r.head.Get("Attempt-Id"))
	case strings.Contains(r.body, foreignBody):
		s.report("%s: body has bytes of another response: %q", what, r.body)
	case r.head.Status/100 == 2 && !r.isGenuineSuccess():
		s.report("%s: success without a valid seal, or without a run: %+v", what, r.head)
	case r.isFromServer() && !r.matches(own) && !r.matches(longResponseBody(r.id)):
		s.report("%s: wrong body with status %d: %.60q", what, r.head.Status, r.body)
	}
}

// endsByDeadline reports whether one of the behaviors lasts until the deadline of the request.
func endsByDeadline(ms ...*behavior) bool {
	return slices.ContainsFunc(ms, func(m *behavior) bool { return strings.Contains(m.name, "silent") })
}

// closeClient closes the client's connection. The next request opens another one.
func (s *harness) closeClient() {
	closeConn(s.c)
	s.c = nil
}

// checkRuns checks that a request ran no more often than its status and its kind allow. No attempt may be in flight.
func (s *harness) checkRuns(what string, nonIdempotent bool, status int, sc *script) {
	runs := sc.runs.Load()
	switch {
	case nonIdempotent && runs > 1:
		s.report("%s: ran %d times", what, runs)
	case runs > 0 && (status == 408 || status == 421 || status == 429 || status == 503):
		s.report("%s: got status %d, but it ran", what, status)
	}
}

// recordingConn is a connection of the gateway to a server. It records the requests whose deadline passed while the
// gateway read a long response, which it forwards before the response is complete.
type recordingConn struct {
	net.Conn
	s    *harness
	id   string // of the current request
	long bool   // the response is too long to be buffered
}

// recordDeadlineExceeded makes the gateway use recordingConns.
func (s *harness) recordDeadlineExceeded() {
	dial := s.g.forwarder.pool.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	s.g.forwarder.pool.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &recordingConn{Conn: c, s: s}, nil
	}
}

var (
	attemptIDField     = regexp.MustCompile(`\r\nAttempt-Id: (\S+)\r\n`)
	contentLengthField = regexp.MustCompile(`\r\nContent-Length: (\d+)\r\n`)
)

func (c *recordingConn) Write(b []byte) (int, error) {
	if m := attemptIDField.FindSubmatch(b); m != nil {
		c.id, c.long = string(m[1]), false
	}
	return c.Conn.Write(b)
}

func (c *recordingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if m := contentLengthField.FindSubmatch(b[:n]); m != nil {
		length, _ := strconv.Atoi(string(m[1]))
		c.long = c.long || length > maxHeldResponse
	}
	if c.long && errors.Is(err, os.ErrDeadlineExceeded) {
		c.s.deadlineExceeded.Store(c.id, true)
	}
	return n, err
}

func (c *recordingConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
