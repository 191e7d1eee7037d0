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
	"example.org/elmspan/internal/connpool"
)

const maxResponseHead = 32 << 10

type conn = connpool.Conn[string]

// attemptOutcome is how an attempt at a server ended.
type attemptOutcome struct {
	result     balance.Result
	mayHaveRun bool      // the server may have executed the request
	response   *response // what its client can be sent, if anything
	reusable   bool      // the connection may carry another request
}

// attempt sends a request to one server and reads its response. On a kept connection that turns out dead before a byte
// was written, it goes on with another.
func (f *forwarder) attempt(r *request, at *upstreamAttempt, host *connpool.Host[string]) attemptOutcome {
	for {
		c, kept, failure := f.connect(r, at, host)
		if c == nil {
			return attemptOutcome{result: failure}
		}
		if !f.pool.Available(host) { // the server went while we connected
			c.Close()
			return attemptOutcome{result: balance.Replaced}
		}
		cancelClose := context.AfterFunc(at.ctx, c.Close)
		o := f.roundTrip(r, at.member, c)
		if !cancelClose() { // cancelled: the connection is closed
			if o.response != nil {
				o.response.release()
			}
			return attemptOutcome{result: r.cancelledResult(), mayHaveRun: true}
		}
		// Only now is it certain that a cancellation closes no connection that another request has.
		switch streams := o.response != nil && o.response.rest != nil; {
		case o.reusable:
			f.pool.Put(c)
		case !streams:
			c.Close()
		}
		if o.result == balance.NotSent && kept {
			continue
		}
		return o
	}
}

// cancelledResult is how an attempt ended that was cancelled.
func (r *request) cancelledResult() balance.Result {
	if r.clientLeft() {
		return balance.ClientDisconnected
	}
	return balance.HedgeLost
}

// connect takes a kept connection to a server, or makes a new one. A request that must not run twice gets a kept one
// only if it was used a short time ago. Where there is none, it returns nil and how the attempt ended.
func (f *forwarder) connect(r *request, at *upstreamAttempt, host *connpool.Host[string]) (
	c *conn, kept bool, failure balance.Result,
) {
	if r.route.IsIdempotent() {
		c = f.pool.Get(host)
	} else {
		c = f.pool.GetForNonIdempotent(host)
	}
	if c != nil {
		return c, true, 0
	}
	ctx, cancel := context.WithDeadline(at.ctx, r.deadline)
	c, err := f.pool.Connect(ctx, host)
	cancel()
	switch {
	case err == nil:
		return c, false, 0
	case at.ctx.Err() != nil:
		return nil, false, balance.Cancelled
	case !errors.Is(err, connpool.ErrPoolExhausted):
		f.pool.CloseIdle(host)
	}
	return nil, false, balance.NotSent
}

// roundTrip writes the request and reads the response. The connection is its caller's, or the response's where that is
// not read whole.
func (f *forwarder) roundTrip(r *request, m *balance.Member, c *conn) attemptOutcome {
	_ = c.SetDeadline(r.deadline) // fails on a closed connection, as the write then does
	if c.Used && !c.Reusable() {
		return attemptOutcome{result: balance.NotSent}
	}
	age, sent := c.IdleGroup(), time.Now()
	c.BeginExchange(math.MaxInt)
	e := attempt.Evidence{Written: attempt.FullyWritten, HeadRequest: r.head.Method == "HEAD"}
	n, err := f.writeRequest(r, m.ID, c)
	if err != nil && n == 0 {
		c.RecordExchange(age, true)
		return attemptOutcome{result: f.rules.Classify(attempt.Evidence{Written: attempt.NotWritten}).Result}
	}
	if err == nil && r.stream != nil {
		r.started = true
		err = r.streamTo(c, f.router.current().maxBody, f.link)
		var fault *h1.Error
		if errors.As(err, &fault) { // the client's
			e.Written, e.Response = attempt.PartlyWritten, attempt.RequestAborted
			return f.classify(e, abortedBody(fault))
		}
	}
	if err != nil { // the response may be there all the same: a server need not read all that it refuses
		e.Written = attempt.PartlyWritten
	}
	head, err := f.readOwnHead(c.Reader, r.head, &e.StrayResponses)
	c.RecordExchange(age, c.ReadErr() != nil)
	if c.WasStale(age) && time.Since(sent) < forgottenWithin {
		f.noteForgotten(m.ID, age)
	}
	if e.StrayResponses > 0 {
		f.noteUnexpected(m.ID, e.StrayResponses, err)
	}
	if err != nil {
		return f.classify(e, nil)
	}
	c.KeepAlive = head.KeepAlive()
	return f.readResponse(c, e, r.head.Method, head)
}

// abortedBody is the response to a client whose streamed body is malformed or breaks off.
func abortedBody(fault *h1.Error) *response {
	return &response{status: fault.Status, reason: malformedCode, text: fault.Reason, closes: true}
}

// writeRequest writes the head for a server, with a body that is held. It returns how many bytes were written.
func (f *forwarder) writeRequest(r *request, member string, c *conn) (int, error) {
	b := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(b)
	b.Reset()
	r.writeHead(b, member)
	f.link.Record(b.Len())
	return c.Write(b.Bytes())
}

// readResponse reads the body behind the head of a response, as far as that must be read before a byte of it goes out.
func (f *forwarder) readResponse(c *conn, e attempt.Evidence, method string, head *h1.Head) attemptOutcome {
	framing, err := head.ResponseFraming(method)
	if err != nil { // no response that two would read alike
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
	resp.rest, resp.free, resp.closeUpstream = body, f.releaseFunc(c, e), c.Close
	return f.classify(e, resp)
}

// completeResponse is the outcome of an attempt whose response was read whole.
func (f *forwarder) completeResponse(c *conn, e attempt.Evidence, resp *response) attemptOutcome {
	resp.length = int64(len(resp.body))
	if e.HeadRequest { // what GET would have is stated all the same
		resp.length, _ = resp.head.ResponseFraming("GET") // an error was met before
	}
	e.Response, e.TrailingBytes = attempt.Complete, c.Reader.Buffered()
	o := f.classify(e, resp)
	o.reusable = f.rules.Reusable(e)
	return o
}

// releaseFunc returns what lets go of the connection of a response that has begun. (It is a function of its own so
// that the evidence on all other responses stays on the stack.)
func (f *forwarder) releaseFunc(c *conn, e attempt.Evidence) func(whole bool) {
	return func(whole bool) {
		if e.Response, e.TrailingBytes = attempt.Complete, c.Reader.Buffered(); whole && f.rules.Reusable(e) {
			f.pool.Put(c)
		} else {
			c.Close()
		}
	}
}

// classify is how an attempt ended, by what was seen of it and the response that it brought.
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

// maxUnexpectedBody bounds how much is read past of a response to another request.
const maxUnexpectedBody = 1 << 20

// errUnexpectedResponse ends the reading of a connection whose bytes can't be attributed to this request.
var errUnexpectedResponse = errors.New("the response is not to this request")

// readOwnHead reads the head of the response to a request: the one with its id. A server that has stuttered sends a
// second response to an earlier request where the next one is due. Its id shows it, and the request's own response
// stands behind it. A response without an id could be anybody's: nothing that follows can be trusted. It counts the
// responses that were not this request's.
func (f *forwarder) readOwnHead(in *bufio.Reader, requestHead *h1.Head, unexpected *int) (*h1.Head, error) {
	for {
		h, err := h1.ReadResponse(in, maxResponseHead)
		if err != nil {
			return nil, err
		}
		owner := f.rules.OwnerOf(h.Get("Attempt-Id"), h.Count("Attempt-Id"), requestHead.Get("Attempt-Id"))
		if owner == attempt.ThisRequest {
			return h, nil
		}
		*unexpected++
		framing, err := h.ResponseFraming("GET")
		bounded := err == nil && framing != h1.UntilClose && framing <= maxUnexpectedBody
		if !attempt.ShouldSkip(owner, *unexpected, bounded) {
			return nil, errUnexpectedResponse
		}
		body := h1.NewBody(in, framing)
		if _, err := io.Copy(io.Discard, io.LimitReader(body, maxUnexpectedBody)); err != nil || !body.Done() {
			return nil, errUnexpectedResponse
		}
	}
}

// forgottenWithin is how soon a reset comes from a server that has forgotten a connection: before it could have worked
// on the request.
const forgottenWithin = 50 * time.Millisecond

// noteForgotten notes that a server had forgotten a kept connection of an age group, and has gossip spread it.
func (f *forwarder) noteForgotten(server string, age int) {
	f.pool.RecordStale(age, connpool.Self)
	f.guarded.mu.Lock()
	f.guarded.limiter.ReportStaleConnection(f.clock.nowMs(), age)
	f.guarded.mu.Unlock()
	f.log.Debug("kept connection was forgotten by the server", "server", server, "age_group", age)
	f.metrics.Count("elmspan_forgotten_connections_total", 1)
}

// noteUnexpected notes responses that belonged to no request.
func (f *forwarder) noteUnexpected(server string, n int, err error) {
	f.log.Debug("unexpected responses", "server", server, "count", n, "own_found", err == nil)
	f.metrics.Count("elmspan_stray_answers_total", n)
}
