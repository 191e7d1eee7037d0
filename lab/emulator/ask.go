package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/lab/scenario"
)

const (
	keepConns   = 80 // to one limiter, kept for later requests
	connectFor  = time.Second
	nobodyPause = 20 * time.Millisecond
)

// Client sends requests as the clients of a day do: it keeps connections, and
// sends again what may run twice or what was promised not to have run.
type Client struct {
	host   string
	fronts []string
	seed   uint64
	seq    atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func newClient(host string) *Client { return &Client{host: host, idle: map[string][]*clientConn{}} }

// NewClient returns a client of limiters at front_port addresses. The seed keeps
// the ids of two clients apart.
func NewClient(host string, fronts []string, seed uint64) *Client {
	c := newClient(host)
	c.fronts, c.seed = fronts, rand.New(rand.NewPCG(seed, rand.Uint64())).Uint64()
	return c
}

// Ask sends one request of a class with a tenant's key and returns the status
// of the last try, 0 where there was none, and how many tries it took.
func (c *Client) Ask(ctx context.Context, class *scenario.Class, key string) (status, tries int) {
	n := c.seq.Add(1)
	return c.ask(ctx, ask{class: class,
		entry: func(try int) string { return c.fronts[(int(n%uint64(len(c.fronts)))+try)%len(c.fronts)] },
		id:    func(try int) string { return fmt.Sprintf("%08x%06x%02x", uint32(c.seed), n&0xffffff, try) },
		key:   func() string { return key }})
}

// ask is one request.
type ask struct {
	class    *scenario.Class
	entry    func(try int) string // where a try goes; empty: nobody is ready
	id       func(try int) string
	key      func() string
	sent     func(id, key string, body []byte)                    // may be nil
	answered func(id string, status int, seal string, got []byte) // may be nil
}

func (c *Client) ask(ctx context.Context, a ask) (status, tries int) {
	deadline := time.Now().Add(time.Duration(a.class.DeadlineMs * float64(time.Millisecond)))
	for tries < scenario.MaxAttempts && time.Now().Before(deadline) && ctx.Err() == nil {
		to := a.entry(tries)
		if to == "" {
			backoff.Sleep(ctx, nobodyPause)
			continue
		}
		id := a.id(tries)
		tries++
		var wait time.Duration
		var unread bool
		status, wait, unread = c.try(&a, to, id, deadline)
		if !a.class.ShouldRetry(status, unread) {
			break
		}
		pause := scenario.RetryDelay(tries, wait)
		if time.Now().Add(pause).After(deadline) {
			break
		}
		backoff.Sleep(ctx, pause)
	}
	return status, tries
}

// try sends a request once. unread tells that the limiter can't have read it.
func (c *Client) try(a *ask, to, id string, deadline time.Time) (status int, wait time.Duration, unread bool) {
	conn, err := c.conn(to, a.class.Idempotent())
	if err != nil {
		return 0, 0, true
	}
	body := make([]byte, a.class.RequestBytes)
	for i := range body {
		body[i] = id[i%len(id)]
	}
	key := a.key()
	if a.sent != nil {
		a.sent(id, key, body)
	}
	conn.SetDeadline(deadline)
	method := "GET"
	if len(body) > 0 {
		method = "POST"
	}
	_, err = fmt.Fprintf(conn, "%s /%s/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\nAuthorization: Token %s\r\nTenant-Name: nobody\r\nContent-Length: %d\r\n\r\n%s",
		method, a.class.Name, id, c.host, id, max(1, time.Until(deadline).Milliseconds()), key, len(body), body)
	if err != nil {
		conn.Close()
		return 0, 0, false
	}
	h, err := h1.ReadAnswer(conn.in, mostHead)
	if err != nil {
		conn.Close()
		return 0, 0, false
	}
	framing, err := h.AnswerBody(method)
	var got []byte
	if err == nil {
		got, err = io.ReadAll(h1.NewBody(conn.in, framing))
	}
	if err != nil {
		conn.Close()
		return 0, 0, false
	}
	if a.answered != nil {
		a.answered(id, h.Status, h.Get("Server-Seal"), got)
	}
	if v, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil && v > 0 && v < 60 {
		wait = time.Duration(v * float64(time.Second))
	}
	if h.Closes() || !a.class.Idempotent() {
		conn.Close()
	} else {
		c.keep(to, conn)
	}
	return h.Status, wait, false
}

// keep keeps a connection for later.
func (c *Client) keep(to string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[to]) < keepConns {
		c.idle[to] = append(c.idle[to], conn)
	} else {
		conn.Close()
	}
}

// conn returns a kept connection to a limiter, or a new one.
func (c *Client) conn(to string, kept bool) (*clientConn, error) {
	c.mu.Lock()
	if free := c.idle[to]; kept && len(free) > 0 {
		conn := free[len(free)-1]
		c.idle[to] = free[:len(free)-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", to, connectFor)
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// Close closes the connections that are kept.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, free := range c.idle {
		for _, conn := range free {
			conn.Close()
		}
	}
	clear(c.idle)
}
