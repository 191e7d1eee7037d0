package limiter

import (
	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/balance"
)

// Request is what the course of a request depends on. Times are in
// milliseconds on the host's clock.
type Request struct {
	Service     string
	Route       string
	Bulk        bool // a large answer
	Idempotent  bool // it may run more than once
	Buffered    bool // its body is there in full and can be sent again
	MaxAttempts int  // servers that it may be sent to
	ArrivedMs   float64
	DeadlineMs  float64
	TargetMs    float64 // to be answered within; 0: none
}

// RequestState is the course of one request to servers: one after the other, or a
// second one beside the first where that is slow.
type RequestState struct {
	l        *Limiter
	r        Request
	choice   balance.Request
	attempts attempt.Tracker
	sentAt   float64 // for a long answer; see [Flight.Berth]
}

// StartRequest begins the course of a request that was admitted.
func (l *Limiter) StartRequest(r Request) *RequestState {
	r.MaxAttempts = max(1, r.MaxAttempts)
	return &RequestState{l: l, r: r, choice: balance.Request{Service: r.Service, Bulk: r.Bulk, NonIdempotent: !r.Idempotent},
		attempts: attempt.Tracker{Idempotent: r.Idempotent}}
}

// AllowsHedge tells whether two servers may have the request at the same time. Two
// long answers on a link that one can fill would only make both late.
func (f *RequestState) AllowsHedge() bool {
	return f.r.Idempotent && f.r.Buffered && f.r.MaxAttempts > 1 && !(f.r.Bulk && f.l.downloads.bytesPerMs > 0)
}

// StartAttempt takes a server for one more try, nil where there is none. Where the
// request was never sent, waitMs tells when to come back: it is refused.
func (f *RequestState) StartAttempt(now float64, hedge bool) (m *balance.Member, waitMs float64, refused bool) {
	left := f.r.DeadlineMs - now
	if left <= 0 || f.attempts.Started() >= f.r.MaxAttempts {
		return nil, 0, false
	}
	// A queue that is longer than the aim allows serves nobody better: what is beyond
	// is told at once to come back.
	if aim := f.r.ArrivedMs + f.r.TargetMs - now; f.r.TargetMs > 0 && aim > 0 {
		left = min(left, aim)
	} else if f.r.TargetMs > 0 {
		left /= 2
	}
	f.choice.RemainingMs, f.choice.IdleOnly = left, hedge
	further := f.attempts.ReachedServer() || hedge // what reaches a server once more comes out of what was saved up
	m, waitMs = f.l.choose(now, f.choice, further)
	if m == nil {
		return nil, waitMs, !further
	}
	f.recordSent(now)
	f.choice.Attempted = append(f.choice.Attempted, m)
	f.attempts.Start()
	return m, 0, false
}

// Next is what follows on the end of a try.
type Next = attempt.Next

// What follows.
const (
	Deliver = attempt.Deliver
	Wait    = attempt.Wait
	Retry   = attempt.Retry
	GiveUp  = attempt.GiveUp
)

// FinishAttempt notes how a try ended; see [attempt.Tracker.Finish].
func (f *RequestState) FinishAttempt(result balance.Result, ran, answered, started bool) Next {
	return f.attempts.Finish(result, ran, answered, started)
}

// FinalStatus is the status of the final answer where no server gave one; see
// [attempt.Tracker.FinalStatus].
func (f *RequestState) FinalStatus(now float64) int {
	return f.attempts.FinalStatus(now >= f.r.DeadlineMs)
}

// HedgeDelayMs is after what time a second server is tried beside the first; false
// where that is of no use.
func (f *RequestState) HedgeDelayMs() (float64, bool) {
	if !f.AllowsHedge() {
		return 0, false
	}
	return f.l.hedgeMs(f.r.Service, f.r.TargetMs)
}

// OverdueAfterMs is after what time an answer that has not come speaks against its server;
// false where that can't be said.
func (f *RequestState) OverdueAfterMs(now float64, m *balance.Member) (float64, bool) {
	typical := f.l.balance.TypicalMs(f.r.Service)
	// A long answer may wait for the link.
	return lateAfter * typical * m.Slowness(now), typical > 0 && !f.r.Bulk
}
