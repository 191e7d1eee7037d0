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

// disconnectBound is how long servers may go on for a client that has left (docs/incidents/0023).
const disconnectBound = 500 * time.Millisecond

// warmTarget is answered at once: so the gateway learns what is usual, and hedges what takes longer.
const warmTarget = "/get/warm"

// holdingServers are servers that never answer: each holds its requests until the gateway closes the connection.
type holdingServers struct {
	arrived atomic.Int64 // requests that have come to one of them
	held    atomic.Int64 // and are still held
	begin   string       // what they send of a response before they fall silent
}

// server returns one of them.
func (s *holdingServers) server(t testing.TB) *backend {
	return newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
		if h.Target == warmTarget {
			time.Sleep(time.Millisecond)
			return good("yes")(w, h, body)
		}
		s.arrived.Add(1)
		s.held.Add(1)
		defer s.held.Add(-1)
		write(w, s.begin)
		_, _ = io.Copy(io.Discard, w.(net.Conn)) // until the gateway closes the connection
		return false
	})
}

// await waits until so many requests are held.
func (s *holdingServers) await(t testing.TB, n int64) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); s.held.Load() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d requests are held, want %d", s.held.Load(), n)
		}
	}
}

// disconnectCase is a situation in which a client leaves.
type disconnectCase struct {
	name    string
	begin   string // of the response that a server has sent when the client leaves
	send    func(c *client)
	held    int64 // requests that servers hold by then
	prepare func(t testing.TB, g *Gateway, c *client)
	leave   func(c *client)
}

// disconnectCases are those of requests that may run more than once.
var disconnectCases = []disconnectCase{
	{name: "kept connection", send: func(c *client) { c.send("GET /get/", "", "") }, held: 1},
	{name: "request that closes the connection", held: 1, send: func(c *client) {
		c.send("GET /get/", "Connection: close\r\n", "")
	}},
	{name: "reset", send: func(c *client) { c.send("GET /get/", "", "") }, held: 1, leave: func(c *client) {
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
		begin: answerHead("200 OK", "a1", sealed("a1")+sized(2*maxHeldResponse)) + strings.Repeat("x", maxHeldResponse),
		prepare: func(t testing.TB, _ *Gateway, c *client) {
			if h, err := h1.ReadResponse(c.in, 1<<16); err != nil || h.Status != 200 {
				t.Fatalf("%+v, %v", h, err)
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
			c.want(200, "yes")
		}
		c.send("GET /get/", "", "")
	}},
}

// Work that may be repeated is given up at its server as soon as its client has left, whatever its request waits for.
func TestRepeatableWorkEndsWhenItsClientLeaves(t *testing.T) {
	t.Parallel()
	for _, k := range disconnectCases {
		t.Run(k.name, func(t *testing.T) {
			inFakeTime(t, func(t testing.TB) {
				servers := &holdingServers{begin: k.begin}
				g := newGateway(t, servers.server(t), servers.server(t))
				c := dial(t, g)
				k.send(c)
				servers.await(t, k.held)
				if k.prepare != nil {
					k.prepare(t, g, c)
				}
				if k.leave == nil {
					k.leave = func(c *client) { closeConn(c.Conn) }
				}
				before := servers.arrived.Load()
				k.leave(c)
				time.Sleep(disconnectBound)
				if held := servers.held.Load(); held != 0 {
					t.Errorf("%d requests are still held %v after their client left", held, disconnectBound)
				}
				if n := servers.arrived.Load() - before; n != 0 {
					t.Errorf("%d requests came to a server after their client left", n)
				}
			})
		})
	}
}

// Nothing more is sent for a client that has left: neither a retry after a refusal, nor a request that waits for its
// turn or for the link.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	t.Parallel()
	for name, k := range map[string]struct {
		send    func(c, other *client)
		arrives int64 // at servers, in all
		goesOn  int64 // requests that are in flight a moment later: a filing at its server, or the other client's
	}{
		"retry": {arrives: 1, goesOn: 1, send: func(c, _ *client) {
			c.send("POST /once/", "Content-Length: 4\r\n", "body")
		}},
		"turn": {arrives: 1, goesOn: 0, send: func(c, _ *client) {
			c.send("GET /get/", "", "")
			c.send("POST /once/", "Content-Length: 4\r\n", "body")
		}},
		"link": {arrives: 0, goesOn: 1, send: func(c, other *client) {
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
					write(w, answerHead("503 x", h.Get("Attempt-Id"), "Not-Executed: full\r\n"+sized(0)))
					return true
				}
				node := nodeOf("n")
				node.Timing, node.Limits.LinkMbps = settings.Timing{GraceS: 3}, 5 // one download fills it
				g := newGatewayOn(t, node, newBackend(t, busy), newBackend(t, busy))
				c := dial(t, g)
				k.send(c, dial(t, g))
				time.Sleep(disconnectBound / 10)
				closeConn(c.Conn)
				time.Sleep(disconnectBound / 10) // before the link is free
				if n := g.forwarder.inFlight.Load(); n != k.goesOn {
					t.Errorf("%d requests are in flight, want %d", n, k.goesOn)
				}
				time.Sleep(10 * disconnectBound)
				if n := arrived.Load(); n != k.arrives {
					t.Errorf("%d requests came to servers, want %d", n, k.arrives)
				}
			})
		})
	}
}

// What must not run twice is not broken off once a server has it: whether it was done could not be told. A client that
// has closed its connection in one direction only still gets the response.
func TestNonIdempotentWorkIsNotBrokenOff(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(net.Conn){
		"closed":      func(c net.Conn) { closeConn(c) },
		"half closed": closeWrite,
	} {
		t.Run(name, func(t *testing.T) {
			inFakeTime(t, func(t testing.TB) {
				begun, done := make(chan struct{}), make(chan error, 1)
				b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
					close(begun)
					conn := w.(net.Conn)
					_ = conn.SetReadDeadline(time.Now().Add(2 * disconnectBound)) // the read below shows a failure
					_, err := conn.Read(make([]byte, 1))
					done <- err
					write(w, answerHead("200 OK", h.Get("Attempt-Id"), sealed("a1")+sized(len(body))), string(body))
					return true
				})
				c := dial(t, newGateway(t, b))
				c.send("POST /once/", "Content-Length: 4\r\n", "body")
				<-begun
				leave(c.Conn)
				if err := <-done; !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("the server meets %v during its work", err)
				}
				if name == "half closed" {
					c.want(200, "body")
				}
			})
		})
	}
}
