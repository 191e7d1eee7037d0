package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/settings"
	"example.org/elmspan/telemetry"
	"example.org/elmspan/versioned"
)

// hangTimeout bounds a test that hangs. No test result depends on its value.
const hangTimeout = 2 * time.Minute

// backend is a fake server whose responses are written by a function.
type backend struct {
	addr        string
	requests    atomic.Int64
	lastRequest atomic.Pointer[h1.Head]
}

// newBackend starts a server that calls handler for each request. It closes the connection if handler returns false.
func newBackend(t testing.TB, handler func(w io.Writer, h *h1.Head, body []byte) bool) *backend {
	l := listenOn(t)
	b := &backend{addr: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closeConn(c)
				setDeadline(c, time.Now().Add(hangTimeout))
				in := bufio.NewReader(c)
				for {
					h, body, err := h1.ReadFullRequest(in, 1<<16)
					if err != nil {
						return
					}
					b.requests.Add(1)
					b.lastRequest.Store(h)
					if !handler(c, h, body) {
						return
					}
				}
			}()
		}
	}()
	return b
}

// respondOK returns a handler that sends a sealed 200 response.
func respondOK(body string) func(io.Writer, *h1.Head, []byte) bool {
	return func(w io.Writer, h *h1.Head, _ []byte) bool {
		writef(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
			h.Get("Attempt-Id"), len(body), body)
		return true
	}
}

// respondStatus returns a handler that sends a response with a status line and no body.
func respondStatus(line string) func(io.Writer, *h1.Head, []byte) bool {
	return func(w io.Writer, h *h1.Head, _ []byte) bool {
		writef(w, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", line, h.Get("Attempt-Id"))
		return true
	}
}

// newGateway starts a gateway for servers, which get the ids i-0, i-1 and so on.
func newGateway(t testing.TB, backends ...*backend) *Gateway {
	t.Helper()
	return newGatewayWithTiming(t, settings.Timing{StrictRevocation: true, RevokeMs: 5000, GraceS: 3}, backends...)
}

// newGatewayWithTiming starts a gateway with the given timing settings.
func newGatewayWithTiming(t testing.TB, timing settings.Timing, backends ...*backend) *Gateway {
	t.Helper()
	node := testNode("n")
	node.Timing = timing
	return newGatewayWithSettings(t, node, backends...)
}

// newGatewayWithSettings starts a gateway with the given node settings.
func newGatewayWithSettings(t testing.TB, node *settings.Node, backends ...*backend) *Gateway {
	t.Helper()
	upstream, timeoutMs := settings.DefaultTuning().Upstream, 3000.0
	limits := api.RequestLimits{MaxHeaderBytes: 2000, MaxBodyBytes: 1 << 20}
	if _, fake := t.(memoryTB); !fake { // in real time, a loaded machine may exceed any short timeout
		upstream.ConnectMs, timeoutMs = inMs(hangTimeout), inMs(hangTimeout)
		limits.HeaderTimeoutMs, limits.IdleTimeoutMs = inMs(hangTimeout), inMs(2*hangTimeout)
		node.Timing.RevokeMs *= 1000
	}
	node.InternalPorts = []int{0, 9} // uses the first, as it serves control; 0: any free port
	options := Options{
		Seed: 1, Log: slog.New(slog.DiscardHandler), Upstream: upstream, Link: settings.DefaultTuning().Link,
		Metrics: telemetry.New(),
	}
	g, err := New(node, options)
	if err != nil {
		t.Fatal(err)
	}
	g.listener.acceptFor = 0
	applyConfig(t, g, &versioned.Table{}, testConfig(timeoutMs, limits))
	var list []api.Server
	for i, b := range backends {
		list = append(list, testServer("i-"+strconv.Itoa(i), b.addr))
	}
	applyServers(t, g, &versioned.Table{}, 1, list)
	g.ExtendLease(g.Uptime())
	if m, ok := t.(memoryTB); ok {
		m.serve(g)
		return g
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { g.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return g
}

// testNode returns the settings of a node that listens on the loopback interface.
func testNode(name string) *settings.Node {
	return &settings.Node{
		Name: name, IP: "127.0.0.1", Zone: "z", ServedRoles: []string{"edge", "control"},
		Listeners: settings.Listeners{Front: "127.0.0.1:0", Ready: "127.0.0.1:0"},
	}
}

// testConfig returns a configuration with a route of each type and a tenant with a small quota.
func testConfig(timeoutMs float64, limits api.RequestLimits) *api.Config {
	route := func(prefix string, kind string, targetMs float64, retries int, anonymous bool) api.Route {
		return api.Route{
			Host: "h", Prefix: prefix, Type: kind, TimeoutMs: timeoutMs, TargetMs: targetMs, Upstream: "s",
			MaxAttempts: retries, Anonymous: anonymous,
		}
	}
	return &api.Config{
		Revision:  1,
		Upstreams: []api.Upstream{{Name: "s"}},
		Routes: []api.Route{
			route("/get/", api.Idempotent, 2000, 2, false),
			route("/once/", "non_idempotent", 2000, 2, false),
			route("/open/", api.Idempotent, 0, 1, true),
			route("/bulk/", api.Download, 2000, 2, false),
		},
		Limits: limits,
		Tenants: []api.Tenant{
			{Name: "t", Keys: []string{"k"}},
			{Name: "slow", Keys: []string{"few"}, Rate: 0.001, Burst: 2},
		},
	}
}

// testServer returns a server of the upstream that testConfig routes to.
func testServer(id, addr string) api.Server {
	return api.Server{ID: id, Upstream: "s", Addr: addr, Zone: "z", Capacity: 20, State: "in_service"}
}

// client is a client connection to the gateway.
type client struct {
	t testing.TB
	net.Conn
	in *bufio.Reader
}

func dial(t testing.TB, g *Gateway) *client {
	t.Helper()
	c, err := dialOn(t, g.listener.tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(c) })
	setDeadline(c, time.Now().Add(hangTimeout))
	return &client{t, c, bufio.NewReader(c)}
}

// send sends a request of tenant t with the id a1.
func (c *client) send(line, fields, body string) {
	writef(c, "%s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k\r\n%s\r\n%s", line, fields, body)
}

// readResponse reads the next response with its body.
func (c *client) readResponse() (*h1.Head, string, error) {
	h, err := h1.ReadResponse(c.in, 1<<16)
	if err != nil {
		return nil, "", err
	}
	n, err := h.ResponseFraming("GET")
	if err != nil {
		return h, "", err
	}
	body, err := io.ReadAll(h1.NewBody(c.in, n))
	return h, string(body), err
}

// expect reads the next response and stops the test unless it has the given status and, if not empty, body.
func (c *client) expect(code int, body string) *h1.Head {
	c.t.Helper()
	h, got, err := c.readResponse()
	if err != nil || h.Status != code || body != "" && got != body {
		c.t.Fatalf("got %+v %q, %v; want %d %q", h, got, err, code, body)
	}
	return h
}

// The functions below write to and configure connections whose peer may have closed them already. They ignore errors,
// because tests check what they read.

// write writes parts to a connection.
func write(w io.Writer, parts ...string) {
	_, _ = io.WriteString(w, strings.Join(parts, "")) // see above
}

// writef writes formatted text to a connection.
func writef(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...) // see above
}

// closeConn closes a connection or a listener.
func closeConn(c io.Closer) {
	_ = c.Close() // see above
}

// setDeadline sets the deadline of a connection.
func setDeadline(c net.Conn, until time.Time) {
	_ = c.SetDeadline(until) // see above
}

// resetOnClose makes Close send a reset.
func resetOnClose(c net.Conn) {
	_ = c.(interface{ SetLinger(sec int) error }).SetLinger(0) // see above
}

// closeWrite closes the sending side of a connection.
func closeWrite(c net.Conn) {
	_ = c.(interface{ CloseWrite() error }).CloseWrite() // see above
}
