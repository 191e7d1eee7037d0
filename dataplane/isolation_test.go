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

// failureBody is the body of a server's error response.
type failureBody struct {
	framing, body string
	truncated     bool
}

// longFailure is a body that is too long for the gateway to buffer.
var longFailure = strings.Repeat("0123456789abcdef", 4000)

var failureBodies = map[string]failureBody{
	"shorter than its length": {framing: "Content-Length: 30", body: "half", truncated: true},
	"within a chunk":          {framing: "Transfer-Encoding: chunked", body: "9\r\nhalf", truncated: true},
	"between chunks":          {framing: "Transfer-Encoding: chunked", body: "4\r\nhalf\r\n", truncated: true},
	"malformed chunk":         {framing: "Transfer-Encoding: chunked", body: "no chunk\r\n", truncated: true},
	"long, truncated": {
		framing: fmt.Sprintf("Content-Length: %d", len(longFailure)+9), body: longFailure, truncated: true,
	},
	"long": {framing: fmt.Sprintf("Content-Length: %d", len(longFailure)), body: longFailure},
	"long, in chunks": {
		framing: "Transfer-Encoding: chunked",
		body:    fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(longFailure), longFailure),
	},
}

// A truncated error response is not forwarded as if it were complete, and no byte of the next response is taken for
// the rest of it: the client's next response starts at its first byte. A complete error response of any length is
// forwarded completely.
func TestTruncatedErrorResponseIsNotForwardedAsComplete(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		for _, status := range []string{"500 x", "404 x", "504 x", "501 x"} {
			for name, c := range failureBodies {
				c.test(t, status+", "+name, status)
			}
		}
	})
}

// test sends a request that gets an error response with this body, and pipelines another request after it.
func (c *failureBody) test(t testing.TB, name, status string) {
	t.Helper()
	b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
		if h.Target != "/once/" {
			return respondOK("the next one's")(w, h, body)
		}
		writef(w, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\n%s\r\n\r\n%s", status, h.Get("Attempt-Id"), c.framing, c.body)
		return !c.truncated
	})
	k := dial(t, newGateway(t, b))
	k.send("POST /once/", "Content-Length: 4\r\n", "body")
	k.send("GET /get/", "", "") // its response could be taken for the rest of the first
	h, got, err := k.readResponse()
	switch {
	case !c.truncated && (err != nil || !strings.HasPrefix(status, fmt.Sprint(h.Status)) || got != longFailure):
		t.Errorf("%s: %+v, %d bytes, %v; want the server's response", name, h, len(got), err)
	case c.truncated && err == nil && h.Status != 502:
		t.Errorf("%s: truncated response looks complete: %+v %.40q", name, h, got)
	case strings.Contains(got, "HTTP/1.1"):
		t.Errorf("%s: the next response was taken for the rest of the body", name)
	}
	if err != nil { // visibly truncated: the connection must be closed
		if _, err := k.in.ReadByte(); err == nil {
			t.Errorf("%s: more bytes follow a truncated response", name)
		}
		return
	}
	if h, got, err := k.readResponse(); err != nil || h.Status != 200 || got != "the next one's" {
		t.Errorf("%s: next response: %+v %q, %v", name, h, got, err)
	}
}

// poolReturnConn is a connection that calls onReturn when its deadline is cleared, which happens when it is returned
// to the pool.
type poolReturnConn struct {
	*net.TCPConn
	onReturn func()
}

func (c poolReturnConn) SetDeadline(t time.Time) error {
	if t.IsZero() {
		c.onReturn()
	}
	return c.TCPConn.SetDeadline(t)
}

// An attempt that is cancelled just after its response arrived does not close a connection that is already back in the
// pool: its next user may have sent a non-idempotent request on it.
func TestCancellationClosesNoConnectionInThePool(t *testing.T) {
	t.Parallel()
	g := newGateway(t, newBackend(t, respondOK("own")))
	host := g.forwarder.pool.Host("i-0")
	c, err := g.forwarder.pool.Connect(context.Background(), host)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	tcp := c.Conn.(*net.TCPConn)
	g.forwarder.pool.Put(c)
	c.Conn = poolReturnConn{tcp, cancel}
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
		t.Fatal("connection was not returned to the pool")
	}
	if o.result != balance.Success || g.forwarder.pool.IdleConns("i-0") != 1 || g.forwarder.pool.OpenConns() != 1 {
		t.Errorf("result %d, %d idle, %d open; want a response and its connection kept",
			o.result, g.forwarder.pool.IdleConns("i-0"), g.forwarder.pool.OpenConns())
	}
	if g.forwarder.pool.Get(host) != c {
		t.Error("connection returned to the pool is closed")
	}
}

// A pipelined non-idempotent request is forwarded only when the responses before it are complete. If one of them ends
// the connection, the client treats the request as not received and sends it again.
func TestNonIdempotentRequestWaitsForItsTurn(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		started, truncate := make(chan struct{}), make(chan struct{})
		var runs atomic.Int64
		b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
			if h.Target == "/once/" {
				runs.Add(1)
				return respondOK("filed")(w, h, body)
			}
			write(w, responseHead("200 OK", "a1", sealField("a1")+lengthField(2*maxHeldResponse)))
			write(w, strings.Repeat("x", maxHeldResponse))
			close(started)
			<-truncate
			return false
		})
		g := newGateway(t, b)
		c := dial(t, g)
		c.send("GET /get/", "", "")
		<-started
		c.send("POST /once/", "Content-Length: 4\r\n", "body")
		waitForRequests(t, g, 2)
		close(truncate)
		if h, _, err := c.readResponse(); err == nil {
			t.Errorf("truncated response looks complete: %+v", h)
		}
		waitForNoConns(t, g)
		if n := runs.Load(); n != 0 {
			t.Errorf("request ran %d times after a response that ended the connection", n)
		}
	})
}

// A long body that arrives behind a request which is still unanswered was ended with 400: the wait for its turn left
// the connection with a read deadline in the past. It is read to its end, in the time of its request.
func TestLongBodyIsReadAfterTheWaitForItsTurn(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
			if h.Target == "/once/" {
				return respondOK(fmt.Sprint(len(body)))(w, h, body)
			}
			time.Sleep(100 * time.Millisecond)
			return respondOK("first")(w, h, body)
		})
		c := dial(t, newGateway(t, b))
		for _, framing := range []string{"Content-Length: 131072\r\n", "Transfer-Encoding: chunked\r\n"} {
			long := strings.Repeat("x", 2*maxHeldBody)
			if strings.HasPrefix(framing, "Transfer") {
				long = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long)
			}
			c.send("GET /get/", "", "")
			go c.send("POST /once/", framing, long) // blocks until the gateway reads the body
			c.expect(200, "first")
			c.expect(200, "131072")
		}
	})
}

// waitForRequests waits until a gateway has read n requests from its only client connection.
func waitForRequests(t testing.TB, g *Gateway, n int) {
	t.Helper()
	waitUntil(t, func() bool {
		for c := range g.listener.conns {
			c.progress.mu.Lock()
			defer c.progress.mu.Unlock()
			return c.progress.requestsRead >= n
		}
		return false
	}, g)
}

// waitForNoConns waits until a gateway has no client connections.
func waitForNoConns(t testing.TB, g *Gateway) {
	t.Helper()
	waitUntil(t, func() bool { return len(g.listener.conns) == 0 }, g)
}

// waitUntil waits until a condition is true. It evaluates the condition with the listener's mutex held.
func waitUntil(t testing.TB, condition func() bool, g *Gateway) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); ; time.Sleep(time.Millisecond) {
		g.listener.mu.Lock()
		ok := condition()
		g.listener.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(end) {
			t.Fatal("timed out waiting for a condition")
		}
	}
}

// A 100 Continue response is not sent in the middle of the response to an earlier pipelined request.
func TestContinueWaitsForItsTurn(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		const n = 2 * maxHeldResponse
		body := strings.Repeat("x", n)
		started, resume := make(chan struct{}), make(chan struct{})
		b := newBackend(t, func(w io.Writer, h *h1.Head, got []byte) bool {
			if h.Target == "/once/" {
				return respondOK(string(got))(w, h, nil)
			}
			write(w, responseHead("200 OK", "a1", sealField("a1")+lengthField(n)), body[:n/2])
			close(started)
			<-resume
			write(w, body[n/2:])
			return true
		})
		g := newGateway(t, b)
		c := dial(t, g)
		c.send("GET /get/", "", "")
		<-started
		if h, err := h1.ReadResponse(c.in, 1<<16); err != nil || h.Status != 200 {
			t.Fatalf("response head: %+v, %v", h, err)
		}
		c.send("POST /once/", "Content-Length: 4\r\nExpect: 100-continue\r\n", "")
		waitForRequests(t, g, 2)
		close(resume)
		got := make([]byte, n)
		if _, err := io.ReadFull(c.in, got); err != nil || string(got) != body {
			t.Errorf("first response has a wrong body: %v", err)
		}
		if line, err := c.in.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
			t.Fatalf("got %q, %v; want 100 Continue", line, err)
		}
		if _, err := c.in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		write(c, "body")
		c.expect(200, "body")
	})
}

// A request without an id is not forwarded, because its response could not be told from that to another request.
func TestRequestWithoutIDIsNotForwarded(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		b := newBackend(t, respondOK("yes"))
		c := dial(t, newGateway(t, b))
		write(c, "POST /once/ HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\nContent-Length: 4\r\n\r\nbody")
		c.expect(400, "")
		if n := b.requests.Load(); n != 0 {
			t.Errorf("request was forwarded %d times", n)
		}
	})
}

// End-to-end fields are forwarded even if the client or server lists them in Connection (RFC 9110, 7.6.1): without Host
// or Attempt-Id, the server would get a different request, and without Attempt-Id or Server-Seal, a response could not
// be attributed to its request and server.
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
		h := c.expect(200, "")
		if h.Get("Server-Seal") != "s" || h.Get("Attempt-Id") != "a1" || h.Get("X") != "" {
			t.Errorf("client got %+v", h)
		}
		if got := b.lastRequest.Load(); got.Get("Host") != "h" || got.Get("Attempt-Id") != "a1" || got.Get("Y") != "" {
			t.Errorf("server got %+v", got)
		}
	})
}

// A response that the server sends before it has read the whole body is used, even if sending the rest of the body
// fails: only its Not-Executed field allows a non-idempotent request to be retried.
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
				fields := "Not-Executed: full\r\nConnection: close\r\n" + lengthField(0)
				write(c, responseHead("503 x", h.Get("Attempt-Id"), fields))
			}
			closeConn(c) // unread data makes this a reset
		}
	}()
	c := dial(t, newGateway(t, &backend{addr: l.Addr().String()}))
	const long = 1 << 20
	go c.send("POST /once/", fmt.Sprintf("Content-Length: %d\r\n", long), strings.Repeat("x", long))
	if h := c.expect(503, ""); h.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
}

// BenchmarkForward measures a small GET through the gateway on kept-alive connections, with the client and the server
// in the same process.
func BenchmarkForward(b *testing.B) {
	server := newBackend(b, respondOK("a small answer"))
	g := newGateway(b, server)
	c := dial(b, g)
	request := []byte("GET /get/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k\r\n\r\n")
	setDeadline(c, time.Time{})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		if h, _, err := c.readResponse(); err != nil || h.Status != 200 {
			b.Fatal(h, err)
		}
	}
}
