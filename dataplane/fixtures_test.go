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

// hangTimeout is for what hangs. No verdict hangs on it.
const hangTimeout = 2 * time.Minute

// backend is a stand-in for a server: it answers each request as a function says.
type backend struct {
	addr string
	seen atomic.Int64
	last atomic.Pointer[h1.Head]
}

// newBackend returns a server that hands each request to a function, which
// writes the answer; false closes the connection.
func newBackend(t testing.TB, answer func(w io.Writer, h *h1.Head, body []byte) bool) *backend {
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
					b.seen.Add(1)
					b.last.Store(h)
					if !answer(c, h, body) {
						return
					}
				}
			}()
		}
	}()
	return b
}

func good(body string) func(io.Writer, *h1.Head, []byte) bool {
	return func(w io.Writer, h *h1.Head, _ []byte) bool {
		writef(w, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: %d\r\n\r\n%s",
			h.Get("Attempt-Id"), len(body), body)
		return true
	}
}

func status(line string) func(io.Writer, *h1.Head, []byte) bool {
	return func(w io.Writer, h *h1.Head, _ []byte) bool {
		writef(w, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", line, h.Get("Attempt-Id"))
		return true
	}
}

// newGateway starts a gateway in front of servers, in the order of their names.
func newGateway(t testing.TB, backends ...*backend) *Gateway {
	t.Helper()
	return newGatewayOf(t, settings.Timing{StrictRevocation: true, RevokeMs: 5000, GraceS: 3}, backends...)
}

// newGatewayOf starts a gateway with settings of timing.
func newGatewayOf(t testing.TB, timing settings.Timing, backends ...*backend) *Gateway {
	t.Helper()
	node := nodeOf("n")
	node.Timing = timing
	return newGatewayOn(t, node, backends...)
}

// newGatewayOn starts a gateway with a node's settings.
func newGatewayOn(t testing.TB, node *settings.Node, backends ...*backend) *Gateway {
	t.Helper()
	upstream, timeoutMs := settings.DefaultTuning().Upstream, 3000.0
	limits := api.RequestLimits{MaxHeaderBytes: 2000, MaxBodyBytes: 1 << 20}
	if _, fake := t.(inMemory); !fake { // a busy machine's time says nothing: limits are for what hangs
		upstream.ConnectMs, timeoutMs = inMs(hangTimeout), inMs(hangTimeout)
		limits.HeaderTimeoutMs, limits.IdleTimeoutMs = inMs(hangTimeout), inMs(2*hangTimeout)
		node.Timing.RevokeMs *= 1000
	}
	node.InternalPorts = []int{0, 9}
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
		list = append(list, serverAt("i-"+strconv.Itoa(i), b.addr))
	}
	applyServers(t, g, &versioned.Table{}, 1, list)
	g.ExtendLease(g.Uptime())
	if m, ok := t.(inMemory); ok {
		m.serve(g)
		return g
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { g.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return g
}

// nodeOf returns the settings of a node on loopback.
func nodeOf(name string) *settings.Node {
	return &settings.Node{
		Name: name, IP: "127.0.0.1", Zone: "z", ServedRoles: []string{"edge", "control"},
		Listeners: settings.Listeners{Front: "127.0.0.1:0", Ready: "127.0.0.1:0"},
	}
}

// testConfig is a configuration with a route of each type and a tenant with a small quota.
func testConfig(timeoutMs float64, limits api.RequestLimits) *api.Config {
	route := func(prefix string, kind string, targetMs float64, retries int, anonymous bool) api.Route {
		return api.Route{
			Host: "h", Prefix: prefix, Type: kind, TimeoutMs: timeoutMs, TargetMs: targetMs, Upstream: "s",
			Retries: retries, Anonymous: anonymous,
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

// serverAt is a server of the service that testConfig routes to.
func serverAt(id, addr string) api.Server {
	return api.Server{ID: id, Upstream: "s", Addr: addr, Zone: "z", Capacity: 20, State: "in_service"}
}

// client is one connection to the gateway.
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

func (c *client) send(line, fields, body string) {
	writef(c, "%s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\nAuthorization: Token k\r\n%s\r\n%s", line, fields, body)
}

func (c *client) answer() (*h1.Head, string, error) {
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

func (c *client) want(code int, body string) *h1.Head {
	c.t.Helper()
	h, got, err := c.answer()
	if err != nil || h.Status != code || body != "" && got != body {
		c.t.Fatalf("got %+v %q, %v; want %d %q", h, got, err, code, body)
	}
	return h
}

// The following write to, and change, connections whose other end may have gone by then. What a test is about shows in
// what it reads, so their errors are not looked at.

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

// resetOnClose has the closing of a connection reset it.
func resetOnClose(c net.Conn) {
	_ = c.(interface{ SetLinger(sec int) error }).SetLinger(0) // see above
}

// closeWrite closes a connection in one direction.
func closeWrite(c net.Conn) {
	_ = c.(interface{ CloseWrite() error }).CloseWrite() // see above
}
