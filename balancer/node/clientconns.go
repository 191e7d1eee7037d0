package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// clientConns tracks the clients' connections and bounds those without a request. The cost of
// a change does not depend on the number of connections.
type clientConns struct {
	budget int

	mu        sync.Mutex
	open      map[net.Conn]*clientConn
	neverUsed list.List // of net.Conn: never had a request, oldest first
	idle      list.List // between requests, unused longest first
}

// clientConn is what is known of one connection.
type clientConn struct {
	list    *list.List    // fresh or idle; nil with a request in hand
	element *list.Element // in it
	closed  bool          // closed here without a request
}

func newClientConns(budget int) *clientConns {
	return &clientConns{budget: budget, open: map[net.Conn]*clientConn{}}
}

// stateChanged is the server's ConnState hook.
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
		c.closeOne()
	}
}

// closeOne closes a connection without a request. Clients that connect and send nothing close
// only each other's connections: those that never had a request go first once they hold half
// of the budget. Below that the one unused longest goes, so that a new connection whose
// request is on its way stays where many clients send one request and keep the connection.
func (c *clientConns) closeOne() {
	waits := &c.idle
	if waits.Len() == 0 || c.neverUsed.Len() > c.budget/2 {
		waits = &c.neverUsed
	}
	if first := waits.Front(); first != nil {
		c.closeConn(first.Value.(net.Conn))
	}
}

// closeConn closes a connection without a request. A client whose request is on its way
// sends it once more.
func (c *clientConns) closeConn(nc net.Conn) {
	cc := c.open[nc]
	cc.list.Remove(cc.element)
	cc.list, cc.element, cc.closed = nil, nil, true
	_ = nc.Close() // it is of no use whatever Close says
}

// closeUnused closes all connections without a request.
func (c *clientConns) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, waits := range []*list.List{&c.neverUsed, &c.idle} {
		for waits.Len() > 0 {
			c.closeConn(waits.Front().Value.(net.Conn))
		}
	}
}

// wasClosed reports whether a request's connection was closed before its head was read.
func (c *clientConns) wasClosed(nc net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc := c.open[nc]
	return cc != nil && cc.closed
}

// boundBuffer bounds what the system buffers of a client's bytes on the connections that a
// listener accepts: some clients send 60 MB that are never read.
func boundBuffer(_, _ string, raw syscall.RawConn) error {
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBuffer)
	}); err != nil {
		return err
	}
	return failed
}
