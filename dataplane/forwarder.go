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
	// Bounds of what Retry-After says.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryAfterRefused is when to come back after all servers turned the request away.
	retryAfterRefused = 100 * time.Millisecond
)

// forwarder brings requests to servers and their responses back. Decisions are the limiter's; the I/O is done here.
type forwarder struct {
	log     *slog.Logger
	metrics *telemetry.Metrics
	clock   clock
	guarded *guardedLimiter
	router  *router
	pool    *connpool.Pool[string]
	link    *link.Pacer
	gossip  *gossipHost
	rules   attempt.Rules // immutable after New; tests plant faults in it

	inFlight atomic.Int64 // requests that are being forwarded

	// Guarded by guardedLimiter.mu.
	waiting           map[*limiter.RequestState]chan struct{} // downloads that wait for the link
	downloadsTimerSet bool                                    // a look at them is due
}

// forward is the way of one request to its response: charge the quota, pick the service, send it to servers until one
// of them or the gateway has the final response.
func (f *forwarder) forward(r *request) *response {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if r.clientLeft() { // it was read late, or is pipelined behind others
		return clientDisconnected.response(0)
	}
	run, refusal := f.begin(r)
	if refusal != nil {
		return refusal
	}
	defer run.abandon()
	if refusal = run.waitForLink(); refusal != nil {
		return refusal
	}
	hasServer, refusal := run.startAttempt(false)
	if refusal != nil {
		return refusal
	}
	return run.awaitResponse(run.hedgeTimer(hasServer))
}

// begin charges the tenant's quota and begins the request's lifecycle, under one hold of the mutex.
func (f *forwarder) begin(r *request) (*lifecycle, *response) {
	f.gossip.catchUp()
	f.guarded.mu.Lock()
	l := f.guarded.limiter
	if r.tenant != nil {
		if wait, ok := l.Admit(f.clock.nowMs(), r.tenant.id); !ok {
			f.guarded.mu.Unlock()
			return nil, overQuota.response(max(minRetryAfter, millis(wait)))
		}
	}
	r.service = r.route.pickService(f.guarded.rng.Float64())
	l.AccrueRetryBudget(r.service)
	if r.head.Get("Attempt-Id") == "" { // its response could not be distinguished from another's
		f.guarded.mu.Unlock()
		return nil, refuseMalformed(400, "an Attempt-Id is needed")
	}
	run := &lifecycle{forwarder: f, request: r, ended: make(chan *upstreamAttempt, max(1, r.route.Retries))}
	run.state = l.StartRequest(limiter.Request{
		Service:     r.service,
		Route:       r.route.Name,
		Bulk:        r.isDownload(),
		Idempotent:  r.route.IsIdempotent(),
		Buffered:    r.stream == nil,
		MaxAttempts: r.route.Retries,
		ArrivedMs:   f.clock.sinceStartMs(r.arrived),
		DeadlineMs:  f.clock.sinceStartMs(r.deadline),
		TargetMs:    inMs(r.route.latencyTarget),
	})
	r.lifecycle = run.state
	f.guarded.mu.Unlock()
	return run, nil
}

// finish ends the lifecycle of a request whose response was written, or could not be.
func (f *forwarder) finish(r *request) {
	if r.lifecycle != nil && r.isDownload() {
		f.guarded.mu.Lock()
		r.lifecycle.Finish()
		f.startDownloads()
		f.guarded.mu.Unlock()
	}
}

// isDownload reports whether the request is one for a long body, which is scheduled on the link.
func (r *request) isDownload() bool { return r.route.Type == api.Download }

// startDownloads starts the downloads whose time on the link has come, and sets a timer for the next one. Called under
// guardedLimiter.mu.
func (f *forwarder) startDownloads() {
	now := f.clock.nowMs()
	started, nextAt := f.guarded.limiter.GrantSlots(now)
	for _, state := range started {
		if granted := f.waiting[state]; granted != nil {
			close(granted)
			delete(f.waiting, state)
		}
	}
	if nextAt == 0 || f.downloadsTimerSet {
		return
	}
	f.downloadsTimerSet = true
	time.AfterFunc(millis(nextAt-f.clock.nowMs()), func() {
		f.guarded.mu.Lock()
		defer f.guarded.mu.Unlock()
		f.downloadsTimerSet = false
		f.startDownloads()
	})
}
