package dataplane

import (
	"context"
	"log/slog"
	"time"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/internal/connpool"
)

// lifecycle carries out the decisions of a [limiter.RequestState] for one request: which servers it is sent to, when a
// hedge starts, whether a failed attempt is retried. Only the goroutine that forwards the request uses it; attempts
// report their end through ended.
type lifecycle struct {
	forwarder *forwarder
	request   *request
	// state makes the decisions. Its methods that read or change the limiter (servers, slots, hedge times) are called
	// under guardedLimiter.mu; the others only by this goroutine.
	state   *limiter.RequestState
	ended   chan *upstreamAttempt
	running []*upstreamAttempt
	failure *response      // the last error response of a server
	slot    chan *response // receives nil when a queued download gets its slot, or the response that refuses it
}

// endedCapacity is how many ended attempts may wait to be received: one, as at most one attempt runs on the goroutine
// that receives them. It must not depend on the configuration (docs/incidents/0027).
const endedCapacity = 1

// newLifecycle returns the lifecycle of a request. Its state is still to be set.
func newLifecycle(f *forwarder, r *request) *lifecycle {
	return &lifecycle{forwarder: f, request: r, ended: make(chan *upstreamAttempt, endedCapacity)}
}

// upstreamAttempt is an attempt at one server.
type upstreamAttempt struct {
	member         *balance.Member
	ctx            context.Context
	cancel         context.CancelFunc
	host           *connpool.Host[string] // nil: the server was removed
	sentAt         time.Time
	load           float64 // load of the server when it was chosen, without this attempt
	hedge          bool
	overdueAfter   time.Duration // time after which the attempt counts against the server; 0: never
	attemptOutcome               // set when the attempt has ended
}

// waitForLink waits for a download's slot on the link. A non-nil response rejects the request: that of a queued
// download comes as soon as it can't be complete any more in the caller's time.
func (l *lifecycle) waitForLink() (refusal *response) {
	if !l.request.isDownload() {
		return nil
	}
	f := l.forwarder
	granted, wait, refused := l.acquireSlot()
	switch {
	case refused:
		return linkRefusal(wait)
	case granted:
		return nil
	}
	select {
	case refusal = <-l.slot:
		return refusal
	case <-f.shutdown.aborted.Done():
		refusal = shuttingDown.response(minRetryAfter)
	case <-l.request.ctx.Done():
		refusal = clientDisconnected.response(0)
	}
	f.guarded.locked(func(*limiter.Limiter) { delete(f.waiting, l.state) })
	return refusal
}

// linkRefusal returns the response to a download that the link can't carry in the caller's time.
func linkRefusal(retryAfterMs float64) *response {
	return linkSaturated.response(max(minRetryAfter, millis(retryAfterMs)))
}

// acquireSlot asks for a download's slot on the link. If it is neither granted nor refused, the decision will be sent
// to l.slot.
func (l *lifecycle) acquireSlot() (granted bool, wait float64, refused bool) {
	f := l.forwarder
	f.guarded.mu.Lock()
	defer f.guarded.mu.Unlock()
	granted, wait, refused = l.state.AcquireSlot(f.clock.nowMs())
	if !granted && !refused {
		l.slot = make(chan *response, 1)
		f.waiting[l.state] = l.slot
		f.startDownloads()
	}
	return granted, wait, refused
}

// startAttempt sends the request to another server, if one is available. A non-nil response is final. Nothing is sent
// for a disconnected client, or at the end of a drain.
func (l *lifecycle) startAttempt(hedge bool) (started bool, refusal *response) {
	if l.request.disconnected() {
		return false, clientDisconnected.response(0)
	}
	if l.forwarder.shutdown.isAborted() {
		return false, nil
	}
	a, refusal := l.chooseServer(hedge)
	if a == nil {
		return false, refusal
	}
	a.ctx, a.cancel = context.WithCancel(l.request.attemptContext())
	l.running = append(l.running, a)
	if l.state.AllowsHedge() {
		go l.runAttempt(a) // ends by the deadline of the request
	} else {
		l.runAttempt(a)
	}
	return true, nil
}

// chooseServer has the limiter choose a server. If none is available it returns nil; the response is not nil if the
// limiter rejects the request: no server can answer it in time, or others of its tenant have used up the quota since it
// arrived.
func (l *lifecycle) chooseServer(hedge bool) (*upstreamAttempt, *response) {
	f := l.forwarder
	f.guarded.mu.Lock()
	defer f.guarded.mu.Unlock()
	now := f.clock.nowMs()
	if wait, ok := l.state.CheckQuota(now); !ok {
		return nil, quotaRefusal(wait)
	}
	member, wait, refused := l.state.StartAttempt(now, hedge)
	if member == nil {
		if refused {
			return nil, serversBusy.response(max(minRetryAfter, millis(wait)))
		}
		return nil, nil
	}
	a := &upstreamAttempt{
		member: member, sentAt: time.Now(), load: member.Load(now) - 1, hedge: hedge, host: f.pool.Host(member.ID),
	}
	if wait, counts := l.state.OverdueAfterMs(now, member); counts {
		a.overdueAfter = millis(wait)
	}
	return a, nil
}

// runAttempt makes an attempt and reports its end to the limiter, then to the lifecycle. A panic ends the attempt like
// a response that can't be used: the server may have executed the request.
func (l *lifecycle) runAttempt(a *upstreamAttempt) {
	f := l.forwarder
	defer func() { l.ended <- a }()
	defer a.cancel() // the response no longer depends on the context of the attempt
	defer context.AfterFunc(f.shutdown.aborted, a.cancel)()
	a.attemptOutcome = attemptOutcome{result: balance.NotSent}
	defer f.recoverPanic(l.request, func() { a.attemptOutcome = panicOutcome() })
	if a.overdueAfter > 0 {
		overdueTimer := time.AfterFunc(a.overdueAfter, func() {
			f.guarded.mu.Lock()
			defer f.guarded.mu.Unlock()
			f.guarded.limiter.ObserveOverdue(f.clock.nowMs(), a.member)
		})
		defer overdueTimer.Stop()
	}
	if a.host != nil {
		l.attempt(a)
	}
	elapsedMs := inMs(time.Since(a.sentAt))
	f.guarded.locked(func(lim *limiter.Limiter) {
		lim.FinishAttempt(f.clock.nowMs(), a.member, a.result, elapsedMs)
	})
	observeAttempt(f.metrics, l.request.service, a)
	l.logAttempt(a, elapsedMs)
}

// attempt makes an attempt and sets its outcome.
func (l *lifecycle) attempt(a *upstreamAttempt) {
	defer l.forwarder.recoverPanic(l.request, func() { a.attemptOutcome = panicOutcome() })
	a.attemptOutcome = l.forwarder.attempt(l.request, a, a.host)
}

// logAttempt logs an attempt for `elmspan explain`, which parses the message and its keys.
func (l *lifecycle) logAttempt(a *upstreamAttempt, elapsedMs float64) {
	log := l.forwarder.log
	if !log.Enabled(context.Background(), slog.LevelDebug) { // evaluating the attributes is the expensive part
		return
	}
	log.Debug("try", "id", l.request.head.Get("Attempt-Id"), "service", l.request.service,
		"server", a.member.ID, "zone", a.member.Zone, "result", resultNames[a.result], "ran", a.mayHaveRun,
		"took_ms", elapsedMs, "at", a.load, "hedge", a.hedge)
}

// hedgeTimer returns a timer that fires when a hedge is to be sent to a second server; nil if none is to be sent.
// started reports whether the first attempt found a server.
func (l *lifecycle) hedgeTimer(started bool) *time.Timer {
	if !started || !l.state.AllowsHedge() {
		return nil
	}
	var wait float64
	var allowed bool
	f := l.forwarder
	f.guarded.locked(func(*limiter.Limiter) { wait, allowed = l.state.HedgeDelayMs(f.clock.nowMs()) })
	if !allowed {
		return nil
	}
	return time.NewTimer(millis(wait))
}

// awaitResponse waits for attempts to end, and starts retries and hedges, until there is a final response.
func (l *lifecycle) awaitResponse(hedge *time.Timer) *response {
	var hedgeDue <-chan time.Time
	if hedge != nil {
		defer hedge.Stop()
		hedgeDue = hedge.C
	}
	for len(l.running) > 0 {
		select {
		case a := <-l.ended: // a disconnect also ends attempts: see request.attemptContext
			l.remove(a)
			if final := l.afterAttempt(a); final != nil {
				return final
			}
		case <-hedgeDue:
			hedgeDue = nil
			_, _ = l.startAttempt(true) // if no server is available, only the first attempt continues
		}
	}
	if l.failure != nil {
		final := l.failure
		l.failure = nil
		return final
	}
	return l.gatewayResponse()
}

// gatewayResponse returns the gateway's response to a request for which no server's response can be passed on.
func (l *lifecycle) gatewayResponse() *response {
	aborted := l.forwarder.shutdown.isAborted()
	switch status := l.state.FinalStatus(l.forwarder.clock.nowMs()); {
	case status == 503 && aborted:
		return shuttingDown.response(minRetryAfter)
	case aborted:
		return abortedByShutdown.response(0)
	case status == 503:
		return allServersRejected.response(retryAfterRefused)
	case status == 504:
		return deadlineExceeded.response(0)
	}
	return noUsableResponse.response(0)
}

// afterAttempt handles the end of an attempt: it passes on the response, retries or waits for other attempts. A non-nil
// response is final.
func (l *lifecycle) afterAttempt(a *upstreamAttempt) (final *response) {
	next := l.state.FinishAttempt(a.result, a.mayHaveRun, a.response != nil, l.request.streamStarted)
	if next == limiter.Deliver {
		l.reportDownloadLength(a.response)
		return a.response
	}
	if a.response != nil { // the server failed: another may succeed
		if l.failure != nil {
			l.failure.release()
		}
		l.failure = a.response
	}
	if next == limiter.Retry {
		if _, refusal := l.startAttempt(false); refusal != nil {
			return refusal
		}
	}
	if len(l.running) > 0 && l.failure != nil && l.failure.rest != nil {
		// Holding the unread rest would occupy the server meanwhile, and it can't be read after the deadline.
		l.failure.release()
		l.failure = serverFailed.response(0)
	}
	return nil
}

// reportDownloadLength passes the length of a download to the limiter once the response head was received.
func (l *lifecycle) reportDownloadLength(resp *response) {
	if !l.request.isDownload() {
		return
	}
	f := l.forwarder
	length := resp.length
	if l.request.head.Method == "HEAD" { // no body follows
		length = 0
	}
	f.guarded.locked(func(*limiter.Limiter) {
		l.state.ResponseStarted(f.clock.nowMs(), length, f.link.ReceiveBuffer())
		f.startDownloads()
	})
}

// remove removes an ended attempt from the running ones.
func (l *lifecycle) remove(a *upstreamAttempt) {
	for i, other := range l.running {
		if other == a {
			l.running = append(l.running[:i], l.running[i+1:]...)
			return
		}
	}
}

// abandon cancels the running attempts and releases their responses.
func (l *lifecycle) abandon() {
	if l.failure != nil {
		l.failure.release()
	}
	for _, a := range l.running {
		a.cancel()
	}
	if n := len(l.running); n > 0 {
		go func() { // each ends at once, because its connection is closed
			for range n {
				if a := <-l.ended; a.response != nil {
					a.response.release()
				}
			}
		}()
	}
}
