package balancer

// This file has the rules under overload: how long a request may wait, by its deadline and
// by its value against that of others.

import "math"

const (
	// usualTimeoutTolerance is the relative difference up to which two time-outs count as
	// equal: the time in transit varies.
	timeoutTolerance = 0.01
	// maxTimeoutVotes bounds the majority vote for the usual time-out, so that it follows
	// a change.
	maxTimeoutVotes = 200
	// Under overload pressure the time that a request may wait changes with its value for
	// its work against the mean, within these bounds.
	minRelativeValue = 0.1
	maxRelativeValue = 2.5
)

// usualTimeout is the time-out that clients give most requests of a class, found by a
// majority vote.
type typicalTimeout struct {
	ms    float64
	votes int
}

// vote counts a time-out and reports whether it is the usual one.
func (u *typicalTimeout) vote(timeoutMs float64) bool {
	if math.Abs(timeoutMs-u.ms) <= timeoutTolerance*u.ms {
		u.votes = min(u.votes+1, maxTimeoutVotes)
		return true
	}
	if u.votes > 0 {
		u.votes--
		return false
	}
	u.ms, u.votes = timeoutMs, 1
	return true
}

// timeToTarget returns the time in ms in which a response still meets the latency target.
// Clients give most requests of a class the same time-out. A request with another one has
// what is left of the deadline, which shows how long ago the client began: quota and servers
// are not spent on what is already too late. Where clients mark their retries, a first request
// has only just begun, however short its time-out: it is not taken for a late one.
func (l *Limiter) timeToTarget(e Submit) float64 {
	class, usual := l.cfg.Classes[e.Class], &l.typicalTimeouts[e.Class]
	isUsual := usual.vote(e.TimeoutMs)
	left := class.LatencyTargetMs
	l.clientsMarkRetries = l.clientsMarkRetries || e.Retry
	if !isUsual && usual.votes > 1 && (e.Retry || !l.clientsMarkRetries) {
		left -= max(0, class.DeadlineMs-e.TimeoutMs)
	}
	return min(left, e.TimeoutMs)
}

// setWaitFactor sets how much of its spare time a request may be expected to wait. The more
// of the requests within their quotas are rejected for lack of servers, the more the factor
// depends on the request's value for its work.
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
