// Package connpool keeps connections to servers, each of which carries one
// request at a time. It sends nothing by itself: what becomes of a request on a
// connection that breaks is its caller's to decide.
package connpool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"example.org/elmspan/internal/backoff"
)

const (
	sweepEvery = 500 * time.Millisecond
	keepTenths = 9 // of the time that a server said
)

// ErrResponseTooLong tells of an answer that goes past the limit that [Conn.BeginExchange] set.
var ErrResponseTooLong = errors.New("the answer is too long")

// Pool keeps the connections to servers. It is not http.Transport, which sends
// a request again by itself when a kept-alive connection breaks: a second copy.
type Pool[K comparable] struct {
	MaxConns      int // most connections
	dialTimeout time.Duration
	IdleTimeout     time.Duration // idle connections are closed after this
	// Control, where set, sets up each socket before it connects.
	Control func(network, address string, c syscall.RawConn) error
	// Dial, where set, connects in place of a [net.Dialer], to a network in memory say.
	// What it returns is a [syscall.Conn] too: see [Conn.Quiet].
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	hosts map[K]*Host[K]
	at    map[string]*Host[K] // by address, the latest that came to it: a list of n servers costs n, not n x n
	open  int                 // connections open or coming up
	ages  ages
	careful
}

// Host is one process of a server at one address.
type Host[K comparable] struct {
	ID     K
	Addr   string
	bornMs float64
	up     bool       // wants new requests
	taken  bool       // another server stands at its address
	idle   []*Conn[K] // the latest used last
}

// Conn is a connection to a server that carries one request at a time.
type Conn[K comparable] struct {
	net.Conn
	pool   *Pool[K]
	Host   *Host[K]
	from   *answerReader
	Reader     *bufio.Reader // reads from it
	Used   bool          // an answer has come on it
	IdleSince time.Time
	// KeepAlive is how long the server said that it keeps it idle; 0: it did not.
	KeepAlive time.Duration
	once    sync.Once
}

// answerReader is what a conn reads answers from.
type answerReader struct {
	from io.Reader
	left int   // bytes that may still come for this answer
	died error // how the connection ended
}

// Read guards against an answer, or heads that announce one, without end, and
// tells the end of a connection from an answer that can't be read.
func (a *answerReader) Read(b []byte) (int, error) {
	if a.left <= 0 {
		return 0, ErrResponseTooLong
	}
	n, err := a.from.Read(b[:min(len(b), a.left)])
	a.left -= n
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.died = err
	}
	return n, err
}

func New[K comparable](budget int, connTimeout, idleFor time.Duration) *Pool[K] {
	return &Pool[K]{MaxConns: budget, dialTimeout: connTimeout, IdleTimeout: idleFor, hosts: map[K]*Host[K]{}, at: map[string]*Host[K]{},
		ages: ages{at: time.Now(), limit: ageForever}}
}

// Update takes in what the list says of a server: where it is, which start of it
// that is, and whether it is to get new requests. It tells whether that is news.
// Connections to an earlier process or address are not used again.
func (p *Pool[K]) Update(id K, dial string, bornMs float64, up bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	if h == nil || h.Addr != dial || h.bornMs != bornMs {
		p.drop(h)
		// One that still stands at this address is gone: guards against sending to the
		// new server under the old one's name, on its connections or pending connects.
		// Whoever stood there before that one is gone already.
		if o := p.at[dial]; o != nil && o.ID != id {
			o.taken = true
			p.drop(o)
		}
		p.forget(h)
		h = &Host[K]{ID: id, Addr: dial, bornMs: bornMs, up: up}
		p.hosts[id], p.at[dial] = h, h
		return true
	}
	up = up && !h.taken
	news := h.up != up
	if h.up = up; !up {
		p.closeIdle(h)
	}
	return news
}

// Remove drops a server that is gone and tells whether it was known.
func (p *Pool[K]) Remove(id K) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	p.drop(h)
	p.forget(h)
	return h != nil
}

// forget takes a host out of the tables.
func (p *Pool[K]) forget(h *Host[K]) {
	if h == nil {
		return
	}
	delete(p.hosts, h.ID)
	if p.at[h.Addr] == h {
		delete(p.at, h.Addr)
	}
}

// Retain drops the servers that a whole list does not name.
func (p *Pool[K]) Retain(listed map[K]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, h := range p.hosts {
		if !listed[id] {
			p.drop(h)
			p.forget(h)
		}
	}
}

// drop retires a host. Attempts that are out on it go on.
func (p *Pool[K]) drop(h *Host[K]) {
	if h != nil {
		h.up = false
		p.closeIdle(h)
	}
}

func (p *Pool[K]) closeIdle(h *Host[K]) {
	for _, c := range h.idle {
		c.closeLocked()
	}
	h.idle = nil
}

// Host returns the process of a server that may be sent something new.
func (p *Pool[K]) Host(id K) *Host[K] {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil && h.up {
		return h
	}
	return nil
}

// Available tells whether a host still is to be sent something new.
func (p *Pool[K]) Available(h *Host[K]) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.up
}

// CloseIdle closes a host's idle connections after one of its connections broke
// or could not be made: the others are as likely dead. An answer that can't be
// read says nothing of the kind.
func (p *Pool[K]) CloseIdle(h *Host[K]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(h)
}

// Get returns the idle connection of a host that was used last, or nil.
func (p *Pool[K]) Get(h *Host[K]) *Conn[K] { return p.get(h, ageForever) }

// get returns the idle connection of a host that was used last, unless it has rested
// for as long as the limit, or nil.
func (p *Pool[K]) get(h *Host[K], limit time.Duration) *Conn[K] {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if time.Since(c.IdleSince) >= limit { // the others have rested longer yet
			return nil
		}
		h.idle = h.idle[:len(h.idle)-1]
		if p.sound(c) {
			return c
		}
		c.closeLocked()
	}
	return nil
}

// sound tells whether an idle connection may be used.
func (p *Pool[K]) sound(c *Conn[K]) bool {
	keep := p.IdleTimeout
	if c.KeepAlive > 0 { // given up well before the server does: a request must not cross its close
		keep = c.KeepAlive * keepTenths / 10
	}
	return time.Since(c.IdleSince) < min(keep, p.ages.limit) && c.Reusable()
}

// RecordExchange counts an exchange by the [Conn.IdleGroup] that its connection had.
func (c *Conn[K]) RecordExchange(age int, broke bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.ages.add(time.Now(), age, broke)
}

// Put keeps a connection for later, unless its host has moved on.
func (p *Pool[K]) Put(c *Conn[K]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The deadline of the request before must not stay: once it has passed, the
	// check for silence fails and the connection would be closed.
	if !c.Host.up || c.SetDeadline(time.Time{}) != nil {
		c.closeLocked()
		return
	}
	c.IdleSince = time.Now()
	c.Host.idle = append(c.Host.idle, c)
}

// ErrPoolExhausted tells that the budget of connections is used up.
var ErrPoolExhausted = errors.New("no connection left in the budget")

// Connect opens a connection to a host.
func (p *Pool[K]) Connect(ctx context.Context, h *Host[K]) (*Conn[K], error) {
	p.mu.Lock()
	if p.open >= p.MaxConns {
		p.evict()
	}
	if p.open >= p.MaxConns {
		p.mu.Unlock()
		return nil, ErrPoolExhausted
	}
	p.open++
	p.mu.Unlock()
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1, Control: p.Control}).DialContext
	}
	nc, err := dial(ctx, "tcp", h.Addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	from := &answerReader{from: nc}
	return &Conn[K]{Conn: nc, pool: p, Host: h, from: from, Reader: bufio.NewReader(from)}, nil
}

// evict closes the connection that has been idle longest.
func (p *Pool[K]) evict() {
	var oldest *Host[K]
	for _, h := range p.hosts {
		if len(h.idle) > 0 && (oldest == nil || h.idle[0].IdleSince.Before(oldest.idle[0].IdleSince)) {
			oldest = h
		}
	}
	if oldest != nil {
		oldest.idle[0].closeLocked()
		oldest.idle = oldest.idle[1:]
	}
}

// Sweep closes idle connections whose time is up or that the server has
// closed, until the context ends.
func (p *Pool[K]) Sweep(ctx context.Context) {
	for ctx.Err() == nil {
		backoff.Sleep(ctx, sweepEvery)
		p.mu.Lock()
		p.ages.fade(time.Now())
		p.ages.judge()
		for _, h := range p.hosts {
			kept := h.idle[:0]
			for _, c := range h.idle {
				if p.sound(c) {
					kept = append(kept, c)
				} else {
					c.closeLocked()
				}
			}
			clear(h.idle[len(kept):])
			h.idle = kept
		}
		p.mu.Unlock()
	}
}

// Close closes a connection and gives back its place.
func (c *Conn[K]) Close() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.closeLocked()
}

func (c *Conn[K]) closeLocked() {
	c.once.Do(func() {
		c.pool.open--
		c.Conn.Close()
	})
}

// Reusable tells that an idle connection is open and silent. One that the server
// has closed must not be used: the request would end as a Cut, and an unsafe
// one could not be sent again.
func (c *Conn[K]) Reusable() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// BeginExchange says that an exchange begins, whose answer may have so many bytes.
func (c *Conn[K]) BeginExchange(most int) { c.Used, c.from.left = true, most }

// ReadErr tells how the connection ended, nil if it has not.
func (c *Conn[K]) ReadErr() error { return c.from.died }

// IdleGroup returns the group of a connection by how long it was idle, for [Pool.Note].
func (c *Conn[K]) IdleGroup() int {
	if !c.Used {
		return newConns
	}
	return ageGroup(time.Since(c.IdleSince))
}

// OpenConns returns how many connections are open or coming up.
func (p *Pool[K]) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// IdleTime returns how long the connection of a host that was used last has rested, 0
// where there is none.
func (p *Pool[K]) IdleTime(id K) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil && len(h.idle) > 0 {
		return time.Since(h.idle[len(h.idle)-1].IdleSince)
	}
	return 0
}

// IdleConns returns how many idle connections a host has.
func (p *Pool[K]) IdleConns(id K) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		return len(h.idle)
	}
	return 0
}
