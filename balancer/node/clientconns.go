package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// clientConns tracks the clients' connections. When there are more than budget, it closes
// connections without a request in flight. The cost of a change does not depend on the number of
// connections.
type clientConns struct {
	budget int

	mu        sync.Mutex
	open      map[net.Conn]*clientConn
	neverUsed list.List // of net.Conn that never had a request, oldest first
	idle      list.List // of net.Conn between requests, longest idle first
}

// clientConn is the state of one connection.
type clientConn struct {
	list    *list.List    // neverUsed or idle; nil while a request is in flight
	element *list.Element // in list
	closed  bool          // closed by closeConn
}

func newClientConns(budget int) *clientConns {
	return &clientConns{budget: budget, open: map[net.Conn]*clientConn{}}
}

// stateChanged is the ConnState hook of the HTTP server.
func (c *clientConns) stateChanged(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.open[nc]
	if state == http.StateNew {
		cc = &clientConn{}
		c.open[nc] = cc
	}
	if cc == nil {
		return
	}
	if cc.list != nil {
		cc.list.Remove(cc.element)
		cc.list, cc.element = nil, nil
	}
	switch state {
	case http.StateNew:
		cc.list = &c.neverUsed
	case http.StateIdle:
		cc.list = &c.idle
	case http.StateClosed, http.StateHijacked:
		delete(c.open, nc)
	}
	if cc.list == nil {
		return
	}
	cc.element = cc.list.PushBack(nc)
	if len(c.open) > c.budget {
		c.evictOne()
	}
}

// evictOne closes one connection without a request in flight. Once connections that never had a
// request exceed half of the budget, the oldest of them is closed, so that clients that connect
// and send nothing only evict each other. Below that the longest idle connection is closed: if
// many clients keep their connection after one request, a new connection whose first request is
// on its way must not be evicted.
func (c *clientConns) evictOne() {
	conns := &c.idle
	if conns.Len() == 0 || c.neverUsed.Len() > c.budget/2 {
		conns = &c.neverUsed
	}
	if first := conns.Front(); first != nil {
		c.closeConn(first.Value.(net.Conn))
	}
}

// closeConn closes a connection without a request in flight. A client whose request is on its way
// sends it again.
func (c *clientConns) closeConn(nc net.Conn) {
	cc := c.open[nc]
	cc.list.Remove(cc.element)
	cc.list, cc.element, cc.closed = nil, nil, true
	_ = nc.Close() // the connection is not used again, whatever the error
}

// closeUnused closes all connections without a request in flight.
func (c *clientConns) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conns := range []*list.List{&c.neverUsed, &c.idle} {
		for conns.Len() > 0 {
			c.closeConn(conns.Front().Value.(net.Conn))
		}
	}
}

// wasClosed reports whether closeConn closed a connection, which can happen while a request arrives
// on it.
func (c *clientConns) wasClosed(nc net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.open[nc]
	return cc != nil && cc.closed
}

// limitReceiveBuffer limits the kernel's receive buffer of the connections that a listener
// accepts: some clients send 60 MB that are never read.
func limitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientReceiveBuffer)
	}); err != nil {
		return err
	}
	return failed
}
