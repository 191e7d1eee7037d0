package dataplane

import (
	"context"
	"errors"
	"net"
	"os"
	"time"
)

// pastDeadline is a read deadline in the past, which interrupts a read at once.
var pastDeadline = time.Unix(1, 0)

// disconnectReader reads a client's connection. A read that finds the end of the stream, a reset or another error
// cancels the requests of the connection; an expired read deadline does not.
//
// A client that closes only its write side can't be distinguished from one that has disconnected, and is treated as
// disconnected, as by other HTTP servers.
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

// disconnected reports whether the client is known to have disconnected. Only reads detect it; see watchWhile.
func (c *clientConn) disconnected() bool { return c.ctx.Err() != nil }

// await waits until a channel is closed, and watches the connection for a disconnect meanwhile.
func (c *clientConn) await(done <-chan struct{}) {
	select {
	case <-done:
	default:
		c.watchWhile(func() { <-done })
	}
}

// watchWhile runs work in another goroutine and reads ahead meanwhile, so that a disconnect cancels the client's
// requests. It returns once work has returned. Neither work nor any other goroutine may read the connection meanwhile.
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

// beginWatch clears the read deadline, so that watch blocks until endWatch.
func (c *clientConn) beginWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchDone = false
	c.setReadDeadline(time.Time{})
}

// endWatch interrupts the read in watch.
func (c *clientConn) endWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watchDone = true
	c.setReadDeadline(pastDeadline)
}

// watch reads ahead until endWatch is called, the connection ends or the buffer is full. With a full buffer a
// disconnect can't be detected before the next request is read.
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

// watchEnded reports whether endWatch was called. If not, another deadline has interrupted the read, and is cleared.
func (c *clientConn) watchEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.watchDone {
		c.setReadDeadline(time.Time{})
	}
	return c.watchDone
}
