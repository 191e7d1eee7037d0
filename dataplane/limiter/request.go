package limiter

import (
	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/shedding"
)

// Request holds the properties that determine the lifecycle of a request. Times are in
// milliseconds on the host's monotonic clock.
type Request struct {
	Tenant      uint64 // whose quota pays for the request, by [quota.TenantID]; 0: none does
	Service     string
	Route       string
	Bulk        bool    // a download: its response can saturate a slow link
	Idempotent  bool    // may be executed more than once
	Buffered    bool    // the whole body is buffered and can be sent again
	MaxAttempts int     // maximum number of attempts at servers; less than 1: one
	DeadlineMs  float64 // time at which the client times out
	Priority    shedding.Priority
}

// RequestState tracks the lifecycle of one request: a sequence of attempts at servers, or a second
// attempt concurrent with a slow first one (a hedge). It accesses the state of its limiter and must
// be guarded by the same lock.
type RequestState struct {
	limiter  *Limiter
	request  Request
	criteria balance.Request // for the choice of the next server
	attempts attempt.Tracker
	charged  bool    // the tenant has paid for the request
	sentAt   float64 // when a download was last granted a slot or requested from a server
	// headerExpectedAt is when the response header of a download was expected as it asked for a slot, if
	// predicted is set.
	headerExpectedAt float64
	predicted        bool
	linkPriority     shedding.Priority // of a queued download, as it asked for a slot
}

// StartRequest begins the lifecycle of an admitted request.
func (l *Limiter) StartRequest(r Request) *RequestState {
	r.MaxAttempts = max(1, r.MaxAttempts)
	return &RequestState{
		limiter: l,
		request: r,
		criteria: balance.Request{Service: r.Service, NonIdempotent: !r.Idempotent,
			Priority: r.Priority},
		attempts: attempt.Tracker{Idempotent: r.Idempotent},
	}
}

// AllowsHedge reports whether the request may be sent to two servers concurrently. Downloads over
// a link that a single one can saturate are not hedged, as that would delay both responses.
func (s *RequestState) AllowsHedge() bool {
	r := &s.request
	return r.Idempotent && r.Buffered && r.MaxAttempts > 1 && !(r.Bulk && s.limiter.downloads.bytesPerMs > 0)
}

// CheckQuota reports whether the tenant's quota allows the request to be sent to a server. It always
// does once the tenant has paid for the request. If not, the client should retry after retryAfterMs.
func (s *RequestState) CheckQuota(now float64) (retryAfterMs float64, ok bool) {
	if s.charged {
		return 0, true
	}
	return s.limiter.CheckQuota(now, s.request.Tenant)
}

// StartAttempt chooses a server for another attempt, and charges the tenant's quota if it is the first
// one; CheckQuota must have allowed that at the same time. It returns nil if there is no server; a
// request that has not reached a server yet is then refused, and the client should retry after
// retryAfterMs.
func (s *RequestState) StartAttempt(now float64, hedge bool) (m *balance.Member, retryAfterMs float64, refused bool) {
	remainingMs := s.request.DeadlineMs - now
	if remainingMs <= 0 || s.attempts.Started() >= s.request.MaxAttempts {
		return nil, 0, false
	}
	s.criteria.RemainingMs, s.criteria.IdleOnly = remainingMs, hedge
	retry := s.attempts.ReachedServer() || hedge // adds load to the servers: charged to the retry budget
	m, retryAfterMs = s.limiter.choose(now, s.criteria, retry)
	if m == nil {
		return nil, retryAfterMs, !retry
	}
	if !s.charged {
		s.charged = true
		s.limiter.quota.Charge(now, s.request.Tenant)
	}
	if s.attempts.Started() > 0 {
		s.predicted = false // the response of a further attempt was not predicted
	}
	s.recordSent(now)
	s.criteria.Attempted = append(s.criteria.Attempted, m)
	s.attempts.Start()
	return m, 0, false
}

// Next is the action that follows the end of an attempt.
type Next = attempt.Next

// The possible actions; see package attempt.
const (
	Deliver = attempt.Deliver
	Wait    = attempt.Wait
	Retry   = attempt.Retry
	GiveUp  = attempt.GiveUp
)

// FinishAttempt records the outcome of an attempt and returns the next action; see
// [attempt.Tracker.Finish].
func (s *RequestState) FinishAttempt(result balance.Result, mayHaveRun, hasResponse, bodyConsumed bool) Next {
	return s.attempts.Finish(result, mayHaveRun, hasResponse, bodyConsumed)
}

// FinalStatus returns the status of the gateway's own response if no server's response can be
// forwarded; see [attempt.Tracker.FinalStatus].
func (s *RequestState) FinalStatus(now float64) int {
	return s.attempts.FinalStatus(now >= s.request.DeadlineMs)
}

// HedgeDelayMs returns the time from now after which a second, concurrent attempt is started. It
// returns false if the request is not hedged.
func (s *RequestState) HedgeDelayMs(now float64) (float64, bool) {
	if !s.AllowsHedge() {
		return 0, false
	}
	return s.limiter.hedgeDelayMs(s.request.Service, s.request.DeadlineMs-now)
}

// OverdueAfterMs returns the time after which a missing response counts against its server. It
// returns false if it never does.
func (s *RequestState) OverdueAfterMs(now float64, m *balance.Member) (float64, bool) {
	typical := s.limiter.balance.TypicalLatencyMs(s.request.Service)
	// Downloads are exempt because they may be waiting for the link.
	return overdueFactor * typical * m.Slowness(now), typical > 0 && !s.request.Bulk
}
