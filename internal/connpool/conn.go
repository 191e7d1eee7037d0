package connpool

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// A connection is given up after this part of the time for which its server said to keep
// it, so that a request does not cross the server's close.
const (
	safeKeepAliveNumerator   = 9
	safeKeepAliveDenominator = 10
)

// ErrResponseTooLong reports a response that is longer than [Conn.BeginExchange] allowed.
var ErrResponseTooLong = errors.New("the answer is too long")

// Conn is a connection to a server. It carries one request at a time and is used by one
// goroutine at a time.
type Conn[K comparable] struct {
	net.Conn
	Host   *Host[K]
	Reader *bufio.Reader // of the responses

	// Used reports that an exchange has begun on it.
	Used bool
	// IdleSince is when Put kept it last.
	IdleSince time.Time
	// KeepAlive is for how long the server said that it keeps the connection when it is
	// idle; 0: it did not say. It takes the place of Pool.IdleTimeout.
	KeepAlive time.Duration

	pool      *Pool[K]
	response  *responseReader // what Reader reads from
	closeOnce sync.Once
}

func newConn[K comparable](p *Pool[K], h *Host[K], nc net.Conn) *Conn[K] {
	response := &responseReader{conn: nc}
	return &Conn[K]{Conn: nc, Host: h, Reader: bufio.NewReader(response), pool: p, response: response}
}

// responseReader reads responses from a connection. It bounds their length, and tells the
// end of the connection from a response that can't be read.
type responseReader struct {
	conn      io.Reader
	remaining int   // bytes that the response may still have
	err       error // how the connection ended, nil while it is open
}

// Read implements io.Reader.
func (r *responseReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrResponseTooLong
	}
	n, err := r.conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		r.err = err
	}
	return n, err
}

// BeginExchange starts a request whose response, with its headers, has at most
// maxResponseBytes bytes. Longer ones fail with [ErrResponseTooLong].
func (c *Conn[K]) BeginExchange(maxResponseBytes int) {
	c.Used, c.response.remaining = true, maxResponseBytes
}

// ReadErr returns how the connection ended, nil if it has not. A deadline that has passed
// does not end it.
func (c *Conn[K]) ReadErr() error { return c.response.err }

// Reusable reports whether an idle connection is open and the server has sent nothing on
// it. On one that the server has closed, a request would fail without a response, and one
// that must not run twice could not be sent again.
func (c *Conn[K]) Reusable() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && nothingToRead
}

// safeKeepAlive is how long the connection may be idle by what its server said.
func (c *Conn[K]) safeKeepAlive() time.Duration {
	return c.KeepAlive * safeKeepAliveNumerator / safeKeepAliveDenominator
}

// Close closes the connection and makes space for another one. It does nothing on a closed
// connection.
func (c *Conn[K]) Close() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.closeLocked()
}

// closeLocked is Close for a caller that holds Pool.mu.
func (c *Conn[K]) closeLocked() {
	c.closeOnce.Do(func() {
		c.pool.open--
		_ = c.Conn.Close() // nothing is read or written any more
	})
}
