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

// clientConn is a client connection. Requests are read one after another. Pipelined idempotent requests are processed
// concurrently; responses are written in the order of the requests.
type clientConn struct {
	listener *clientListener
	nc       net.Conn
	in       *bufio.Reader // used only by the goroutine that runs serve; see disconnectReader

	// ctx is cancelled when the client is found to have disconnected or the gateway has closed the connection: no
	// response can be delivered from then on.
	ctx        context.Context
	disconnect context.CancelFunc

	progress connProgress

	mu          sync.Mutex
	idle        bool          // guarded by mu; the connection waits for the first byte of a request
	idleTimeout time.Duration // guarded by mu; of the wait for that byte once all requests are answered
	lastWritten bool          // guarded by mu; the final response was written completely
	watchDone   bool          // guarded by mu; see watchWhile
}

func newClientConn(l *clientListener, nc net.Conn) *clientConn {
	c := &clientConn{listener: l, nc: nc}
	c.ctx, c.disconnect = context.WithCancel(context.Background())
	return c
}

// wakeIfIdle interrupts the wait for the next request, so that a drain closes an idle connection.
func (c *clientConn) wakeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.setReadDeadline(pastDeadline)
	}
}

// serve reads and answers requests until the connection ends. While it waits for a response or a slot of the pipeline,
// it reads ahead, so that a disconnect of the client is detected.
func (c *clientConn) serve() {
	c.in = readerPool.Get().(*bufio.Reader)
	c.in.Reset(&disconnectReader{c.nc, c.disconnect})
	pipeline := newPipeline()
	defer c.finish(pipeline)
	defer c.listener.forwarder.recoverPanic(nil, c.progress.endReading)
	nextTurn := make(chan struct{}) // closed when the next request to be read may write its response
	close(nextTurn)
	for first := true; c.readsNext(pipeline); first = false {
		head, err := c.readHead(first)
		if err != nil {
			c.answerMalformed(err, nextTurn)
			return
		}
		arrived := time.Now()
		sequence, ok := c.progress.requestRead()
		if !ok {
			return
		}
		turn, done := nextTurn, make(chan struct{})
		nextTurn = done
		r, refusal := c.prepareOrFail(head, arrived, turn)
		if refusal == nil && r.mayBePipelined() {
			if !pipeline.acquireIfFree() {
				c.watchWhile(pipeline.acquire)
			}
			pipeline.run(func() {
				c.answer(r, nil, turn, sequence)
				close(done)
			})
			continue
		}
		if refusal == nil && !r.route.IsIdempotent() && !c.waitForTurn(r, turn) {
			return
		}
		closes := c.answerAlone(r, refusal, turn, sequence)
		close(done)
		if closes {
			return
		}
	}
}

// prepareOrFail is prepare, and turns a panic into a response that closes the connection: the requests before this one
// keep theirs, and how much of this one was read is unknown.
func (c *clientConn) prepareOrFail(head *h1.Head, arrived time.Time, turn <-chan struct{}) (
	r *request, refusal *response,
) {
	r = &request{ctx: c.ctx, head: head, arrived: arrived}
	defer c.listener.forwarder.recoverPanic(r, func() {
		refusal = internalError.response(0)
		refusal.closes = true
	})
	refusal = c.prepare(r, turn)
	return r, refusal
}

// finish waits for outstanding responses and closes the connection. After a complete final response it first discards
// input for the linger time; see closeAfterLast.
func (c *clientConn) finish(pipeline *pipeline) {
	if !pipeline.empty() {
		c.watchWhile(pipeline.responses.Wait)
	}
	pipeline.responses.Wait() // what the responses have changed is read below
	c.disconnect()
	c.in.Reset(nil)
	readerPool.Put(c.in)
	if c.lastWritten {
		c.setReadDeadline(time.Now().Add(c.listener.linger))
		_, _ = io.Copy(io.Discard, c.nc) // requests received after the final response are ignored
	}
	_ = c.nc.Close()
	c.listener.remove(c)
}

// readsNext reports whether another request is to be read. A drain ends the reading while requests are unanswered: a
// client that always has another one ready would never see its connection closed.
func (c *clientConn) readsNext(pipeline *pipeline) bool {
	return !c.listener.readiness.draining.Load() || !c.progress.endReadingInDrain(pipeline.full())
}

// waitForTurn waits until a non-idempotent request may be processed, and reports whether it may. If an earlier response
// closes the connection, the requests after it count as not received, and the client sends them again (RFC 9112,
// 9.3.2).
func (c *clientConn) waitForTurn(r *request, turn <-chan struct{}) bool {
	c.await(turn)
	c.setReadDeadline(r.deadline) // await leaves one in the past, and the rest of a long body is still to be read
	return !c.progress.isClosing() && !c.disconnected()
}

// readHead waits for a request and reads its head. The error is io.EOF if no request has begun, and an [h1.Error] if
// the client must be sent an error response.
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
			return nil, io.EOF // no request has begun, so no response is owed
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

// waitForByte waits for the first byte of a request. The time-out begins once all requests are answered: until then the
// connection is not idle, and its end would not have been announced. A drain can interrupt the wait; see wakeIfIdle.
func (c *clientConn) waitForByte(timeout time.Duration) error {
	c.mu.Lock()
	c.idle, c.idleTimeout = true, timeout
	c.setIdleDeadline()
	c.mu.Unlock()
	_, err := c.in.Peek(1)
	c.mu.Lock()
	c.idle = false
	c.mu.Unlock()
	return err
}

// setIdleDeadline sets the read deadline of the wait for a request. Called with mu held.
func (c *clientConn) setIdleDeadline() {
	switch {
	case c.progress.isClosing():
		c.setReadDeadline(time.Now().Add(c.listener.linger))
	case c.progress.allAnswered():
		c.setReadDeadline(time.Now().Add(c.idleTimeout))
	default:
		c.setReadDeadline(time.Time{}) // until responseWritten
	}
}

// responseWritten records that a response was written that does not close the connection.
func (c *clientConn) responseWritten() {
	c.progress.responseWritten()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.progress.allAnswered() {
		c.setIdleDeadline()
	}
}

// setReadDeadline sets the read deadline. It fails only on a closed connection, where the next read fails too.
func (c *clientConn) setReadDeadline(until time.Time) { _ = c.nc.SetReadDeadline(until) }
