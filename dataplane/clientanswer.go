package dataplane

import (
	"context"
	"errors"
	"os"
	"time"

	"example.org/elmspan/dataplane/h1"
)

// answerAlone answers a request without reading the next one before the response is written.
func (c *clientConn) answerAlone(r *request, refusal *response, turn <-chan struct{}, sequence int) (closes bool) {
	if refusal != nil {
		c.await(turn)
		return c.answer(r, refusal, turn, sequence)
	}
	answer := func() { closes = c.answer(r, nil, turn, sequence) }
	if r.stream == nil {
		c.watchWhile(answer)
		return closes
	}
	// The goroutine that forwards the body reads the connection, and detects a disconnect while it does.
	finished := make(chan struct{})
	go func() { defer close(finished); answer() }()
	select {
	case <-finished:
	case <-r.bodyRead:
		c.await(finished)
	}
	return closes
}

// answerMalformed answers a malformed request head after all earlier responses, and ends the connection.
func (c *clientConn) answerMalformed(err error, turn <-chan struct{}) {
	var malformed *h1.Error
	if !errors.As(err, &malformed) {
		return
	}
	c.await(turn) // earlier responses go first
	if c.progress.isClosing() {
		return // the request counts as not received
	}
	c.listener.log.Debug("malformed request", "from", c.nc.RemoteAddr(), "error", err)
	resp := &response{status: malformed.Status, text: malformed.Reason, closes: true}
	if c.write(c.ctx, resp, nil, time.Now().Add(c.listener.writeTimeout)) == nil {
		c.closeAfterLast()
	}
}

// answer forwards a request, unless it was refused already, and writes the response after all earlier ones. It reports
// whether the connection must be closed.
func (c *clientConn) answer(r *request, refusal *response, turn <-chan struct{}, sequence int) (closes bool) {
	defer c.listener.forwarder.recoverPanic(r, func() {
		c.progress.close()
		_ = c.nc.Close() // the response may have been written in part
		closes = true
	})
	resp := refusal
	if resp == nil {
		resp = c.listener.forwarder.forward(r)
		resp.interruptOn(r.attemptContext())
	}
	defer resp.release()
	defer c.listener.forwarder.finish(r)
	c.listener.report(r, resp)
	<-turn
	if resp.restIsOverdue(r) { // what is behind it on the connection would be cut with it
		c.listener.reportUndelivered(r, resp, os.ErrDeadlineExceeded)
		resp = deadlineExceeded.response(0)
	}
	if c.decideClose(r, resp, sequence) || resp.reason == clientDisconnected.code {
		c.listener.reportUndelivered(r, resp, nil)
		c.progress.close()
		return true
	}
	err := c.writeResponse(r, resp)
	if err == nil && !resp.closes {
		c.responseWritten()
		return false
	}
	c.progress.close()
	if err == nil {
		c.closeAfterLast()
	} else {
		c.listener.reportUndelivered(r, resp, err)
		_ = c.nc.Close()
	}
	return true
}

// writeResponse writes the response to a request. Where only the end of the connection delimits the body, the
// connection ends with a reset until the body is complete, however it ends: only that shows the client the truncation.
func (c *clientConn) writeResponse(r *request, resp *response) error {
	untilClose := resp.endsWithConnection(r.head)
	if untilClose {
		c.setLinger(lingerReset)
	}
	err := c.write(r.attemptContext(), resp, r.head, c.writeDeadline(r, resp))
	if untilClose && err == nil {
		c.setLinger(lingerNone)
	}
	return err
}

// decideClose decides whether the response announces that the connection closes. It returns true if an earlier response
// has closed the connection: this one is not written.
func (c *clientConn) decideClose(r *request, resp *response, sequence int) (ended bool) {
	mustClose := resp.closes || r.head.ClosesConnection() || resp.endsWithConnection(r.head) ||
		r.stream != nil && !r.stream.Done()
	resp.closes, ended = c.progress.decideResponse(sequence, mustClose, c.listener.readiness.draining.Load())
	return ended
}

// writeDeadline returns the deadline for writing a response. A response still being read from the server may be written
// at least until the deadline of its request.
func (c *clientConn) writeDeadline(r *request, resp *response) time.Time {
	until := time.Now().Add(c.listener.writeTimeout)
	if resp.rest != nil && r.deadline.After(until) {
		return r.deadline
	}
	return until
}

// The linger times of a connection, in seconds; see [net.TCPConn.SetLinger].
const (
	lingerReset = 0  // closing the connection resets it, also when the process ends
	lingerNone  = -1 // the operating system's default
)

// setLinger sets what closing the connection does. It fails only on a closed connection.
func (c *clientConn) setLinger(seconds int) {
	if t, ok := c.nc.(interface{ SetLinger(sec int) error }); ok { // [net.TCPConn], or a test connection
		_ = t.SetLinger(seconds)
	}
}

// closeAfterLast closes the write side of the connection after its final response. Closing both sides while the client
// still sends would make the kernel reset the connection, and the client could lose the response (RFC 9112, 9.6); see
// finish.
func (c *clientConn) closeAfterLast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWritten = true
	if t, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite() // fails on a connection that the client has closed already
	}
	c.setReadDeadline(time.Now().Add(c.listener.linger))
}

// write writes a response within a deadline. Cancelling the context ends the wait for the link.
func (c *clientConn) write(ctx context.Context, resp *response, requestHead *h1.Head, until time.Time) error {
	_ = c.nc.SetWriteDeadline(until) // fails on a closed connection, as the write then does
	return resp.writeTo(ctx, c.nc, requestHead, c.listener.link)
}
