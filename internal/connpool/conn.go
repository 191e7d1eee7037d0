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

// An idle connection is closed after this fraction of the keep-alive timeout that its
// server announced, so that no request is sent while the server closes the connection.
const (
	safeKeepAliveNumerator   = 9
	safeKeepAliveDenominator = 10
)

// ErrResponseTooLong reports a response that exceeds the limit set by [Conn.BeginExchange].
var ErrResponseTooLong = errors.New("response too long")

// Conn is a connection to a server. It carries one request at a time and is used by one
// goroutine at a time.
type Conn[K comparable] struct {
	net.Conn
	Host   *Host[K]
	Reader *bufio.Reader // reads the responses

	// Used reports whether an exchange has begun on the connection.
	Used bool
	// IdleSince is the time at which Put last returned the connection to the pool.
	IdleSince time.Time
	// KeepAlive is the idle timeout that the server announced for the connection, or 0 if
	// it announced none. It takes precedence over Pool.IdleTimeout.
	KeepAlive time.Duration

	pool      *Pool[K]
	response  *responseReader // underlies Reader
	closeOnce sync.Once
}

func newConn[K comparable](p *Pool[K], h *Host[K], nc net.Conn) *Conn[K] {
	response := &responseReader{conn: nc}
	return &Conn[K]{Conn: nc, Host: h, Reader: bufio.NewReader(response), pool: p, response: response}
}

// responseReader reads responses from a connection. It limits their length and records
// whether the connection ended, as opposed to a response that could not be parsed.
type responseReader struct {
	conn      io.Reader
	remaining int   // number of further bytes allowed in the response
	err       error // the error that ended the connection, nil while it is open
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

// BeginExchange starts a request and limits its response, headers included, to
// maxResponseBytes bytes. Reading a longer response fails with [ErrResponseTooLong].
func (c *Conn[K]) BeginExchange(maxResponseBytes int) {
	c.Used, c.response.remaining = true, maxResponseBytes
}

// ReadErr returns the error that ended the connection, or nil if it is still open. An
// exceeded deadline does not end a connection.
func (c *Conn[K]) ReadErr() error { return c.response.err }

// Reusable reports whether an idle connection is open and has no unread data. On a
// connection that the server has closed, a request would fail without a response, and a
// non-idempotent request could not be retried.
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

// safeKeepAlive returns how long the connection may be idle, given the keep-alive timeout
// that its server announced.
func (c *Conn[K]) safeKeepAlive() time.Duration {
	return c.KeepAlive * safeKeepAliveNumerator / safeKeepAliveDenominator
}

// Close closes the connection and frees its slot in the pool. It does nothing if the
// connection is already closed.
func (c *Conn[K]) Close() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.closeLocked()
}

// closeLocked is like Close, but the caller must hold Pool.mu.
func (c *Conn[K]) closeLocked() {
	c.closeOnce.Do(func() {
		c.pool.open--
		_ = c.Conn.Close() // the connection is no longer used, so an error is irrelevant
	})
}
