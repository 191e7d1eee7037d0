package emulator

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"example.org/silverscale/dataplane/h1"
	"example.org/silverscale/judge"
	"example.org/silverscale/scenario"
)

const (
	mostTries   = 4
	clientCount = 40 // a zone
	keepConns   = 2  // of a client, kept for later requests
)

// load is all the clients.
type load struct {
	f     *Fleet
	mu    sync.Mutex
	rng   *rand.Rand
	tally *judge.Tally
	hot   string  // this tenant sends ...
	hotX  float64 // ... so many times its usual
	idle  map[string][]*clientConn
	tasks sync.WaitGroup
	seq   int
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func newLoad(f *Fleet) *load {
	l := &load{f: f, rng: rand.New(rand.NewPCG(f.spec.Seed, 9)), tally: judge.NewTally(f.spec), idle: map[string][]*clientConn{}}
	return l
}

// run sends the day's requests, spaced at random, and waits for their ends.
func (l *load) run(end time.Time) {
	for i := range l.f.spec.Classes {
		c := &l.f.spec.Classes[i]
		l.tasks.Go(func() {
			for time.Now().Before(end) {
				l.mu.Lock()
				t, x := l.tenant(), 1.0
				if l.hot != "" {
					x = 1 + (l.hotX-1)*l.share(l.hot)
					if l.rng.Float64() < (l.hotX-1)*l.share(l.hot)/x {
						t = l.f.spec.Tenant(l.hot)
					}
				}
				pause := l.rng.ExpFloat64() / (c.PerS * x)
				l.seq++
				n, zone, client := l.seq, l.rng.IntN(len(l.f.spec.Zones)), l.rng.IntN(clientCount)
				l.mu.Unlock()
				time.Sleep(time.Duration(pause * float64(time.Second)))
				l.tasks.Go(func() { l.request(c, t, zone, client, n) })
			}
		})
	}
	l.tasks.Wait()
}

func (l *load) share(name string) float64 { return l.f.spec.Tenant(name).Share / l.f.spec.Shares() }

func (l *load) tenant() *scenario.Tenant {
	x := l.rng.Float64() * l.f.spec.Shares()
	for i := range l.f.spec.Tenants {
		t := &l.f.spec.Tenants[i]
		if x -= t.Share; x < 0 {
			return t
		}
	}
	return &l.f.spec.Tenants[0]
}

// request is one client's request, with its further tries.
func (l *load) request(c *scenario.Class, t *scenario.Tenant, zone, client, n int) {
	began := time.Now()
	deadline := began.Add(time.Duration(c.DeadlineMs * float64(time.Millisecond)))
	status, tries := 0, 0
	for tries < mostTries && time.Now().Before(deadline) {
		node := l.f.entry(zone, client+tries)
		if node == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%08x%04x%04x", n, tries, l.f.spec.Seed&0xffff)
		tries++
		var wait time.Duration
		var unread bool
		status, wait, unread = l.try(c, t, node, id, deadline)
		promise := status == 429 || status == 503 || status == 408 || status == 421
		if status/100 == 2 || status == 400 || status == 401 || status == 404 || status == 413 ||
			!c.Repeatable() && !promise && !unread {
			break
		}
		pause := max(wait, time.Duration(tries*10)*time.Millisecond)
		if time.Now().Add(pause).After(deadline) {
			break
		}
		time.Sleep(pause)
	}
	l.tally.Add(c, l.f.since(began), status, tries, time.Since(began))
}

// try sends a request once. unread tells that the limiter can't have read it.
func (l *load) try(c *scenario.Class, t *scenario.Tenant, n *node, id string, deadline time.Time) (status int, wait time.Duration, unread bool) {
	conn, err := l.conn(n, c.Repeatable())
	if err != nil {
		return 0, 0, true
	}
	body := make([]byte, c.Body)
	for i := range body {
		body[i] = id[i%len(id)]
	}
	key := l.f.key(t.Name)
	l.f.ledger.Sent(id, &judge.Try{Class: c, Tenant: t.Name, Key: key, Body: crc32.ChecksumIEEE(body)})
	conn.SetDeadline(deadline)
	method := "GET"
	if len(body) > 0 {
		method = "POST"
	}
	_, err = fmt.Fprintf(conn, "%s /%s/%s HTTP/1.1\r\nHost: emulator.example\r\nAttempt-Id: %s\r\nTime-Budget-Ms: %d\r\nAuthorization: Token %s\r\nTenant-Name: nobody\r\nContent-Length: %d\r\n\r\n%s",
		method, c.Name, id, id, max(1, time.Until(deadline).Milliseconds()), key, len(body), body)
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
	l.f.ledger.Answered(id, h.Status, h.Get("Server-Seal"), got)
	if v, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil && v > 0 && v < 60 {
		wait = time.Duration(v * float64(time.Second))
	}
	if h.Closes() || !c.Repeatable() {
		conn.Close()
	} else {
		l.mu.Lock()
		if len(l.idle[n.front]) < keepConns*clientCount {
			l.idle[n.front] = append(l.idle[n.front], conn)
			conn = nil
		}
		l.mu.Unlock()
		if conn != nil {
			conn.Close()
		}
	}
	return h.Status, wait, false
}

// conn returns a kept connection to a limiter, or a new one.
func (l *load) conn(n *node, kept bool) (*clientConn, error) {
	l.mu.Lock()
	if free := l.idle[n.front]; kept && len(free) > 0 {
		c := free[len(free)-1]
		l.idle[n.front] = free[:len(free)-1]
		l.mu.Unlock()
		return c, nil
	}
	l.mu.Unlock()
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}
