package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/h1"
)

// failureBody is the body of a server's failure.
type failureBody struct {
	framing, body string
	truncated     bool
}

// longFailure is longer than what is held.
var longFailure = strings.Repeat("0123456789abcdef", 4000)

var failureBodies = map[string]failureBody{
	"short of its length": {framing: "Content-Length: 30", body: "half", truncated: true},
	"within a chunk":      {framing: "Transfer-Encoding: chunked", body: "9\r\nhalf", truncated: true},
	"between chunks":      {framing: "Transfer-Encoding: chunked", body: "4\r\nhalf\r\n", truncated: true},
	"no chunk":            {framing: "Transfer-Encoding: chunked", body: "no chunk\r\n", truncated: true},
	"long, short of its end": {
		framing: fmt.Sprintf("Content-Length: %d", len(longFailure)+9), body: longFailure, truncated: true,
	},
	"long": {framing: fmt.Sprintf("Content-Length: %d", len(longFailure)), body: longFailure},
	"long, in chunks": {
		framing: "Transfer-Encoding: chunked",
		body:    fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(longFailure), longFailure),
	},
}

// A server's failure that is truncated is not passed on as if it were whole, and takes nothing of the response behind
// it: the client's next response is its own from its first byte. One that is whole goes back whole, however long.
func TestTruncatedFailureIsNotPassedOnAsWhole(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		for _, status := range []string{"500 x", "404 x", "504 x", "501 x"} {
			for name, c := range failureBodies {
				c.test(t, status+", "+name, status)
			}
		}
	})
}

// test has a request fail so, with another one pipelined behind it.
func (c *failureBody) test(t testing.TB, name, status string) {
	t.Helper()
	b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
		if h.Target != "/once/" {
			return good("the next one's")(w, h, body)
		}
		writef(w, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\n%s\r\n\r\n%s", status, h.Get("Attempt-Id"), c.framing, c.body)
		return !c.truncated
	})
	k := dial(t, newGateway(t, b))
	k.send("POST /once/", "Content-Length: 4\r\n", "body")
	k.send("GET /get/", "", "") // what would be taken for the rest
	h, got, err := k.answer()
	switch {
	case !c.truncated && (err != nil || !strings.HasPrefix(status, fmt.Sprint(h.Status)) || got != longFailure):
		t.Errorf("%s: %+v, %d bytes, %v; want the server's", name, h, len(got), err)
	case c.truncated && err == nil && h.Status != 502:
		t.Errorf("%s: %+v %.40q looks complete", name, h, got)
	case strings.Contains(got, "HTTP/1.1"):
		t.Errorf("%s: the response behind it is taken for the rest", name)
	}
	if err != nil { // visibly incomplete: the connection has ended with it
		if _, err := k.in.ReadByte(); err == nil {
			t.Errorf("%s: something follows", name)
		}
		return
	}
	if h, got, err := k.answer(); err != nil || h.Status != 200 || got != "the next one's" {
		t.Errorf("%s: the next one: %+v %q, %v", name, h, got, err)
	}
}

// givenUp is a connection that calls back when its deadline is taken off, as is done
// when it is put back into the pool.
type givenUp struct {
	*net.TCPConn
	put func()
}

func (c givenUp) SetDeadline(t time.Time) error {
	if t.IsZero() {
		c.put()
	}
	return c.TCPConn.SetDeadline(t)
}

// A try that is given up just after its answer came closes no connection that the pool
// has taken back: whoever takes it next may have sent a filing on it.
func TestCancellationClosesNoConnectionOfAnother(t *testing.T) {
	t.Parallel()
	g := newGateway(t, newBackend(t, good("own")))
	host := g.forwarder.pool.Host("i-0")
	c, err := g.forwarder.pool.Connect(context.Background(), host)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tcp := c.Conn.(*net.TCPConn)
	g.forwarder.pool.Put(c)
	c.Conn = givenUp{tcp, cancel}
	fields := []h1.Field{{Name: "Host", Value: "h"}, {Name: "Attempt-Id", Value: "a1"}}
	r := &request{
		ctx:      context.Background(),
		head:     &h1.Head{Method: "GET", Target: "/get/", Fields: fields},
		route:    g.router.current().route("h", "/get/"),
		deadline: time.Now().Add(hangTimeout),
	}
	g.guarded.mu.Lock()
	m := g.guarded.limiter.Members()[0]
	g.guarded.mu.Unlock()
	o := g.forwarder.attempt(r, &upstreamAttempt{member: m, ctx: ctx, cancel: cancel, host: host}, host)
	if ctx.Err() == nil {
		t.Fatal("the connection was not put back")
	}
	if o.result != balance.Success || g.forwarder.pool.IdleConns("i-0") != 1 || g.forwarder.pool.OpenConns() != 1 {
		t.Errorf("result %d, %d idle, %d open; want a response and its connection kept",
			o.result, g.forwarder.pool.IdleConns("i-0"), g.forwarder.pool.OpenConns())
	}
	if g.forwarder.pool.Get(host) != c {
		t.Error("the connection that was put back is closed")
	}
}

// A request that must not run twice is sent on only when its turn to be answered has
// come: if the connection ends with an answer before, it counts as not read, and its
// client sends it again.
func TestNonIdempotentRequestWaitsForItsTurn(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		begun, breakOff := make(chan struct{}), make(chan struct{})
		var filed atomic.Int64
		b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
			if h.Target == "/once/" {
				filed.Add(1)
				return good("filed")(w, h, body)
			}
			write(w, answerHead("200 OK", "a1", sealed("a1")+sized(2*maxHeldResponse)))
			write(w, strings.Repeat("x", maxHeldResponse))
			close(begun)
			<-breakOff
			return false
		})
		g := newGateway(t, b)
		c := dial(t, g)
		c.send("GET /get/", "", "")
		<-begun
		c.send("POST /once/", "Content-Length: 4\r\n", "body")
		waitForRequests(t, g, 2)
		close(breakOff)
		if h, _, err := c.answer(); err == nil {
			t.Errorf("%+v looks complete", h)
		}
		waitForNoConns(t, g)
		if n := filed.Load(); n != 0 {
			t.Errorf("ran %d times behind an answer that ended the connection", n)
		}
	})
}

// waitForRequests waits until a gateway's only connection has had so many requests.
func waitForRequests(t testing.TB, g *Gateway, n int) {
	t.Helper()
	wait(t, func() bool {
		for c := range g.listener.conns {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.requestsRead >= n
		}
		return false
	}, g)
}

// waitForNoConns waits until a gateway has no connection of clients.
func waitForNoConns(t testing.TB, g *Gateway) {
	t.Helper()
	wait(t, func() bool { return len(g.listener.conns) == 0 }, g)
}

// wait waits until something holds, which is scriptedRequest under the listener's mutex.
func wait(t testing.TB, holds func() bool, g *Gateway) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		g.listener.mu.Lock()
		ok := holds()
		g.listener.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(end) {
			t.Fatal("it never came to that")
		}
	}
}

// What announces that a body is welcome does not stand inside another answer.
func TestContinueWaitsForItsTurn(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		const n = 2 * maxHeldResponse
		body := strings.Repeat("x", n)
		begun, goOn := make(chan struct{}), make(chan struct{})
		b := newBackend(t, func(w io.Writer, h *h1.Head, got []byte) bool {
			if h.Target == "/once/" {
				return good(string(got))(w, h, nil)
			}
			write(w, answerHead("200 OK", "a1", sealed("a1")+sized(n)), body[:n/2])
			close(begun)
			<-goOn
			write(w, body[n/2:])
			return true
		})
		g := newGateway(t, b)
		c := dial(t, g)
		c.send("GET /get/", "", "")
		<-begun
		if h, err := h1.ReadResponse(c.in, 1<<16); err != nil || h.Status != 200 {
			t.Fatalf("%+v, %v", h, err)
		}
		c.send("POST /once/", "Content-Length: 4\r\nExpect: 100-continue\r\n", "")
		waitForRequests(t, g, 2)
		close(goOn)
		got := make([]byte, n)
		if _, err := io.ReadFull(c.in, got); err != nil || string(got) != body {
			t.Errorf("the first body holds what is not its own: %v", err)
		}
		if line, err := c.in.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
			t.Fatalf("%q, %v", line, err)
		}
		if _, err := c.in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		write(c, "body")
		c.want(200, "body")
	})
}

// A request without an id is not sent: its answer could not be distinguished from another's.
func TestRequestWithoutIDIsNotForwarded(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		b := newBackend(t, good("yes"))
		c := dial(t, newGateway(t, b))
		write(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\nContent-Length: 4\r\n\r\nbody")
		c.want(400, "")
		if n := b.seen.Load(); n != 0 {
			t.Errorf("it was sent %d times", n)
		}
	})
}

// Fields that are for the server stay, also where a client or a server calls them its
// connection's own: without Host or the id a request is another one, without id or
// seal an answer is nobody's (RFC 9110, 7.6.1).
func TestEndToEndFieldsArePassedOn(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		b := newBackend(t, func(w io.Writer, _ *h1.Head, _ []byte) bool {
			write(w, "HTTP/1.1 200 OK\r\nConnection: Server-Seal, Attempt-Id, X\r\nX: 1\r\n",
				"Attempt-Id: a1\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		c := dial(t, newGateway(t, b))
		c.send("GET /get/", "Connection: Host, Attempt-Id, Y\r\nY: 1\r\n", "")
		h := c.want(200, "")
		if h.Get("Server-Seal") != "s" || h.Get("Attempt-Id") != "a1" || h.Get("X") != "" {
			t.Errorf("the client gets %+v", h)
		}
		if got := b.last.Load(); got.Get("Host") != "h" || got.Get("Attempt-Id") != "a1" || got.Get("Y") != "" {
			t.Errorf("the server gets %+v", got)
		}
	})
}

// What a server says before it has had the whole body counts: that it has not run the
// request is the one thing that lets a filing be sent again.
func TestResponseBeforeTheWholeBodyCounts(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(l) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h, err := h1.ReadRequest(bufio.NewReader(c), 1<<16)
			if err == nil {
				fields := "Not-Executed: full\r\nConnection: close\r\n" + sized(0)
				write(c, answerHead("503 x", h.Get("Attempt-Id"), fields))
			}
			closeConn(c) // with what it has not read: a reset
		}
	}()
	c := dial(t, newGateway(t, &backend{addr: l.Addr().String()}))
	const long = 1 << 20
	go c.send("POST /once/", fmt.Sprintf("Content-Length: %d\r\n", long), strings.Repeat("x", long))
	if h := c.want(503, ""); h.Get("Retry-After") == "" {
		t.Error("it is not said when to come back")
	}
}

// BenchmarkForward is one small GET through the gateway, on kept connections, with its
// client and its server in the same process.
func BenchmarkForward(b *testing.B) {
	server := newBackend(b, good("a small answer"))
	g := newGateway(b, server)
	c := dial(b, g)
	request := []byte("GET /get/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k\r\n\r\n")
	setDeadline(c, time.Time{})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		if h, _, err := c.answer(); err != nil || h.Status != 200 {
			b.Fatal(h, err)
		}
	}
}
