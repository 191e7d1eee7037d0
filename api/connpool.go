package api

import (
	"sync"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/keys"
)

// Addresses of processes change over time: when the pool holds maxConns connections or more,
// opening another one closes those that have not been used for maxIdle.
const (
	maxConns = 32
	maxIdle  = time.Minute
)

// ConnPool keeps one connection for each address. It is safe for concurrent use.
type ConnPool struct {
	ring *keys.Keyring
	opts []grpc.DialOption
	now  func() time.Time

	mu       sync.Mutex // guards the fields below
	byAddr   map[string]*grpc.ClientConn
	lastUsed map[string]time.Time // by address; has the same keys as byAddr
}

// NewConnPool returns an empty pool. ring and opts are passed to [Dial].
func NewConnPool(ring *keys.Keyring, opts ...grpc.DialOption) *ConnPool {
	return &ConnPool{
		ring:     ring,
		opts:     opts,
		now:      time.Now,
		byAddr:   map[string]*grpc.ClientConn{},
		lastUsed: map[string]time.Time{},
	}
}

// Conn returns the connection to an address and creates it on first use. The pool owns the
// connection: the caller must not close it. Errors are those of [Dial].
func (p *ConnPool) Conn(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.lastUsed[addr] = now
	if c := p.byAddr[addr]; c != nil {
		return c, nil
	}
	p.closeIdle(now)
	c, err := Dial(addr, p.ring, p.opts...)
	if err != nil {
		delete(p.lastUsed, addr)
		return nil, err
	}
	p.byAddr[addr] = c
	return c, nil
}

// Dial returns a connection to an address that is not kept in the pool; the caller closes it. It is
// meant for addresses at which there may be nobody: a connection of the pool would be tried again
// and again. Errors are those of the function [Dial].
func (p *ConnPool) Dial(addr string) (*grpc.ClientConn, error) { return Dial(addr, p.ring, p.opts...) }

// closeIdle closes idle connections if the pool is full. The caller holds mu.
func (p *ConnPool) closeIdle(now time.Time) {
	for addr, used := range p.lastUsed {
		if len(p.byAddr) >= maxConns && now.Sub(used) > maxIdle {
			p.remove(addr)
		}
	}
}

// remove closes a connection and removes it from the pool. The caller holds mu.
func (p *ConnPool) remove(addr string) {
	if c := p.byAddr[addr]; c != nil {
		_ = c.Close() // fails only if the connection is closed already
	}
	delete(p.byAddr, addr)
	delete(p.lastUsed, addr)
}

// Close closes all connections of the pool.
func (p *ConnPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr := range p.byAddr {
		p.remove(addr)
	}
}
