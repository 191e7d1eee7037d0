package dataplane

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// pastDeadline is a read deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// disconnectReader reads a client's connection. Whoever meets the end of it there, or a reset, has the requests
// cancelled that were read from it. A deadline is no end.
//
// A client that closes its connection in one direction only can't be told from one that has left, and counts as
// such, as with other HTTP servers.
type disconnectReader struct {
	nc         net.Conn
	disconnect context.CancelFunc
}

// Read implements io.Reader.
func (d *disconnectReader) Read(p []byte) (int, error) {
	n, err := d.nc.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		d.disconnect()
	}
	return n, err
}

// disconnected reports whether the client was seen to have left. Only reads see it; see watchWhile.
func (c *clientConn) disconnected() bool { return c.ctx.Err() != nil }

// await waits until a channel is closed and watches the connection meanwhile.
func (c *clientConn) await(done <-chan struct{}) {
	select {
	case <-done:
	default:
		c.watchWhile(func() { <-done })
	}
}

// watchWhile runs a function in a goroutine of its own and reads ahead meanwhile, so that the requests of a client
// that leaves are cancelled. It returns once the function has. The function must not read the connection, and nobody
// else may.
func (c *clientConn) watchWhile(work func()) {
	c.beginWatch()
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
		c.endWatch()
	}()
	c.watch()
	<-done
}

// beginWatch has reads of the connection wait without a deadline, until endWatch.
func (c *clientConn) beginWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchOver = false
	c.setReadDeadline(time.Time{})
}

// endWatch ends the read of watch.
func (c *clientConn) endWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchOver = true
	c.setReadDeadline(pastDeadline)
}

// watch reads ahead until endWatch, the end of the connection, or until the buffer is full: what comes behind that
// can't be seen before the next request is read.
func (c *clientConn) watch() {
	for {
		_, err := c.in.Peek(c.in.Buffered() + 1)
		switch {
		case err == nil:
		case !errors.Is(err, os.ErrDeadlineExceeded) || c.watchEnded():
			return
		}
	}
}

// watchEnded reports whether endWatch was called. Where another deadline has ended a read, it is taken off.
func (c *clientConn) watchEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.watchOver {
		c.setReadDeadline(time.Time{})
	}
	return c.watchOver
}
