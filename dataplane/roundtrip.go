package dataplane

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"time"

	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/internal/connpool"
)

const maxResponseHead = 32 << 10

type conn = connpool.Conn[string]

// attemptOutcome is the outcome of an attempt at a server.
type attemptOutcome struct {
	result     balance.Result
	mayHaveRun bool      // the server may have executed the request
	response   *response // for the client; nil if there is none to pass on
	reusable   bool      // the connection may carry another request
}

// attempt sends a request to one server and reads its response. If a kept-alive connection turns out to be dead before
// any byte was written, it tries another connection.
func (f *forwarder) attempt(r *request, a *upstreamAttempt, host *connpool.Host[string]) attemptOutcome {
	for {
		c, reused, failure := f.connect(r, a, host)
		if c == nil {
			return attemptOutcome{result: failure}
		}
		if !f.pool.Available(host) { // the server was removed while the connection was made
			c.Close()
			return attemptOutcome{result: balance.Replaced}
		}
		cancelClose := context.AfterFunc(a.ctx, c.Close)
		o := f.roundTrip(r, a.member, c)
		if !cancelClose() { // cancelled: the connection is closed
			if o.response != nil {
				o.response.release()
			}
			return attemptOutcome{result: f.cancelledResult(r), mayHaveRun: true}
		}
		// The cancellation can no longer close the connection, so another request may use it.
		switch streams := o.response != nil && o.response.rest != nil; {
		case o.reusable:
			f.pool.Put(c)
		case !streams:
			c.Close()
		}
		if o.result == balance.NotSent && reused {
			continue
		}
		return o
	}
}

// cancelledResult returns the result of a cancelled attempt.
func (f *forwarder) cancelledResult(r *request) balance.Result {
	switch {
	case r.disconnected():
		return balance.ClientDisconnected
	case f.shutdown.isAborted():
		return balance.Cancelled
	}
	return balance.HedgeLost
}

// connect takes a kept-alive connection to a server, or opens a new one. A non-idempotent request gets a kept-alive
// connection only if it was used recently. If no connection can be had, c is nil and failure is the result of the
// attempt.
func (f *forwarder) connect(r *request, a *upstreamAttempt, host *connpool.Host[string]) (
	c *conn, reused bool, failure balance.Result,
) {
	if r.route.IsIdempotent() {
		c = f.pool.Get(host)
	} else {
		c = f.pool.GetForNonIdempotent(host)
	}
	if c != nil {
		return c, true, 0
	}
	ctx, cancel := context.WithDeadline(a.ctx, r.deadline)
	c, err := f.pool.Connect(ctx, host)
	cancel()
	switch {
	case err == nil:
		return c, false, 0
	case a.ctx.Err() != nil:
		return nil, false, balance.Cancelled
	case !errors.Is(err, connpool.ErrPoolExhausted):
		f.pool.CloseIdle(host)
	}
	return nil, false, balance.NotSent
}

// roundTrip writes the request and reads the response. The caller keeps ownership of the connection, except that a
// response which was not read completely owns it.
func (f *forwarder) roundTrip(r *request, m *balance.Member, c *conn) attemptOutcome {
	_ = c.SetDeadline(r.deadline) // fails on a closed connection, as the write then does
	if c.Used && !c.Reusable() {
		return attemptOutcome{result: balance.NotSent}
	}
	idleGroup, sent := c.IdleGroup(), time.Now()
	c.BeginExchange(math.MaxInt) // no limit: long responses are streamed
	e := attempt.Evidence{Written: attempt.FullyWritten, HeadRequest: r.head.Method == "HEAD"}
	n, err := f.writeRequest(r, m.ID, c)
	if err != nil && n == 0 {
		c.RecordExchange(idleGroup, true)
		return attemptOutcome{result: f.rules.Classify(attempt.Evidence{Written: attempt.NotWritten}).Result}
	}
	if err == nil && r.stream != nil {
		r.streamStarted = true
		err = r.streamTo(c, f.router.current().maxBody, f.link)
		var fault *h1.Error
		if errors.As(err, &fault) { // in the client's body
			e.Written, e.Response = attempt.PartlyWritten, attempt.RequestAborted
			return f.classify(e, abortedBody(fault))
		}
	}
	if err != nil { // still read the response: a server may reject a request without reading all of it
		e.Written = attempt.PartlyWritten
	}
	head, err := f.readMatchingHead(c.Reader, r.head, &e.StrayResponses)
	c.RecordExchange(idleGroup, c.ReadErr() != nil)
	if c.WasStale(idleGroup) && time.Since(sent) < staleResetWindow {
		f.recordStaleConn(m.ID, idleGroup)
	}
	if e.StrayResponses > 0 {
		f.recordStray(m.ID, e.StrayResponses, err)
	}
	if err != nil {
		return f.classify(e, nil)
	}
	c.KeepAlive = head.KeepAlive()
	return f.readResponse(c, e, r.head.Method, head)
}

// abortedBody returns the response to a client whose streamed body is malformed or truncated.
func abortedBody(fault *h1.Error) *response {
	return &response{status: fault.Status, reason: malformedCode, text: fault.Reason, closes: true}
}

// writeRequest writes the request head and a buffered body. It returns the number of bytes written.
func (f *forwarder) writeRequest(r *request, member string, c *conn) (int, error) {
	b := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(b)
	b.Reset()
	r.writeHead(b, member)
	f.link.Record(b.Len())
	return c.Write(b.Bytes())
}

// readResponse reads as much of the response body as must be buffered before any of it is sent to the client.
func (f *forwarder) readResponse(c *conn, e attempt.Evidence, method string, head *h1.Head) attemptOutcome {
	framing, err := head.ResponseFraming(method)
	if err != nil { // ambiguous framing: the client could read another response
		return f.classify(e, nil)
	}
	e.Response, e.Status, e.NotExecuted = attempt.Truncated, head.Status, head.Get("Not-Executed") != ""
	e.Sealed = head.Get("Server-Seal") != "" && head.Get("Content-Encoding") == "" && framing != h1.UntilClose
	e.Closes = head.ClosesConnection() || framing == h1.UntilClose
	resp := &response{status: head.Status, head: head, length: framing}
	body := h1.NewBody(c.Reader, framing)
	success := head.Status/100 == 2
	if success && !e.Sealed {
		return f.classify(e, nil)
	}
	if !success || framing >= 0 && framing <= maxHeldResponse {
		resp.body, err = body.ReadUpTo(maxHeldResponse)
		if err != nil {
			return f.classify(e, nil)
		}
		if body.Done() {
			return f.completeResponse(c, e, resp)
		}
	}
	e.Response = attempt.Streaming
	resp.rest, resp.releaseConn, resp.closeUpstream = body, f.releaseFunc(c, e), c.Close
	return f.classify(e, resp)
}

// completeResponse returns the outcome of an attempt whose response was read completely.
func (f *forwarder) completeResponse(c *conn, e attempt.Evidence, resp *response) attemptOutcome {
	resp.length = int64(len(resp.body))
	if e.HeadRequest { // a response to HEAD states the length that GET would have
		resp.length, _ = resp.head.ResponseFraming("GET") // readResponse has checked the framing
	}
	e.Response, e.TrailingBytes = attempt.Complete, c.Reader.Buffered()
	o := f.classify(e, resp)
	o.reusable = f.rules.Reusable(e)
	return o
}

// releaseFunc returns the function that releases the connection of a streamed response. (It is separate so that the
// evidence on all other responses stays on the stack.)
func (f *forwarder) releaseFunc(c *conn, e attempt.Evidence) func(whole bool) {
	return func(whole bool) {
		if e.Response, e.TrailingBytes = attempt.Complete, c.Reader.Buffered(); whole && f.rules.Reusable(e) {
			f.pool.Put(c)
		} else {
			c.Close()
		}
	}
}

// classify returns the outcome of an attempt from the evidence on it. resp is the server's response, or the error
// response to a client whose body is malformed; nil if there is none.
func (f *forwarder) classify(e attempt.Evidence, resp *response) attemptOutcome {
	v := f.rules.Classify(e)
	o := attemptOutcome{result: v.Result, mayHaveRun: v.MayHaveRun}
	switch v.Response {
	case attempt.ServerResponse, attempt.ClientError:
		o.response = resp
	case attempt.BadGateway:
		o.response = serverFailed.response(0)
	}
	return o
}

// maxStrayBody is the longest body, in bytes, that is skipped of a response to another request.
const maxStrayBody = 1 << 20

// errStrayResponse is returned if the bytes on a connection can't be attributed to this request.
var errStrayResponse = errors.New("response does not belong to this request")

// readMatchingHead reads the head of the response whose Attempt-Id is that of the request. A faulty server may send a
// duplicate response to an earlier request first. Its id identifies the duplicate, which is skipped: the expected
// response follows it. A response without an id can't be attributed to any request, so nothing after it on the
// connection can be trusted. stray counts the responses that did not match.
func (f *forwarder) readMatchingHead(in *bufio.Reader, requestHead *h1.Head, stray *int) (*h1.Head, error) {
	for {
		h, err := h1.ReadResponse(in, maxResponseHead)
		if err != nil {
			return nil, err
		}
		owner := f.rules.OwnerOf(h.Get("Attempt-Id"), h.Count("Attempt-Id"), requestHead.Get("Attempt-Id"))
		if owner == attempt.ThisRequest {
			return h, nil
		}
		*stray++
		framing, err := h.ResponseFraming("GET")
		bounded := err == nil && framing != h1.UntilClose && framing <= maxStrayBody
		if !attempt.ShouldSkip(owner, *stray, bounded) {
			return nil, errStrayResponse
		}
		body := h1.NewBody(in, framing)
		if _, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBody)); err != nil || !body.Done() {
			return nil, errStrayResponse
		}
	}
}

// staleResetWindow is the time within which a server resets a connection that it had already dropped. A later reset may
// come from a server that has begun to process the request.
const staleResetWindow = 50 * time.Millisecond

// recordStaleConn records that a server had dropped a kept-alive connection of an idle-age group, and reports it to the
// peers by gossip.
func (f *forwarder) recordStaleConn(server string, idleGroup int) {
	f.pool.RecordStale(idleGroup, connpool.Self)
	f.guarded.locked(func(l *limiter.Limiter) { l.ReportStaleConnection(f.clock.nowMs(), idleGroup) })
	f.log.Debug("kept-alive connection was dropped by the server", "server", server, "age_group", idleGroup)
	f.metrics.Count("elmspan_forgotten_connections_total", 1)
}

// recordStray logs and counts responses that did not match the request.
func (f *forwarder) recordStray(server string, n int, err error) {
	f.log.Debug("received responses to other requests", "server", server, "count", n, "own_found", err == nil)
	f.metrics.Count("elmspan_stray_answers_total", n)
}
