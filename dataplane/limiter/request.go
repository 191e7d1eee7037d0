package limiter

import (
	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/balance"
)

// Request is what the lifecycle of a request depends on. Times are in milliseconds on the
// host's steady clock.
type Request struct {
	Service     string
	Route       string
	Bulk        bool    // a download: its response can fill a small link
	Idempotent  bool    // it may run more than once
	Buffered    bool    // its body is here in full and can be sent again
	MaxAttempts int     // attempts at servers; below 1: one
	ArrivedMs   float64 // time of arrival
	DeadlineMs  float64 // time when the client gives up
	TargetMs    float64 // latency target from ArrivedMs on; 0: none
}

// RequestState is the lifecycle of one request: attempts at servers one after the other, or
// a second one beside the first where that is slow (a hedge). It shares its limiter's state:
// the lock that guards the limiter guards it too.
type RequestState struct {
	limiter  *Limiter
	request  Request
	choice   balance.Request // of the next server
	attempts attempt.Tracker
	sentAt   float64 // when a download was requested from a server; see AcquireSlot
}

// StartRequest begins the lifecycle of a request that was admitted.
func (l *Limiter) StartRequest(r Request) *RequestState {
	r.MaxAttempts = max(1, r.MaxAttempts)
	return &RequestState{
		limiter:  l,
		request:  r,
		choice:   balance.Request{Service: r.Service, Bulk: r.Bulk, NonIdempotent: !r.Idempotent},
		attempts: attempt.Tracker{Idempotent: r.Idempotent},
	}
}

// AllowsHedge reports whether two servers may have the request at the same time. Two downloads
// on a link that one can fill would only make both late.
func (s *RequestState) AllowsHedge() bool {
	r := &s.request
	return r.Idempotent && r.Buffered && r.MaxAttempts > 1 && !(r.Bulk && s.limiter.downloads.bytesPerMs > 0)
}

// StartAttempt chooses a server for one more attempt; nil: there is none. A request that was
// never sent is then refused, and waitMs tells when the client should come back.
func (s *RequestState) StartAttempt(now float64, hedge bool) (m *balance.Member, waitMs float64, refused bool) {
	left := s.request.DeadlineMs - now
	if left <= 0 || s.attempts.Started() >= s.request.MaxAttempts {
		return nil, 0, false
	}
	// A queue at a server that is longer than the latency target allows serves nobody better:
	// clients beyond it are told at once to come back.
	if untilTarget := s.request.ArrivedMs + s.request.TargetMs - now; s.request.TargetMs > 0 && untilTarget > 0 {
		left = min(left, untilTarget)
	} else if s.request.TargetMs > 0 {
		left /= 2
	}
	s.choice.RemainingMs, s.choice.IdleOnly = left, hedge
	retry := s.attempts.ReachedServer() || hedge // may load a server once more: it needs retry budget
	m, waitMs = s.limiter.choose(now, s.choice, retry)
	if m == nil {
		return nil, waitMs, !retry
	}
	s.recordSent(now)
	s.choice.Attempted = append(s.choice.Attempted, m)
	s.attempts.Start()
	return m, 0, false
}

// Next is what follows on the end of an attempt.
type Next = attempt.Next

// What can follow; see package attempt.
const (
	Deliver = attempt.Deliver
	Wait    = attempt.Wait
	Retry   = attempt.Retry
	GiveUp  = attempt.GiveUp
)

// FinishAttempt notes how an attempt ended and tells what follows; see [attempt.Tracker.Finish].
func (s *RequestState) FinishAttempt(result balance.Result, ran, answered, started bool) Next {
	return s.attempts.Finish(result, ran, answered, started)
}

// FinalStatus is the status of the final response where no server gave one; see
// [attempt.Tracker.FinalStatus].
func (s *RequestState) FinalStatus(now float64) int {
	return s.attempts.FinalStatus(now >= s.request.DeadlineMs)
}

// HedgeDelayMs is the time after which a second attempt is started beside the first; false:
// none is.
func (s *RequestState) HedgeDelayMs() (float64, bool) {
	if !s.AllowsHedge() {
		return 0, false
	}
	return s.limiter.hedgeMs(s.request.Service, s.request.TargetMs)
}

// OverdueAfterMs is the time after which a missing response counts against its server; false:
// it never does.
func (s *RequestState) OverdueAfterMs(now float64, m *balance.Member) (float64, bool) {
	typical := s.limiter.balance.TypicalLatencyMs(s.request.Service)
	// A download may be waiting for the link.
	return overdueFactor * typical * m.Slowness(now), typical > 0 && !s.request.Bulk
}
