package dataplane

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/dataplane/limiter"
)

const (
	maxHeldBody = 64 << 10 // longer bodies are streamed: they can be sent to one server only
	minBudget   = time.Millisecond
	maxBudget   = 10 * time.Minute
	// retryAfterUnready is when to come back to a gateway that lacks a lease or a configuration: on the ordinary path
	// it takes no longer.
	retryAfterUnready = 200 * time.Millisecond
)

// singleFields are the header fields that may stand in a request once only: two readers could choose differently.
var singleFields = [...]string{"Attempt-Id", "Time-Budget-Ms", "Authorization"}

// request is one attempt of a client, as read.
type request struct {
	ctx         context.Context // ends when the client has left; see clientConn.ctx
	head        *h1.Head
	route       *route
	tenant      *tenant // nil: of nobody
	service     string
	keyRequired bool // the configuration has keys: they are not passed on
	arrived     time.Time
	deadline    time.Time
	body        []byte        // held, in full; or the first bytes of a stream
	stream      *h1.Body      // or too long to be held
	length      int64         // of the stream; h1.Chunked where it isn't known
	started     bool          // a part of the stream was sent to a server
	bodyRead    chan struct{} // closed when the stream was read whole
	lifecycle   *limiter.RequestState
}

// prepare validates a request, finds its route and tenant, sets its deadline and reads its body. A response that is
// returned refuses the request. What is written before the response waits for mine, the request's turn.
func (c *clientConn) prepare(head *h1.Head, arrived time.Time, mine <-chan struct{}) (*request, *response) {
	r := &request{ctx: c.ctx, head: head, arrived: arrived}
	framing, refusal := validateHead(head)
	if refusal != nil {
		return r, refusal
	}
	s := c.listener.router.current()
	if refusal = r.resolve(s, c.listener.lease); refusal != nil {
		c.skipBody(r, framing, refusal)
		return r, refusal
	}
	if refusal = r.setDeadline(); refusal != nil || framing == 0 {
		return r, refusal
	}
	if framing > s.maxBody {
		return r, refuseMalformed(413, "the body is too long")
	}
	c.sendContinue(head, mine)
	c.setReadDeadline(r.deadline)
	return r, r.readBody(h1.NewBody(c.in, framing), framing)
}

// validateHead checks what must hold of each request and returns how its body is framed.
func validateHead(head *h1.Head) (framing int64, refusal *response) {
	framing, err := head.RequestFraming()
	if err != nil {
		var malformed *h1.Error
		if errors.As(err, &malformed) {
			refusal = refuseMalformed(malformed.Status, malformed.Reason)
			refusal.closes = true // where the next request begins is not known
			return 0, refusal
		}
		return 0, refuseMalformed(400, err.Error())
	}
	if head.Count("Host") != 1 {
		return 0, refuseMalformed(400, "one Host is needed")
	}
	for _, name := range singleFields {
		if head.Count(name) > 1 {
			return 0, refuseMalformed(400, name+" stands there more than once")
		}
	}
	return framing, nil
}

// resolve finds the request's route and, where keys are required, its tenant. The lease comes first: without one
// the configuration may be out of date, and nothing is rejected or served by it.
func (r *request) resolve(s *snapshot, l *lease) (refusal *response) {
	if s == nil {
		return noConfig.response(retryAfterUnready)
	}
	if !l.valid() {
		return noLease.response(retryAfterUnready)
	}
	path, _, _ := strings.Cut(r.head.Target, "?")
	if r.route = s.route(r.head.Get("Host"), path); r.route == nil {
		return noRoute.response(0)
	}
	r.keyRequired = s.keysRequired()
	if !r.keyRequired || r.route.Anonymous {
		return nil
	}
	scheme, key, _ := strings.Cut(r.head.Get("Authorization"), " ")
	r.tenant, _ = s.keys.Get(hashKey(strings.TrimSpace(key)))
	if r.tenant == nil || !strings.EqualFold(scheme, "Token") {
		return unknownKey.response(0)
	}
	return nil
}

// setDeadline sets the deadline: the route's timeout, or the client's time budget where that is shorter.
func (r *request) setDeadline() (refusal *response) {
	budget := r.route.timeout
	if text := r.head.Get("Time-Budget-Ms"); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms > 0) || ms > inMs(maxBudget) { // NaN is not above 0
			return refuseMalformed(400, "Time-Budget-Ms can't be read")
		}
		budget = min(budget, millis(ms))
	}
	r.deadline = r.arrived.Add(max(minBudget, budget))
	return nil
}

// sendContinue asks a client that waits for it to send the body, never in the middle of a response before.
func (c *clientConn) sendContinue(head *h1.Head, mine <-chan struct{}) {
	if head.HasToken("Expect", "100-continue") && !head.HTTP10 && c.in.Buffered() == 0 {
		c.await(mine)
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n") // where it fails, reading the body does too
	}
}

// readBody reads the body where it is short enough to be held, so that another server can be sent it too.
func (r *request) readBody(body *h1.Body, framing int64) (refusal *response) {
	if framing > maxHeldBody {
		r.streamBody(body, framing)
		return nil
	}
	var err error
	if framing >= 0 {
		r.body = make([]byte, framing)
		_, err = io.ReadFull(body, r.body)
	} else if r.body, err = io.ReadAll(io.LimitReader(body, maxHeldBody+1)); err == nil && len(r.body) > maxHeldBody {
		r.streamBody(body, h1.Chunked)
	}
	if err == nil {
		return nil
	}
	var malformed *h1.Error
	if errors.As(err, &malformed) {
		return refuseMalformed(malformed.Status, malformed.Reason)
	}
	return refuseMalformed(408, "the body did not come in time")
}

// streamBody has the body, or what follows on the bytes that are held, sent on as it comes.
func (r *request) streamBody(body *h1.Body, length int64) {
	r.stream, r.length, r.bodyRead = body, length, make(chan struct{})
}

// clientLeft reports whether the client was seen to have left.
func (r *request) clientLeft() bool { return r.ctx.Err() != nil }

// attemptContext is the context that attempts at servers, and the transfer of what they bring, depend on. It ends when
// the client has left, unless the request must not run twice: nobody could tell then whether it was done.
func (r *request) attemptContext() context.Context {
	if r.route != nil && r.route.IsIdempotent() {
		return r.ctx
	}
	return context.WithoutCancel(r.ctx)
}

// skipBody reads past the body of a refused request, if it is short: the connection can go on then.
func (c *clientConn) skipBody(r *request, framing int64, refusal *response) {
	switch {
	case framing == 0:
	case r.head.HasToken("Expect", "100-continue") && c.in.Buffered() == 0: // it may never come
		refusal.closes = true
	default:
		c.setReadDeadline(time.Now().Add(c.listener.linger))
		n, err := io.Copy(io.Discard, io.LimitReader(h1.NewBody(c.in, framing), maxHeldBody+1))
		refusal.closes = refusal.closes || err != nil || n > maxHeldBody
	}
}
