package dataplane

import (
	"log/slog"
	"sync/atomic"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/dataplane/link"
	"example.org/elmspan/internal/connpool"
	"example.org/elmspan/telemetry"
)

const (
	// minRetryAfter is the lower bound of Retry-After: who comes back later than needed is served all the same.
	minRetryAfter = 30 * time.Millisecond
	// retryAfterRefused is the Retry-After once all servers have rejected the request.
	retryAfterRefused = 100 * time.Millisecond
)

// forwarder sends requests to servers and returns their responses. The limiter makes the decisions; the forwarder does
// the I/O.
type forwarder struct {
	log     *slog.Logger
	metrics *telemetry.Metrics
	clock   clock
	guarded *guardedLimiter
	router  *router
	pool    *connpool.Pool[string]
	link    *link.Pacer
	gossip  *gossipHost
	rules   attempt.Rules // immutable once requests are served; tests change it before that to inject faults

	inFlight atomic.Int64 // requests being forwarded
	shutdown shutdown

	// Guarded by guardedLimiter.mu.
	waiting        map[*limiter.RequestState]chan *response // downloads that wait for a slot on the link
	downloadsTimer *time.Timer                              // for the next startDownloads; nil: not set yet
}

// forward produces the response to a request: it checks the quota, picks the service and makes attempts at servers
// until one of them, or the gateway, gives the final response.
func (f *forwarder) forward(r *request) (final *response) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	defer f.recoverPanic(r, func() { final = internalError.response(0) })
	if r.disconnected() { // pipelined requests may be processed after the disconnect
		return clientDisconnected.response(0)
	}
	if f.shutdown.tooLateFor(r.deadline) && !f.finishesInDrain(r) {
		return shuttingDown.response(minRetryAfter)
	}
	run, refusal := f.begin(r)
	if refusal != nil {
		return refusal
	}
	defer run.abandon()
	if refusal = run.waitForLink(); refusal != nil {
		return refusal
	}
	started, refusal := run.startAttempt(false)
	if refusal != nil {
		return refusal
	}
	return run.awaitResponse(run.hedgeTimer(started))
}

// finishesInDrain reports whether a request whose deadline comes after the end of the drain can be expected to be
// answered before it. Only one that may be repeated is sent on an expectation: if it is cut, its client asks again.
// Downloads may wait for the link, so nothing is expected of them.
func (f *forwarder) finishesInDrain(r *request) bool {
	if r.route.Type != api.Idempotent {
		return false
	}
	slowestMs, known := 0.0, true
	f.guarded.locked(func(l *limiter.Limiter) {
		for _, service := range r.route.services() {
			ms := l.ResponseMs(service)
			slowestMs, known = max(slowestMs, ms), known && ms > 0
		}
	})
	return known && !f.shutdown.tooLateFor(time.Now().Add(millis(slowestMs)))
}

// begin checks the tenant's quota and starts the request's lifecycle, in one critical section. The quota is charged
// when the request is sent to a server.
func (f *forwarder) begin(r *request) (*lifecycle, *response) {
	f.gossip.receiveIfOverdue()
	f.guarded.mu.Lock()
	defer f.guarded.mu.Unlock()
	l := f.guarded.limiter
	if wait, ok := l.CheckQuota(f.clock.nowMs(), r.tenantID()); !ok {
		return nil, quotaRefusal(wait)
	}
	r.service = r.route.pickService(f.guarded.rng.Float64())
	l.AccrueRetryBudget(r.service)
	if r.head.Get("Attempt-Id") == "" { // the server's response could not be matched to the request
		return nil, refuseMalformed(400, "an Attempt-Id is needed")
	}
	run := newLifecycle(f, r)
	run.state = l.StartRequest(limiter.Request{
		Tenant:      r.tenantID(),
		Service:     r.service,
		Route:       r.route.Name,
		Bulk:        r.isDownload(),
		Idempotent:  r.route.IsIdempotent(),
		Buffered:    r.stream == nil,
		MaxAttempts: r.route.MaxAttempts,
		DeadlineMs:  f.clock.sinceStartMs(r.deadline),
		Priority:    r.priority(),
	})
	r.state = run.state
	return run, nil
}

// tenantID returns the id of the tenant whose quota pays for the request; 0 if none does.
func (r *request) tenantID() uint64 {
	if r.tenant == nil {
		return 0
	}
	return r.tenant.id
}

// quotaRefusal returns the response to a request beyond its tenant's quota.
func quotaRefusal(retryAfterMs float64) *response {
	return overQuota.response(max(minRetryAfter, millis(retryAfterMs)))
}

// finish releases the slot of a download on the link after its response was written, or writing it failed.
func (f *forwarder) finish(r *request) {
	if r.state != nil && r.isDownload() {
		f.guarded.locked(func(*limiter.Limiter) {
			r.state.Finish()
			f.startDownloads()
		})
	}
}

// isDownload reports whether the route is for downloads, whose long responses are scheduled on the link.
func (r *request) isDownload() bool { return r.route.Type == api.Download }

// startDownloads starts the downloads that the limiter grants a slot on the link, answers those that it refuses, and
// sets the timer for the next call. Called under guardedLimiter.mu.
func (f *forwarder) startDownloads() {
	granted, refused, nextAt := f.guarded.limiter.GrantSlots(f.clock.nowMs())
	for _, state := range granted {
		f.decideSlot(state, nil)
	}
	for _, r := range refused {
		f.decideSlot(r.State, linkRefusal(r.RetryAfterMs))
	}
	if nextAt == 0 {
		return
	}
	wait := millis(nextAt - f.clock.nowMs())
	if f.downloadsTimer != nil {
		f.downloadsTimer.Reset(wait)
		return
	}
	f.downloadsTimer = time.AfterFunc(wait, func() {
		f.guarded.mu.Lock()
		defer f.guarded.mu.Unlock()
		f.startDownloads()
	})
}

// decideSlot hands a waiting download its slot (nil), or the response that refuses it. Called under guardedLimiter.mu.
func (f *forwarder) decideSlot(state *limiter.RequestState, refusal *response) {
	if slot := f.waiting[state]; slot != nil {
		slot <- refusal
		delete(f.waiting, state)
	}
}
