package dataplane

import (
	"context"
	"log/slog"
	"time"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/internal/connpool"
)

// lifecycle carries out what a [limiter.RequestState] decides for one request: which servers get it, when a hedge
// starts, whether a failed attempt is retried. It belongs to the goroutine that forwards the request; attempts report
// to it through ended.
type lifecycle struct {
	forwarder *forwarder
	request   *request
	// state decides. What reads or changes the limiter (servers, slots, hedge times) is called under guardedLimiter.mu;
	// the rest belongs to this goroutine.
	state   *limiter.RequestState
	ended   chan *upstreamAttempt
	running []*upstreamAttempt
	failure *response     // the last failure of a server's
	granted chan struct{} // closed when a download has its slot; nil: it doesn't wait for one
}

// upstreamAttempt is an attempt at one server.
type upstreamAttempt struct {
	member         *balance.Member
	ctx            context.Context
	cancel         context.CancelFunc
	host           *connpool.Host[string] // nil: the server has gone
	sentAt         time.Time
	load           float64 // of the server when it was chosen, without this attempt
	hedge          bool
	lateAfter      time.Duration // after which it speaks against the server; 0: never
	attemptOutcome               // set when it has ended
}

// waitForLink waits for a download's slot on the link. A response that is returned refuses the request. Where the slot
// doesn't come before the deadline, the request goes on and ends by its deadline.
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
		return linkFull.response(max(minRetryAfter, min(maxRetryAfter, millis(wait))))
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

// startAttempt sends the request to one more server, if there is one for it. A response that is returned is final.
// Nothing is sent for a client that has left.
func (l *lifecycle) startAttempt(hedge bool) (started bool, refusal *response) {
	if l.request.clientLeft() {
		return false, clientDisconnected.response(0)
	}
	at, refusal := l.chooseServer(hedge)
	if at == nil {
		return false, refusal
	}
	at.ctx, at.cancel = context.WithCancel(l.request.attemptContext())
	l.running = append(l.running, at)
	if l.state.AllowsHedge() {
		go l.runAttempt(at) // ends by the request's deadline
	} else {
		l.runAttempt(at)
	}
	return true, nil
}

// chooseServer has the limiter choose a server. Where there is none, it returns nil, with a response where waiting for
// one would come too late.
func (l *lifecycle) chooseServer(hedge bool) (*upstreamAttempt, *response) {
	f := l.forwarder
	f.guarded.mu.Lock()
	now := f.clock.nowMs()
	member, wait, refused := l.state.StartAttempt(now, hedge)
	if member == nil {
		f.guarded.mu.Unlock()
		if refused {
			return nil, serverFull.response(max(minRetryAfter, min(maxRetryAfter, millis(wait))))
		}
		return nil, nil
	}
	at := &upstreamAttempt{
		member: member, sentAt: time.Now(), load: member.Load(now) - 1, hedge: hedge, host: f.pool.Host(member.ID),
	}
	if wait, counts := l.state.OverdueAfterMs(now, member); counts {
		at.lateAfter = millis(wait)
	}
	f.guarded.mu.Unlock()
	return at, nil
}

// runAttempt carries an attempt out and reports its end to the limiter, then to the lifecycle.
func (l *lifecycle) runAttempt(at *upstreamAttempt) {
	f := l.forwarder
	defer at.cancel() // what it has brought doesn't depend on its context any more
	at.attemptOutcome = attemptOutcome{result: balance.NotSent}
	if at.lateAfter > 0 {
		late := time.AfterFunc(at.lateAfter, func() {
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
	if !log.Enabled(context.Background(), slog.LevelDebug) { // the attributes would cost more than the rest of the line
		return
	}
	log.Debug("try", "id", l.request.head.Get("Attempt-Id"), "service", l.request.service,
		"server", at.member.ID, "zone", at.member.Zone, "result", resultNames[at.result], "ran", at.mayHaveRun,
		"took_ms", tookMs, "at", at.load, "hedge", at.hedge)
}

// hedgeTimer returns a timer that fires when a second server is to be asked as well, nil where none is.
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

// awaitResponse waits for attempts to end, and starts others, until there is a final response.
func (l *lifecycle) awaitResponse(hedge *time.Timer) *response {
	var hedgeDue <-chan time.Time
	if hedge != nil {
		defer hedge.Stop()
		hedgeDue = hedge.C
	}
	for len(l.running) > 0 {
		select {
		case at := <-l.ended: // also where the client has left: see request.attemptContext
			l.remove(at)
			if final := l.afterAttempt(at); final != nil {
				return final
			}
		case <-hedgeDue:
			hedgeDue = nil
			_, _ = l.startAttempt(true) // without a server for it, the first attempt goes on alone
		}
	}
	if l.failure != nil {
		final := l.failure
		l.failure = nil
		return final
	}
	return l.ownResponse()
}

// ownResponse is the gateway's own response where no server's is of use.
func (l *lifecycle) ownResponse() *response {
	switch l.state.FinalStatus(l.forwarder.clock.nowMs()) {
	case 503:
		return allRefused.response(retryAfterRefused)
	case 504:
		return deadlineExceeded.response(0)
	}
	return noAnswer.response(0)
}

// afterAttempt goes on after an attempt has ended. A response that is returned is final.
func (l *lifecycle) afterAttempt(at *upstreamAttempt) (final *response) {
	next := l.state.FinishAttempt(at.result, at.mayHaveRun, at.response != nil, l.request.started)
	if next == limiter.Deliver {
		l.noteDownloadLength(at.response)
		return at.response
	}
	if at.response != nil { // a failure of the server's: another may do better
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
		// Its rest would occupy a server meanwhile, and not come after its time.
		l.failure.release()
		l.failure = serverFailed.response(0)
	}
	return nil
}

// noteDownloadLength passes the length of a download to the limiter, once its head is here.
func (l *lifecycle) noteDownloadLength(resp *response) {
	if !l.request.isDownload() {
		return
	}
	f := l.forwarder
	length := resp.length
	if l.request.head.Method == "HEAD" { // which has no body
		length = 0
	}
	f.guarded.mu.Lock()
	l.state.ResponseStarted(f.clock.nowMs(), length)
	f.startDownloads()
	f.guarded.mu.Unlock()
}

// remove takes an attempt that has ended off the running ones.
func (l *lifecycle) remove(at *upstreamAttempt) {
	for i, other := range l.running {
		if other == at {
			l.running = append(l.running[:i], l.running[i+1:]...)
			return
		}
	}
}

// abandon cancels the attempts that still run, and releases what they bring.
func (l *lifecycle) abandon() {
	if l.failure != nil {
		l.failure.release()
	}
	for _, at := range l.running {
		at.cancel()
	}
	if n := len(l.running); n > 0 {
		go func() { // each one ends at once, as its connection is closed
			for range n {
				if at := <-l.ended; at.response != nil {
					at.response.release()
				}
			}
		}()
	}
}
