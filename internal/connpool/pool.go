// Package connpool keeps HTTP/1.1 connections to servers alive between requests. Each
// connection carries one request at a time, and the pool sends nothing by itself: its
// caller decides whether to retry a request whose connection breaks. (http.Transport
// retries a request by itself when a kept-alive connection breaks, which could execute it
// twice.)
//
// A caller announces servers with [Pool.Update], looks one up with [Pool.Host], takes an
// idle connection with [Pool.Get] (or [Pool.GetForNonIdempotent]) or opens one with
// [Pool.Connect], and returns it with [Pool.Put] or closes it with [Conn.Close].
// [Pool.Sweep] must run while the pool is in use.
//
// The pool learns after how much idle time servers silently drop connections, see
// idleage.go and stale.go.
package connpool

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"example.org/elmspan/internal/backoff"
)

// sweepInterval is the interval at which idle connections are checked.
const sweepInterval = 500 * time.Millisecond

// ErrPoolExhausted reports that MaxConns connections are open and none of them is idle.
var ErrPoolExhausted = errors.New("connection pool exhausted")

// Pool holds the connections to servers, which are identified by a K. It is safe for
// concurrent use. The exported fields must not change once the pool is in use.
type Pool[K comparable] struct {
	// MaxConns limits the connections that are open or being opened, including idle ones.
	MaxConns int
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration
	// Control is called on each socket before it connects, unless nil. See [net.Dialer].
	Control func(network, address string, c syscall.RawConn) error
	// Dial opens connections; if nil, a [net.Dialer] is used. The connections that it
	// returns must implement [syscall.Conn], see [Conn.Reusable].
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	dialTimeout time.Duration // timeout of the default net.Dialer

	mu    sync.Mutex // guards the fields below and the unexported fields of the hosts
	hosts map[K]*Host[K]
	// byAddr maps each address to the host that was last announced there. It makes the
	// processing of a list of n servers O(n) rather than O(n²).
	byAddr    map[string]*Host[K]
	open      int // connections that are open or being opened
	idleStats idleTimeStats
	stale     staleGuard
}

// Host is one process of a server at one address.
type Host[K comparable] struct {
	ID   K
	Addr string // host:port

	// Guarded by Pool.mu.
	incarnationMs float64    // start time of the process; distinguishes successive processes of a server
	available     bool       // accepts new requests
	displaced     bool       // another server has been announced at this address
	idle          []*Conn[K] // least recently used first
}

// New returns a pool of at most maxConns connections. Connection attempts time out after
// dialTimeout, and idle connections are closed after idleTimeout.
func New[K comparable](maxConns int, dialTimeout, idleTimeout time.Duration) *Pool[K] {
	return &Pool[K]{
		MaxConns:    maxConns,
		IdleTimeout: idleTimeout,
		dialTimeout: dialTimeout,
		hosts:       map[K]*Host[K]{},
		byAddr:      map[string]*Host[K]{},
		idleStats:   idleTimeStats{updatedAt: time.Now(), limit: unlimited},
	}
}

// Update applies a server's entry in the endpoint list: its address, the start time of its
// process, and whether it accepts new requests. It reports whether anything changed.
// Connections to an earlier process or address are not reused.
func (p *Pool[K]) Update(id K, addr string, incarnationMs float64, available bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	if h == nil || h.Addr != addr || h.incarnationMs != incarnationMs {
		p.replaceHost(h, &Host[K]{ID: id, Addr: addr, incarnationMs: incarnationMs, available: available})
		return true
	}
	available = available && !h.displaced
	changed = h.available != available
	h.available = available
	if !available {
		p.closeIdle(h)
	}
	return changed
}

// replaceHost registers h in place of old, the previous host of the same server, if any.
func (p *Pool[K]) replaceHost(old, h *Host[K]) {
	p.retire(old)
	// Another server that is still registered at this address no longer exists. No request
	// for it may reach the new server, on connections that are open or being opened. Servers
	// registered at the address even earlier were displaced when other was registered.
	if other := p.byAddr[h.Addr]; other != nil && other.ID != h.ID {
		other.displaced = true
		p.retire(other)
	}
	p.forget(old)
	p.hosts[h.ID], p.byAddr[h.Addr] = h, h
}

// Remove retires a server that no longer exists, and reports whether it was known.
func (p *Pool[K]) Remove(id K) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	p.retire(h)
	p.forget(h)
	return h != nil
}

// Retain retires all servers that are not in listed, which must be a complete list.
func (p *Pool[K]) Retain(listed map[K]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, h := range p.hosts {
		if !listed[id] {
			p.retire(h)
			p.forget(h)
		}
	}
}

// retire stops the use of a host for new requests. Requests in flight continue. It does
// nothing if h is nil.
func (p *Pool[K]) retire(h *Host[K]) {
	if h != nil {
		h.available = false
		p.closeIdle(h)
	}
}

// forget removes a host from the tables. It does nothing if h is nil.
func (p *Pool[K]) forget(h *Host[K]) {
	if h == nil {
		return
	}
	delete(p.hosts, h.ID)
	if p.byAddr[h.Addr] == h {
		delete(p.byAddr, h.Addr)
	}
}

func (p *Pool[K]) closeIdle(h *Host[K]) {
	for _, c := range h.idle {
		c.closeLocked()
	}
	h.idle = nil
}

// Host returns the current process of a server, or nil if it accepts no new requests.
func (p *Pool[K]) Host(id K) *Host[K] {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil && h.available {
		return h
	}
	return nil
}

// Available reports whether a host still accepts new requests.
func (p *Pool[K]) Available(h *Host[K]) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.available
}

// CloseIdle closes the idle connections of a host. It should be called after one of the
// host's connections broke or could not be opened, as the others are likely dead as well,
// but not after a response that could not be parsed.
func (p *Pool[K]) CloseIdle(h *Host[K]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(h)
}

// Get returns the most recently used idle connection of a host, or nil if there is none.
// This order lets surplus connections time out.
func (p *Pool[K]) Get(h *Host[K]) *Conn[K] { return p.get(h, unlimited) }

// GetForNonIdempotent is like [Pool.Get], for a request that must not be executed twice. For a
// while after stale connections were recorded, see [Pool.RecordStale], it returns none that has
// been idle for as long as those.
func (p *Pool[K]) GetForNonIdempotent(h *Host[K]) *Conn[K] {
	p.mu.Lock()
	maxIdle := p.stale.maxIdle(time.Now())
	p.mu.Unlock()
	return p.get(h, maxIdle)
}

// get returns the most recently used idle connection of a host, or nil if none has been
// idle for less than maxIdle. Every candidate is checked against maxIdle, as the most recent
// one may turn out to be closed.
func (p *Pool[K]) get(h *Host[K], maxIdle time.Duration) *Conn[K] {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		c := h.idle[last]
		if time.Since(c.IdleSince) >= maxIdle { // the others have been idle for longer
			return nil
		}
		h.idle = h.idle[:last]
		if p.usable(c) {
			return c
		}
		c.closeLocked()
	}
	return nil
}

// usable reports whether an idle connection may carry a request.
func (p *Pool[K]) usable(c *Conn[K]) bool {
	timeout := min(p.IdleTimeout, p.idleStats.limit)
	if c.KeepAlive > 0 {
		timeout = min(c.safeKeepAlive(), p.idleStats.limit)
	}
	return time.Since(c.IdleSince) < timeout && c.Reusable()
}

// Put returns a connection to the pool, or closes it if its host no longer accepts new
// requests.
func (p *Pool[K]) Put(c *Conn[K]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Clear the deadline of the last request: once it had passed, Reusable would return
	// false and the connection would be closed.
	if !c.Host.available || c.SetDeadline(time.Time{}) != nil {
		c.closeLocked()
		return
	}
	c.IdleSince = time.Now()
	c.Host.idle = append(c.Host.idle, c)
}

// Connect opens a connection to a host. If MaxConns connections are open, it first closes
// the one that has been idle the longest; if none is idle it fails with [ErrPoolExhausted].
// Other errors are those of the dialer.
func (p *Pool[K]) Connect(ctx context.Context, h *Host[K]) (*Conn[K], error) {
	if !p.reserve() {
		return nil, ErrPoolExhausted
	}
	dial := p.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: p.dialTimeout, KeepAlive: -1, Control: p.Control}).DialContext
	}
	nc, err := dial(ctx, "tcp", h.Addr)
	if err != nil {
		p.release()
		return nil, err
	}
	return newConn(p, h, nc), nil
}

// reserve allocates a slot for a connection that is about to be opened, and reports whether
// one was available.
func (p *Pool[K]) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.MaxConns {
		p.evict()
	}
	if p.open >= p.MaxConns {
		return false
	}
	p.open++
	return true
}

// release frees the slot that reserve allocated.
func (p *Pool[K]) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// evict closes the connection that has been idle the longest.
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

// Sweep closes idle connections that have timed out or that the server has closed, every
// half second until the context is done.
func (p *Pool[K]) Sweep(ctx context.Context) {
	for ctx.Err() == nil {
		backoff.Sleep(ctx, sweepInterval)
		p.sweepOnce()
	}
}

func (p *Pool[K]) sweepOnce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleStats.decay(time.Now())
	p.idleStats.updateLimit()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if p.usable(c) {
				kept = append(kept, c)
			} else {
				c.closeLocked()
			}
		}
		clear(h.idle[len(kept):])
		h.idle = kept
	}
}

// OpenConns returns how many connections are open or being opened.
func (p *Pool[K]) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// IdleTime returns how long the most recently used idle connection of a server has been
// idle, or 0 if there is none.
func (p *Pool[K]) IdleTime(id K) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil && len(h.idle) > 0 {
		return time.Since(h.idle[len(h.idle)-1].IdleSince)
	}
	return 0
}

// IdleConns returns how many idle connections a server has.
func (p *Pool[K]) IdleConns(id K) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		return len(h.idle)
	}
	return 0
}
