package balancer

// The lifecycle of a request: its attempts, their outcomes, retries within the retry budget,
// and the final response.

import "slices"

const (
	// Retries that may have cost a server work are charged to a budget: each first attempt adds
	// retryBudgetShare to it, up to maxRetryBudget.
	retryBudgetShare = 0.2
	maxRetryBudget   = 10.0
)

// request is a request that has no final response yet.
type request struct {
	id         string
	class      int
	units      float64
	customer   *customer
	deadlineAt float64 // the client gives up at this time
	idleOnly   bool    // only servers without requests of this limiter are considered
	attempts   []attempt
	inFlight   int  // attempts without an outcome
	streaming  bool // the response has begun

	// The first attempt that may have been executed; executedOn is nil if there is none.
	executedOn     *server
	executedOnInfo ServerInfo
	executedAt     float64
}

// attempt is one attempt to have a request executed by a server.
type attempt struct {
	server *server
	sentAt float64
	load   float64 // requests of this limiter in flight at the server, including this one
	// expectedMs is the time that the response was expected to take.
	expectedMs float64
	ended      bool
}

// hasAttemptAt reports whether the request has been sent to a server.
func (r *request) hasAttemptAt(s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// startAttempt forwards a request to a server.
func (l *Limiter) startAttempt(now float64, r *request, s *server) {
	if s.inFlight == 0 {
		s.waitingSince = now
	}
	l.recentAttempts = l.decayedAttempts(now) + 1
	s.slowStartCredit--
	r.attempts = append(r.attempts, attempt{server: s, sentAt: now, load: s.load() + 1,
		expectedMs: l.expectedTime(now, s, r.class)})
	r.inFlight++
	r.customer.inFlight++
	s.inFlight++
	l.inFlight++
	l.emit(StartAttempt{ID: r.id, Server: s.info.ID})
}

func (l *Limiter) handleFirstByte(e FirstByte) {
	if r := l.requests[e.ID]; r != nil {
		r.streaming = true
	}
}

// handleOutcome handles the end of an attempt. The attempt is released first, so that all that
// follows sees it as ended.
func (l *Limiter) handleOutcome(now float64, e Outcome) {
	r := l.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	l.releaseAttempt(r, a)
	l.observeOutcome(now, a, r, e)
	if c := r.customer; e.ActualUnits > 0 && l.cfg.TrueUp {
		l.refill(now, c)
		c.balance, c.spent = c.balance-(e.ActualUnits-r.units), c.spent+(e.ActualUnits-r.units)
	}
	l.markUnreported(r.customer)
	if !provesNotExecuted(e.Result) && r.executedOn == nil {
		r.executedOn, r.executedOnInfo, r.executedAt = a.server, a.server.info, a.sentAt
	}
	if e.Final {
		l.removeRequest(r)
	} else if r.inFlight == 0 && !r.streaming {
		l.retryOrFinish(now, r, e.Result)
	}
}

// mayRetry reports whether another attempt is permitted: it can't execute the request twice,
// and neither the deadline nor the maximum number of attempts is reached.
func (l *Limiter) mayRetry(now float64, r *request) bool {
	if now >= r.deadlineAt || len(r.attempts) >= max(1, l.cfg.Caps.MaxAttempts) {
		return false
	}
	class := l.cfg.Classes[r.class]
	return r.executedOn == nil || class.Idempotency == Safe ||
		class.Idempotency == Keyed && now < r.executedAt+class.DedupWindowMs
}

// clientMayRetry reports whether a retry by the client can't execute the request twice. Such a
// retry may be sent to any server.
func (l *Limiter) clientMayRetry(r *request) bool {
	class := l.cfg.Classes[r.class]
	return r.executedOn == nil || class.Idempotency == Safe ||
		class.Idempotency == Keyed && class.DedupScope == DedupAll
}

// retryOrFinish starts another attempt or sends the final response. No attempt may be in
// flight.
func (l *Limiter) retryOrFinish(now float64, r *request, last Result) {
	costly := last != ConnectFailed && last != NotSent
	if l.mayRetry(now, r) && (!costly || l.retryBudget >= 1) {
		if s, _ := l.chooseServer(now, r); s != nil {
			if costly {
				l.retryBudget--
			}
			l.startAttempt(now, r, s)
			return
		}
	}
	if l.clientMayRetry(r) && now < r.deadlineAt {
		l.reject(r.id, 0)
	} else {
		l.emit(Fail{ID: r.id})
	}
	l.removeRequest(r)
}

// removeRequest removes a request and cancels its attempts in flight. It releases them, as
// their outcomes will be ignored. A nil request is ignored.
func (l *Limiter) removeRequest(r *request) {
	if r == nil {
		return
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.ended {
			l.releaseAttempt(r, a)
			if l.cfg.Caps.Cancel {
				l.emit(CancelAttempt{ID: r.id, Attempt: i})
			}
		}
	}
	delete(l.requests, r.id)
}

// releaseAttempt removes an attempt that is no longer in flight from all counts.
func (l *Limiter) releaseAttempt(r *request, a *attempt) {
	a.ended = true
	r.inFlight--
	r.customer.inFlight--
	a.server.inFlight--
	l.inFlight--
}

// provesNotExecuted reports whether a result proves that the request was not executed.
func provesNotExecuted(r Result) bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// sortedRequests returns the ids of all requests in ascending order, so that equal events yield
// equal actions.
func (l *Limiter) sortedRequests() []string {
	ids := make([]string, 0, len(l.requests))
	for id := range l.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
