package dataplane

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"example.org/elmspan/dataplane/h1"
)

const (
	readBufferSize = 4 << 10
	maxPipelined   = 8 // requests of one connection in flight at once
)

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// clientConn is one client's connection. Its requests are read one after the other; idempotent ones that are
// pipelined are worked on at once, and answered in their order.
type clientConn struct {
	listener *clientListener
	nc       net.Conn
	in       *bufio.Reader // of the goroutine that runs serve; see disconnectReader

	// ctx ends when the client is seen to have left, or the gateway has closed the connection: what the client asked
	// for is of no use then.
	ctx        context.Context
	disconnect context.CancelFunc

	mu           sync.Mutex
	requestsRead int  // guarded by mu
	idle         bool // guarded by mu; waits for the first byte of a request
	closing      bool // guarded by mu; a response says that the connection closes
	lastWritten  bool // guarded by mu; the last response was written whole
	watchOver    bool // guarded by mu; see watchWhile
}

func newClientConn(l *clientListener, nc net.Conn) *clientConn {
	c := &clientConn{listener: l, nc: nc}
	c.ctx, c.disconnect = context.WithCancel(context.Background())
	return c
}

// wakeIfIdle ends a connection that has no request in flight, for a drain.
func (c *clientConn) wakeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.setReadDeadline(pastDeadline)
	}
}

// serve reads requests and answers them until the connection ends. Whatever it waits for, it reads the connection
// meanwhile: so it sees that the client leaves.
func (c *clientConn) serve() {
	c.in = readerPool.Get().(*bufio.Reader)
	c.in.Reset(&disconnectReader{c.nc, c.disconnect})
	pipeline := newPipeline()
	defer c.finish(pipeline)
	turn := make(chan struct{}) // closed when the next request to be read may write its response
	close(turn)
	for first := true; ; first = false {
		head, err := c.readHead(first)
		if err != nil {
			c.refuseMalformed(err, turn)
			return
		}
		arrived := time.Now()
		sequence, ok := c.nextSequence()
		if !ok {
			return
		}
		mine, next := turn, make(chan struct{})
		turn = next
		r, refusal := c.prepare(head, arrived, mine)
		if refusal == nil && r.stream == nil && r.route.IsIdempotent() && !head.ClosesConnection() {
			if !pipeline.acquireIfFree() {
				c.watchWhile(pipeline.acquire)
			}
			pipeline.run(func() {
				c.answer(r, nil, mine, sequence)
				close(next)
			})
			continue
		}
		if refusal == nil && !r.route.IsIdempotent() && !c.waitForTurn(mine) {
			return
		}
		closes := c.answerAlone(r, refusal, mine, sequence)
		close(next)
		if closes {
			return
		}
	}
}

// answerAlone answers a request behind which none is read meanwhile.
func (c *clientConn) answerAlone(r *request, refusal *response, mine <-chan struct{}, sequence int) (closes bool) {
	if refusal != nil {
		c.await(mine)
		return c.answer(r, refusal, mine, sequence)
	}
	answer := func() { closes = c.answer(r, nil, mine, sequence) }
	if r.stream == nil {
		c.watchWhile(answer)
		return closes
	}
	// The body is read by those who send it on, and the end of the connection is met there.
	finished := make(chan struct{})
	go func() { defer close(finished); answer() }()
	select {
	case <-finished:
	case <-r.bodyRead:
		c.await(finished)
	}
	return closes
}

// finish waits for the responses that are due, then lets the connection go. Where its last response was written, it
// reads on for the linger time: see closeAfterLast.
func (c *clientConn) finish(pipeline *pipeline) {
	if !pipeline.empty() {
		c.watchWhile(pipeline.responses.Wait)
	}
	c.disconnect()
	c.in.Reset(nil)
	readerPool.Put(c.in)
	if c.lastWritten {
		c.setReadDeadline(time.Now().Add(c.listener.linger))
		_, _ = io.Copy(io.Discard, c.nc) // what the client still sends is of no use
	}
	_ = c.nc.Close()
	c.listener.remove(c)
}

// nextSequence returns the number of the request just read. It reports false behind a response that closes the
// connection: that request counts as not read.
func (c *clientConn) nextSequence() (sequence int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return 0, false
	}
	c.requestsRead++
	return c.requestsRead, true
}

// waitForTurn waits until it is the turn of a request that must not run twice, and reports whether it has come: where
// the connection ends with a response before, the requests behind that count as not read, and the client sends them
// again (RFC 9112, 9.3.2).
func (c *clientConn) waitForTurn(mine <-chan struct{}) bool {
	c.await(mine)
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && !c.disconnected()
}

// readHead waits for a request and reads its head. The error is io.EOF where no request has begun, and an [h1.Error]
// where a response is due.
func (c *clientConn) readHead(first bool) (*h1.Head, error) {
	headTimeout, idleTimeout, maxHead := defaultHeadTimeout, defaultIdleTimeout, defaultMaxHead
	if s := c.listener.router.current(); s != nil {
		headTimeout, idleTimeout, maxHead = s.headTimeout, s.idleTimeout, s.maxHead
	}
	wait := idleTimeout
	if first {
		wait = headTimeout
	}
	if c.in.Buffered() == 0 {
		if err := c.waitForByte(wait); err != nil {
			return nil, io.EOF // nothing was requested: no response is due
		}
	}
	c.setReadDeadline(time.Now().Add(headTimeout))
	h, err := h1.ReadRequest(c.in, maxHead)
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return nil, &h1.Error{Status: 408, Reason: "the head did not come in time"}
	}
	return h, err
}

// waitForByte waits for the first byte of a request. A drain may end the wait; see wakeIfIdle.
func (c *clientConn) waitForByte(wait time.Duration) error {
	c.mu.Lock()
	if c.closing {
		wait = c.listener.linger
	}
	c.setReadDeadline(time.Now().Add(wait))
	c.idle = true
	c.mu.Unlock()
	_, err := c.in.Peek(1)
	c.mu.Lock()
	c.idle = false
	c.mu.Unlock()
	return err
}

// refuseMalformed answers a head that can't be read when its turn has come, and ends the connection.
func (c *clientConn) refuseMalformed(err error, mine <-chan struct{}) {
	var malformed *h1.Error
	if !errors.As(err, &malformed) {
		return
	}
	c.await(mine) // the responses that are due go first
	c.listener.log.Debug("malformed request", "from", c.nc.RemoteAddr(), "error", err)
	resp := &response{status: malformed.Status, text: malformed.Reason, closes: true}
	if c.write(c.ctx, resp, nil, time.Now().Add(c.listener.writeTimeout)) == nil {
		c.closeAfterLast()
	}
}

// answer forwards a request, unless it is refused already, and writes the response when its turn has come. It reports
// whether the connection ends with it.
func (c *clientConn) answer(r *request, refusal *response, mine <-chan struct{}, sequence int) (closes bool) {
	resp := refusal
	if resp == nil {
		resp = c.listener.forwarder.forward(r)
		resp.interruptOn(r.attemptContext())
	}
	defer resp.release()
	defer c.listener.forwarder.finish(r)
	c.listener.report(r, resp)
	<-mine
	if c.decideClose(r, resp, sequence) || resp.reason == clientDisconnected.code {
		c.noteClosing()
		return true
	}
	err := c.write(r.attemptContext(), resp, r.head, c.writeDeadline(r, resp))
	if err == nil && !resp.closes {
		return false
	}
	c.noteClosing()
	if err == nil {
		c.closeAfterLast()
	} else {
		c.abort(resp.endsWithConnection(r.head))
	}
	return true
}

// noteClosing notes that no response follows: the connection ends.
func (c *clientConn) noteClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// decideClose decides whether the response says that the connection closes. It reports true where a response before
// has ended the connection: this one is not written.
func (c *clientConn) decideClose(r *request, resp *response, sequence int) (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closing:
		return true
	case r.head.ClosesConnection(), resp.endsWithConnection(r.head), r.stream != nil && !r.stream.Done():
		resp.closes = true
	case c.listener.readiness.draining.Load() && sequence == c.requestsRead: // nothing was read behind it
		resp.closes = true
	}
	c.closing = resp.closes
	return false
}

// writeDeadline is until when a response may be written: one whose rest is still read from the server has at least
// the time of its request.
func (c *clientConn) writeDeadline(r *request, resp *response) time.Time {
	until := time.Now().Add(c.listener.writeTimeout)
	if resp.rest != nil && r.deadline.After(until) {
		return r.deadline
	}
	return until
}

// abort closes the connection in the middle of a response. Where its length is not known, only a reset shows the client
// that it isn't whole.
func (c *clientConn) abort(reset bool) {
	if reset {
		if t, ok := c.nc.(interface{ SetLinger(sec int) error }); ok { // a [net.TCPConn], or one in memory
			_ = t.SetLinger(0) // fails on a connection that is closed already
		}
	}
	_ = c.nc.Close()
}

// closeAfterLast ends the connection after its last response. What the client still sends must not make the system
// reset the connection before that is read (RFC 9112, 9.6): see finish.
func (c *clientConn) closeAfterLast() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastWritten = true
	if t, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite() // fails on a connection that the client has closed already
	}
	c.setReadDeadline(time.Now().Add(c.listener.linger))
}

// write writes a response, until a deadline. The context ends the wait for the link.
func (c *clientConn) write(ctx context.Context, resp *response, requestHead *h1.Head, until time.Time) error {
	_ = c.nc.SetWriteDeadline(until) // fails on a closed connection, as the write then does
	return resp.writeTo(ctx, c.nc, requestHead, c.listener.link)
}

// setReadDeadline sets the read deadline. It fails on a closed connection only, where the next read fails too.
func (c *clientConn) setReadDeadline(until time.Time) { _ = c.nc.SetReadDeadline(until) }
