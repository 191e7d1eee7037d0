package dataplane

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/settings"
)

// disconnectBound is how long a server may continue with a request after its client has disconnected
// (docs/incidents/0023).
const disconnectBound = 500 * time.Millisecond

// warmTarget is answered within 1 ms, so that the gateway's latency estimate is low and it hedges slower requests.
const warmTarget = "/get/warm"

// hangingServers are servers that never complete a response, except to requests for warmTarget: each holds its other
// requests until the gateway closes the connection.
type hangingServers struct {
	arrived         atomic.Int64 // requests received by any of them
	held            atomic.Int64 // requests that are still held
	partialResponse string       // part of a response, sent before they hang
}

// server starts one of them.
func (s *hangingServers) server(t testing.TB) *backend {
	return newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
		if h.Target == warmTarget {
			time.Sleep(time.Millisecond)
			return respondOK("yes")(w, h, body)
		}
		s.arrived.Add(1)
		s.held.Add(1)
		defer s.held.Add(-1)
		write(w, s.partialResponse)
		_, _ = io.Copy(io.Discard, w.(net.Conn)) // until the gateway closes the connection
		return false
	})
}

// waitForHeld waits until n requests are held.
func (s *hangingServers) waitForHeld(t testing.TB, n int64) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); s.held.Load() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests are held, want %d", s.held.Load(), n)
		}
	}
}

// disconnectCase is a situation in which a client disconnects.
type disconnectCase struct {
	name            string
	partialResponse string // what the server has sent of the response when the client disconnects
	send            func(c *client)
	held            int64                                     // requests held by servers when the client disconnects
	prepare         func(t testing.TB, g *Gateway, c *client) // called once the requests are held; may be nil
	disconnect      func(c *client)                           // nil: the client closes its connection
}

// disconnectCases are the cases for idempotent requests.
var disconnectCases = []disconnectCase{
	{name: "kept-alive connection", send: func(c *client) { c.send("GET /get/", "", "") }, held: 1},
	{name: "request that closes the connection", held: 1, send: func(c *client) {
		c.send("GET /get/", "Connection: close\r\n", "")
	}},
	{name: "reset", send: func(c *client) { c.send("GET /get/", "", "") }, held: 1, disconnect: func(c *client) {
		resetOnClose(c.Conn)
		closeConn(c.Conn)
	}},
	{name: "pipelined", send: func(c *client) { c.pipeline(3) }, held: 3},
	{name: "more pipelined than may be in flight", send: func(c *client) { c.pipeline(maxPipelined + 3) },
		held: maxPipelined},
	{name: "part of the next request", held: 1, send: func(c *client) {
		c.send("GET /get/", "", "")
		write(c, "GET /get/ HTTP/1.1\r\nHo")
	}},
	{name: "long body", held: 1, send: func(c *client) {
		c.send("POST /get/", "Content-Length: "+strconv.Itoa(2*maxHeldBody)+"\r\n", strings.Repeat("b", 2*maxHeldBody))
	}},
	{name: "long response", held: 1, send: func(c *client) { c.send("GET /get/", "", "") },
		partialResponse: responseHead("200 OK", "a1", sealField("a1")+lengthField(2*maxHeldResponse)) +
			strings.Repeat("x", maxHeldResponse),
		prepare: func(t testing.TB, _ *Gateway, c *client) {
			if h, err := h1.ReadResponse(c.in, 1<<16); err != nil || h.Status != 200 {
				t.Fatalf("response head: %+v, %v", h, err)
			}
		}},
	{name: "drain", send: func(c *client) { c.send("GET /get/", "", "") }, held: 1,
		prepare: func(_ testing.TB, g *Gateway, _ *client) {
			g.readiness.draining.Store(true)
			g.listener.wakeIdle()
			time.Sleep(time.Millisecond)
		}},
	{name: "hedge", held: 2, send: func(c *client) {
		for range 10 {
			c.send("GET "+warmTarget, "", "")
			c.expect(200, "yes")
		}
		c.send("GET /get/", "", "")
	}},
}

// An idempotent request is cancelled at its server as soon as its client disconnects, in whatever state the request
// is.
func TestIdempotentRequestIsCancelledWhenItsClientDisconnects(t *testing.T) {
	t.Parallel()
	for _, k := range disconnectCases {
		t.Run(k.name, func(t *testing.T) {
			inFakeTime(t, func(t testing.TB) {
				servers := &hangingServers{partialResponse: k.partialResponse}
				g := newGateway(t, servers.server(t), servers.server(t))
				c := dial(t, g)
				k.send(c)
				servers.waitForHeld(t, k.held)
				if k.prepare != nil {
					k.prepare(t, g, c)
				}
				if k.disconnect == nil {
					k.disconnect = func(c *client) { closeConn(c.Conn) }
				}
				before := servers.arrived.Load()
				k.disconnect(c)
				time.Sleep(disconnectBound)
				if held := servers.held.Load(); held != 0 {
					t.Errorf("%d requests are still held %v after their client disconnected", held, disconnectBound)
				}
				if n := servers.arrived.Load() - before; n != 0 {
					t.Errorf("%d requests reached a server after their client disconnected", n)
				}
			})
		})
	}
}

// After its client has disconnected, a request is not sent to a server any more: no retry follows a rejection, and a
// request that waits for an earlier pipelined request or for link bandwidth is dropped.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	t.Parallel()
	for name, k := range map[string]struct {
		send     func(c, other *client)
		arrivals int64 // requests of the disconnected client that reach a server
		inFlight int64 // requests of both clients in flight shortly after the disconnection
	}{
		// The server is still processing the non-idempotent request when its client disconnects.
		"retry": {arrivals: 1, inFlight: 1, send: func(c, _ *client) {
			c.send("POST /once/", "Content-Length: 4\r\n", "body")
		}},
		"turn": {arrivals: 1, inFlight: 0, send: func(c, _ *client) {
			c.send("GET /get/", "", "")
			c.send("POST /once/", "Content-Length: 4\r\n", "body")
		}},
		// The other client's download uses all of the link's bandwidth.
		"link": {arrivals: 0, inFlight: 1, send: func(c, other *client) {
			writef(other, "GET /bulk/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: other\r\nAuthorization: Token k\r\n\r\n")
			time.Sleep(disconnectBound / 10)
			c.send("GET /bulk/", "", "")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			inFakeTime(t, func(t testing.TB) {
				var arrived atomic.Int64
				busy := func(w io.Writer, h *h1.Head, _ []byte) bool {
					if h.Get("Attempt-Id") == "a1" {
						arrived.Add(1)
					}
					time.Sleep(2 * disconnectBound)
					write(w, responseHead("503 x", h.Get("Attempt-Id"), "Not-Executed: full\r\n"+lengthField(0)))
					return true
				}
				node := testNode("n")
				node.Timing, node.Limits.LinkMbps = settings.Timing{GraceS: 3}, 5 // a single download uses all of it
				g := newGatewayWithSettings(t, node, newBackend(t, busy), newBackend(t, busy))
				c := dial(t, g)
				k.send(c, dial(t, g))
				time.Sleep(disconnectBound / 10)
				closeConn(c.Conn)
				time.Sleep(disconnectBound / 10) // while the link is still busy
				if n := g.forwarder.inFlight.Load(); n != k.inFlight {
					t.Errorf("%d requests are in flight, want %d", n, k.inFlight)
				}
				time.Sleep(10 * disconnectBound)
				if n := arrived.Load(); n != k.arrivals {
					t.Errorf("%d requests of the disconnected client reached a server, want %d", n, k.arrivals)
				}
			})
		})
	}
}

// A non-idempotent request is not cancelled once a server has received it, because it would be unknown whether it ran.
// A client that has only closed its sending side still gets the response.
func TestNonIdempotentRequestIsNotCancelled(t *testing.T) {
	t.Parallel()
	for name, disconnect := range map[string]func(net.Conn){
		"closed":      func(c net.Conn) { closeConn(c) },
		"half closed": closeWrite,
	} {
		t.Run(name, func(t *testing.T) {
			inFakeTime(t, func(t testing.TB) {
				started, done := make(chan struct{}), make(chan error, 1)
				b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
					close(started)
					conn := w.(net.Conn)
					_ = conn.SetReadDeadline(time.Now().Add(2 * disconnectBound)) // a failure shows in the read below
					_, err := conn.Read(make([]byte, 1))
					done <- err
					write(w, responseHead("200 OK", h.Get("Attempt-Id"), sealField("a1")+lengthField(len(body))),
						string(body))
					return true
				})
				c := dial(t, newGateway(t, b))
				c.send("POST /once/", "Content-Length: 4\r\n", "body")
				<-started
				disconnect(c.Conn)
				if err := <-done; !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("server read %v while it handled the request, want a deadline error", err)
				}
				if name == "half closed" {
					c.expect(200, "body")
				}
			})
		})
	}
}

// A response to an HTTP/1.0 request may end the connection to delimit its body: what the client has sent behind it
// counts as not received, and does not run.
func TestNothingRunsBehindAResponseThatEndsTheConnection(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		b := newBackend(t, func(w io.Writer, _ *h1.Head, _ []byte) bool {
			time.Sleep(time.Second)
			write(w, responseHead("404 x", "a1", sealField("a1")), strings.Repeat("x", 2*maxHeldResponse))
			return false
		})
		c := dial(t, newGateway(t, b))
		write(c, "GET /get/ HTTP/1.0\r\nHost: h\r\nAttempt-Id: a1\r\n",
			"Authorization: Token k\r\nConnection: keep-alive\r\n\r\n")
		c.send("GET /get/", "", "")
		if h, err := h1.ReadResponse(c.in, 1<<16); err != nil || !h.ClosesConnection() {
			t.Fatalf("%+v, %v", h, err)
		}
		if n := b.requests.Load(); n != 1 {
			t.Errorf("%d requests reached the server, want 1", n)
		}
	})
}
