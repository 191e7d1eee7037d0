package dataplane

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"example.org/elmspan/shedding"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/dataplane/limiter"
)

const (
	maxHeldBody = 64 << 10 // longer bodies are streamed, so only one server can be tried
	minBudget   = time.Millisecond
	maxBudget   = 10 * time.Minute
	// retryAfterUnready is the Retry-After of a gateway without a lease or a configuration. A start-up without faults
	// obtains both within this time.
	retryAfterUnready = 200 * time.Millisecond
)

// singleFields are the header fields that a request may contain only once: of several values, gateway and server could
// use different ones.
var singleFields = [...]string{"Attempt-Id", "Time-Budget-Ms", "Authorization"}

// request is a client's request as read from the connection.
type request struct {
	ctx           context.Context // cancelled when the client disconnects; see clientConn.ctx
	head          *h1.Head
	route         *route
	tenant        *tenant // nil: no tenant, as keys are not required or the route is anonymous
	service       string
	keyRequired   bool // requests carry API keys, which are not forwarded
	arrived       time.Time
	deadline      time.Time
	body          []byte        // the complete body, or the first bytes of a streamed one
	stream        *h1.Body      // the body, or the rest of it, if it is too long to buffer; else nil
	length        int64         // of the streamed body; h1.Chunked if unknown
	streamStarted bool          // the streamed body may have been sent to a server in part
	bodyRead      chan struct{} // closed when the streamed body was read completely
	state         *limiter.RequestState
}

// prepare validates a request, finds its route and tenant, sets its deadline and reads its body. A non-nil response
// rejects the request. A 100 Continue waits for turn, like the response itself.
func (c *clientConn) prepare(r *request, turn <-chan struct{}) (refusal *response) {
	framing, refusal := validateHead(r.head)
	if refusal != nil {
		return refusal
	}
	s := c.listener.router.current()
	if refusal = r.resolve(s, c.listener.lease); refusal != nil {
		c.skipBody(r, framing, refusal)
		return refusal
	}
	if refusal = r.setDeadline(); refusal != nil || framing == 0 {
		return refusal
	}
	if framing > s.maxBody {
		return refuseMalformed(413, "the body is too long")
	}
	c.sendContinue(r, turn)
	c.setReadDeadline(r.deadline)
	return r.readBody(h1.NewBody(c.in, framing), framing)
}

// validateHead checks the header rules that apply to all requests and returns the framing of the body.
func validateHead(head *h1.Head) (framing int64, refusal *response) {
	framing, err := head.RequestFraming()
	if err != nil {
		var malformed *h1.Error
		if errors.As(err, &malformed) {
			refusal = refuseMalformed(malformed.Status, malformed.Reason)
			refusal.closes = true // the start of the next request is unknown
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

// resolve finds the request's route and, if keys are required, its tenant. It checks the lease first: without one the
// configuration may be out of date, and must not be used to serve or reject requests.
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

// setDeadline sets the deadline: the arrival time plus the route's timeout or the client's time budget, whichever is
// shorter.
func (r *request) setDeadline() (refusal *response) {
	budget := r.route.timeout
	if text := r.head.Get("Time-Budget-Ms"); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms > 0) || ms > inMs(maxBudget) { // !(ms > 0) also rejects NaN
			return refuseMalformed(400, "Time-Budget-Ms can't be read")
		}
		budget = min(budget, millis(ms))
	}
	r.deadline = r.arrived.Add(max(minBudget, budget))
	return nil
}

// sendContinue sends 100 Continue to a client that expects it, after all earlier responses.
func (c *clientConn) sendContinue(r *request, turn <-chan struct{}) {
	if r.head.HasToken("Expect", "100-continue") && !r.head.HTTP10 && c.in.Buffered() == 0 {
		c.await(turn)
		_ = c.nc.SetWriteDeadline(r.deadline)                        // that of an earlier response may have passed
		_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n") // if it fails, reading the body fails too
	}
}

// readBody buffers a body that is short enough, so that a retry can send it to another server. A longer one is
// streamed.
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

// streamBody marks the body, or the rest of it after the buffered bytes, to be forwarded as it is received.
func (r *request) streamBody(body *h1.Body, length int64) {
	r.stream, r.length, r.bodyRead = body, length, make(chan struct{})
}

// priority returns the rank of the request: the priority of its tenant goes before that of its route.
func (r *request) priority() shedding.Priority {
	rank := shedding.Priority{First: r.route.Priority, Route: r.route.Priority}
	if r.tenant != nil {
		rank.First = r.tenant.priority
	}
	return rank
}

// disconnected reports whether the client is known to have disconnected.
func (r *request) disconnected() bool { return r.ctx.Err() != nil }

// mayBePipelined reports whether the next request of the connection may be read and forwarded before this one is
// answered. The response to an HTTP/1.0 request may end the connection, and what follows it must not have run.
func (r *request) mayBePipelined() bool {
	return r.stream == nil && r.route.IsIdempotent() && !r.head.HTTP10 && !r.head.ClosesConnection()
}

// attemptContext returns the context of attempts at servers and of the transfer of their responses. It is cancelled
// when the client disconnects, unless the request is not idempotent: a cancelled attempt would leave it unknown whether
// the server executed the request.
func (r *request) attemptContext() context.Context {
	if r.route != nil && r.route.IsIdempotent() {
		return r.ctx
	}
	return context.WithoutCancel(r.ctx)
}

// skipBody discards the body of a rejected request if it is short, so that the connection can be reused. If it is not,
// the response closes the connection.
func (c *clientConn) skipBody(r *request, framing int64, refusal *response) {
	switch {
	case framing == 0:
	case r.head.HasToken("Expect", "100-continue") && c.in.Buffered() == 0: // the client may never send it
		refusal.closes = true
	default:
		c.setReadDeadline(time.Now().Add(c.listener.linger))
		n, err := io.Copy(io.Discard, io.LimitReader(h1.NewBody(c.in, framing), maxHeldBody+1))
		refusal.closes = refusal.closes || err != nil || n > maxHeldBody
	}
}
