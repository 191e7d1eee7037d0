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
	failure *response     // the last error response of a server
	granted chan struct{} // closed when a waiting download gets its slot; nil: not waiting
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

// waitForLink waits for a download's slot on the link. A non-nil response rejects the request. If the deadline passes
// first, it returns nil, and the request fails by its deadline.
func (l *lifecycle) waitForLink() (refusal *response) {
	if !l.request.isDownload() {
		return nil
	}
	f := l.forwarder
	f.guarded.mu.Lock()
	granted, wait, refused := l.state.AcquireSlot(f.clock.nowMs())
	if !granted && !refused {
		l.granted = make(chan struct{})
		f.waiting[l.state] = l.granted
		f.startDownloads()
	}
	f.guarded.mu.Unlock()
	switch {
	case refused:
		return linkSaturated.response(max(minRetryAfter, min(maxRetryAfter, millis(wait))))
	case granted:
		return nil
	}
	t := time.NewTimer(time.Until(l.request.deadline))
	defer t.Stop()
	select {
	case <-l.granted:
		return nil
	case <-t.C:
	case <-l.request.ctx.Done():
		refusal = clientDisconnected.response(0)
	}
	f.guarded.mu.Lock()
	delete(f.waiting, l.state)
	f.guarded.mu.Unlock()
	return refusal
}

// startAttempt sends the request to another server, if one is available. A non-nil response is final. Nothing is sent
// for a disconnected client.
func (l *lifecycle) startAttempt(hedge bool) (started bool, refusal *response) {
	if l.request.disconnected() {
		return false, clientDisconnected.response(0)
	}
	at, refusal := l.chooseServer(hedge)
	if at == nil {
		return false, refusal
	}
	at.ctx, at.cancel = context.WithCancel(l.request.attemptContext())
	l.running = append(l.running, at)
	if l.state.AllowsHedge() {
		go l.runAttempt(at) // ends by the deadline of the request
	} else {
		l.runAttempt(at)
	}
	return true, nil
}

// chooseServer has the limiter choose a server. If none is available it returns nil; the response is not nil if the
// limiter rejects the request because no server can answer it in time.
func (l *lifecycle) chooseServer(hedge bool) (*upstreamAttempt, *response) {
	f := l.forwarder
	f.guarded.mu.Lock()
	now := f.clock.nowMs()
	member, wait, refused := l.state.StartAttempt(now, hedge)
	if member == nil {
		f.guarded.mu.Unlock()
		if refused {
			return nil, serversBusy.response(max(minRetryAfter, min(maxRetryAfter, millis(wait))))
		}
		return nil, nil
	}
	at := &upstreamAttempt{
		member: member, sentAt: time.Now(), load: member.Load(now) - 1, hedge: hedge, host: f.pool.Host(member.ID),
	}
	if wait, counts := l.state.OverdueAfterMs(now, member); counts {
		at.overdueAfter = millis(wait)
	}
	f.guarded.mu.Unlock()
	return at, nil
}

// runAttempt makes an attempt and reports its end to the limiter, then to the lifecycle.
func (l *lifecycle) runAttempt(at *upstreamAttempt) {
	f := l.forwarder
	defer at.cancel() // the response no longer depends on the context of the attempt
	at.attemptOutcome = attemptOutcome{result: balance.NotSent}
	if at.overdueAfter > 0 {
		late := time.AfterFunc(at.overdueAfter, func() {
			f.guarded.mu.Lock()
			defer f.guarded.mu.Unlock()
			f.guarded.limiter.ObserveOverdue(f.clock.nowMs(), at.member)
		})
		defer late.Stop()
	}
	if at.host != nil {
		at.attemptOutcome = f.attempt(l.request, at, at.host)
	}
	tookMs := inMs(time.Since(at.sentAt))
	f.guarded.mu.Lock()
	f.guarded.limiter.FinishAttempt(f.clock.nowMs(), at.member, at.result, tookMs)
	f.guarded.mu.Unlock()
	observeAttempt(f.metrics, l.request.service, at)
	l.logAttempt(at, tookMs)
	l.ended <- at
}

// logAttempt logs an attempt for `elmspan explain`, which parses the message and its keys.
func (l *lifecycle) logAttempt(at *upstreamAttempt, tookMs float64) {
	log := l.forwarder.log
	if !log.Enabled(context.Background(), slog.LevelDebug) { // avoids computing the attributes
		return
	}
	log.Debug("try", "id", l.request.head.Get("Attempt-Id"), "service", l.request.service,
		"server", at.member.ID, "zone", at.member.Zone, "result", resultNames[at.result], "ran", at.mayHaveRun,
		"took_ms", tookMs, "at", at.load, "hedge", at.hedge)
}

// hedgeTimer returns a timer that fires when a hedge is to be sent to a second server; nil if none is.
func (l *lifecycle) hedgeTimer(hasServer bool) *time.Timer {
	if !hasServer || !l.state.AllowsHedge() {
		return nil
	}
	l.forwarder.guarded.mu.Lock()
	wait, allowed := l.state.HedgeDelayMs()
	l.forwarder.guarded.mu.Unlock()
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
		case at := <-l.ended: // a disconnect also ends attempts: see request.attemptContext
			l.remove(at)
			if final := l.afterAttempt(at); final != nil {
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
	switch l.state.FinalStatus(l.forwarder.clock.nowMs()) {
	case 503:
		return allServersRejected.response(retryAfterRefused)
	case 504:
		return deadlineExceeded.response(0)
	}
	return noUsableResponse.response(0)
}

// afterAttempt handles the end of an attempt: it passes on the response, retries or waits for other attempts. A non-nil
// response is final.
func (l *lifecycle) afterAttempt(at *upstreamAttempt) (final *response) {
	next := l.state.FinishAttempt(at.result, at.mayHaveRun, at.response != nil, l.request.started)
	if next == limiter.Deliver {
		l.reportDownloadLength(at.response)
		return at.response
	}
	if at.response != nil { // the server failed: another may succeed
		if l.failure != nil {
			l.failure.release()
		}
		l.failure = at.response
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
	f.guarded.mu.Lock()
	l.state.ResponseStarted(f.clock.nowMs(), length)
	f.startDownloads()
	f.guarded.mu.Unlock()
}

// remove removes an ended attempt from the running ones.
func (l *lifecycle) remove(at *upstreamAttempt) {
	for i, other := range l.running {
		if other == at {
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
	for _, at := range l.running {
		at.cancel()
	}
	if n := len(l.running); n > 0 {
		go func() { // each ends at once, because its connection is closed
			for range n {
				if at := <-l.ended; at.response != nil {
					at.response.release()
				}
			}
		}()
	}
}
