package balancer

// This file has the rules under overload: how long a request may wait, by its deadline and
// by its value against that of others.

import (
	"math"
)

const (
	// usualTimeoutTolerance is the relative difference up to which two time-outs count as
	// equal: the time in transit varies.
	usualTimeoutTolerance = 0.01
	// maxTimeoutVotes bounds the majority vote for the usual time-out, so that it follows
	// a change.
	maxTimeoutVotes = 200
	// Under overload pressure the time that a request may wait changes with its value for
	// its work against the mean, within these bounds.
	minRelativeValue = 0.1
	maxRelativeValue = 2.5
)

// aimLeft is the time in which an answer still earns its worth. Clients give
// most tries of a class the same time; one that has another time has what is
// left of the deadline, which tells how long ago the client began. Guards
// against spending quota and servers on what is already too late. Where clients
// mark their retries, a first try has only just begun, however short its time:
// guards against turning away all that clients in a hurry send.
func (l *Limiter) timeToTarget(e Submit) float64 {
	class, u := l.cfg.Classes[e.Class], &l.usualTimeouts[e.Class]
	usual := math.Abs(e.TimeoutMs-u.ms) <= usualTimeoutTolerance*u.ms
	switch { // a majority vote finds the usual time
	case usual:
		u.votes = min(u.votes+1, maxTimeoutVotes)
	case u.votes > 0:
		u.votes--
	default:
		u.ms, u.votes, usual = e.TimeoutMs, 1, true
	}
	aim := class.LatencyTargetMs
	l.clientsMarkRetries = l.clientsMarkRetries || e.Retry
	if !usual && u.votes > 1 && (e.Retry || !l.clientsMarkRetries) {
		aim -= max(0, class.DeadlineMs-e.TimeoutMs)
	}
	return min(aim, e.TimeoutMs)
}

// weigh sets how much of its spare time a request may be expected to wait: the
// more of the requests inside their quotas are turned away for lack of
// servers, the more it depends on what they are worth for their work.
func (l *Limiter) setWaitFactor(r *request) {
	worth := l.cfg.Classes[r.class].Value * l.cfg.Plans[r.customer.plan].Price * r.units / l.typicalTime(r.class)
	l.meanValue += (worth - l.meanValue) * max(averagingWeight, 1/(l.valuedRequests+1))
	l.valuedRequests++
	r.waitFactor = 1
	if l.meanValue > 0 {
		r.waitFactor += (max(minRelativeValue, min(maxRelativeValue, worth/l.meanValue)) - 1) * min(1, 2*l.overloadPressure)
	}
}

// usual is the time that clients give most tries of a class.
type usualTimeout struct {
	ms    float64
	votes int
}
