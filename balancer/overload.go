package balancer

// Admission under overload: how long a request may wait, by its deadline and by its value
// relative to that of others.

import "math"

const (
	// timeoutTolerance is the relative difference up to which two timeouts count as equal, as
	// the time in transit varies.
	timeoutTolerance = 0.01
	// maxTimeoutVotes bounds the votes for the typical timeout, so that the majority vote
	// follows a change.
	maxTimeoutVotes = 200
	// Under overload pressure the time that a request may wait scales with its value per work,
	// relative to the mean and within these bounds.
	minRelativeValue = 0.1
	maxRelativeValue = 2.5
)

// typicalTimeout is the timeout that clients set for most requests of a class, found by a
// majority vote.
type typicalTimeout struct {
	ms    float64
	votes int
}

// vote counts a timeout and reports whether it is the typical one.
func (t *typicalTimeout) vote(timeoutMs float64) bool {
	if math.Abs(timeoutMs-t.ms) <= timeoutTolerance*t.ms {
		t.votes = min(t.votes+1, maxTimeoutVotes)
		return true
	}
	if t.votes > 0 {
		t.votes--
		return false
	}
	t.ms, t.votes = timeoutMs, 1
	return true
}

// timeToTarget returns the time in ms within which a response still meets the latency target.
// Clients set the same timeout for most requests of a class. A different timeout is taken for
// what is left of the deadline, and so shows how long ago the client began: quota and servers
// are not spent on requests that are already too late. Where clients mark their retries, a
// first request has only just begun, however short its timeout, and is not taken for late.
func (l *Limiter) timeToTarget(e Submit) float64 {
	class, typical := l.cfg.Classes[e.Class], &l.typicalTimeouts[e.Class]
	isTypical := typical.vote(e.TimeoutMs)
	left := class.LatencyTargetMs
	l.clientsMarkRetries = l.clientsMarkRetries || e.Retry
	if !isTypical && typical.votes > 1 && (e.Retry || !l.clientsMarkRetries) {
		left -= max(0, class.DeadlineMs-e.TimeoutMs)
	}
	return min(left, e.TimeoutMs)
}

// setWaitFactor sets how much of its spare time a request may be expected to wait, see
// timeBudget. The more requests within their quotas are rejected for lack of servers, the more
// the factor depends on the request's value per work, which is its value divided by the typical
// response time of its class.
func (l *Limiter) setWaitFactor(r *request) {
	value := l.cfg.Classes[r.class].Value * l.cfg.Plans[r.customer.plan].Price * r.units / l.typicalTime(r.class)
	l.meanValue += (value - l.meanValue) * max(averagingWeight, 1/(l.valuedRequests+1))
	l.valuedRequests++
	r.waitFactor = 1
	if l.meanValue > 0 {
		relative := max(minRelativeValue, min(maxRelativeValue, value/l.meanValue))
		r.waitFactor += (relative - 1) * min(1, 2*l.overloadPressure)
	}
}
