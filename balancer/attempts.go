package balancer

// This file has the lifecycle of a request: its attempts, their outcomes, retries within
// the retry budget, and the final response.

import (
	"slices"
)

const (
	// Retries that may have cost a server work are paid from a budget: each first attempt
	// adds retryBudgetShare, up to maxRetryBudget.
	retryBudgetShare = 0.2
	maxRetryBudget   = 10.0
)

type request struct {
	id             string
	class          int
	units          float64
	customer       *customer
	targetAt       float64
	waitFactor     float64 // by what it is worth: how much of its spare time it may wait
	deadlineAt     float64
	attempts       []attempt
	inFlight       int     // attempts out
	executedOn     *server // where an attempt may have run first
	executedOnInfo ServerInfo
	executedAt     float64
	streaming      bool
}

type attempt struct {
	server *server
	sentAt float64
	load   float64
	ended  bool
}

func (l *Limiter) startAttempt(now float64, r *request, s *server) {
	if s.inflight == 0 {
		s.waitingSince = now
	}
	l.recentAttempts = l.decayedAttempts(now) + 1
	s.slowStartCredit--
	r.attempts = append(r.attempts, attempt{server: s, sentAt: now, load: s.load() + 1})
	r.inFlight++
	r.customer.inFlight++
	s.inflight++
	l.inflight++
	l.emit(StartAttempt{ID: r.id, Server: s.info.ID})
}

func (l *Limiter) handleOutcome(now float64, e Outcome) {
	r := l.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	l.settleAttempt(r, a)
	l.observeOutcome(now, a, r, e)
	if c := r.customer; e.SettledUnits > 0 && l.cfg.TrueUp {
		l.refill(now, c)
		c.balance, c.spent = c.balance-(e.SettledUnits-r.units), c.spent+(e.SettledUnits-r.units)
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

// again makes a further attempt or gives the final answer. Nothing is out.
func (l *Limiter) retryOrFinish(now float64, r *request, last Result) {
	class := l.cfg.Classes[r.class]
	may := now < r.deadlineAt && len(r.attempts) < max(1, l.cfg.Caps.MaxAttempts) && (r.executedOn == nil ||
		class.Idempotency == Safe || class.Idempotency == Keyed && now < r.executedAt+class.DedupWindowMs)
	costly := !(last == ConnectFailed || last == NotSent)
	if may && (!costly || l.retryBudget >= 1) {
		if s, _ := l.chooseServer(now, r); s != nil {
			if costly {
				l.retryBudget--
			}
			l.startAttempt(now, r, s)
			return
		}
	}
	harmless := r.executedOn == nil || class.Idempotency == Safe || class.Idempotency == Keyed && class.DedupScope == DedupAll
	if harmless && now < r.deadlineAt {
		l.reject(r.id, 0)
	} else {
		l.emit(Fail{ID: r.id})
	}
	l.removeRequest(r)
}

// drop forgets a request that is over.
func (l *Limiter) removeRequest(r *request) {
	if r == nil {
		return
	}
	for i := range r.attempts { // outcomes still to come are ignored: settle their counts here
		if a := &r.attempts[i]; !a.ended {
			l.settleAttempt(r, a)
			if l.cfg.Caps.Cancel {
				l.emit(CancelAttempt{ID: r.id, Attempt: i})
			}
		}
	}
	delete(l.requests, r.id)
}

// back settles the counts of an attempt that is no longer out.
func (l *Limiter) settleAttempt(r *request, a *attempt) {
	a.ended = true
	r.inFlight--
	r.customer.inFlight--
	a.server.inflight--
	l.inflight--
}

// provesUnrun tells whether a result shows that nothing ran.
func provesNotExecuted(r Result) bool { return r == Rejected || r == ConnectFailed || r == NotSent }

// sortedRequests lists the requests in hand in an order that is always the same.
func (l *Limiter) sortedRequests() []string {
	ids := make([]string, 0, len(l.requests))
	for id := range l.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
