package balancer

// This file chooses the server of an attempt: the one with the least expected time among
// those that are usable. In large fleets the choice is weighted random.

import (
	"math"
)

const (
	// headroomShare is the share of the time to the latency target that the expected time
	// may use: response times vary.
	headroomShare = 0.25
	// maxTriesPerServer bounds the requests in flight per server, over all limiters, up to
	// which an idle server is tried although its expected time is too long.
	maxTriesPerServer = 6.0
	// smallFleet is the number of limiters up to which the load that each one sees tells
	// which server is best.
	smallFleet = 8
	// busyServerCost is added to the cost factor of a server in use, in a very large fleet.
	busyServerCost = 15.0
	// crossZoneWeight is how much the price of a zone crossing adds to the cost factor.
	crossZoneWeight = 10.0
	// rejectedPauseMs is how long a server that rejected a request gets no other, in ms.
	rejectedPauseMs = 50.0
)

// choose returns the server with the least expected finish, or nil and a wait
// when none can answer within the time left.
func (l *Limiter) chooseServer(now float64, r *request) (*server, float64) {
	var best *server
	var bestCost float64
	l.warmCapacity, l.upServers = 0, 0
	for _, s := range l.serverList {
		if s.inSubset && s.info.Phase == Up {
			l.warmCapacity, l.upServers = l.warmCapacity+l.slowStartShare(now, s), l.upServers+1
		}
	}
	for pass := 0; pass < 3 && best == nil; pass++ { // of the subset, of all, and the suspect
		for _, s := range l.serverList {
			if pass == 0 && !s.inSubset || !l.usable(now, s, r, pass > 1) {
				continue
			}
			cost := s.relativeTime(now) * l.slowStartCostFactor(now, s) * (s.load() + 1) * l.randomFactor()
			if s.inflight > 0 { // a further request at once needs a connection of its own
				cost *= 1 + busyServerCost*l.unseenShare
			}
			if s.info.Zone != l.cfg.Zone {
				cost *= 1 + crossZoneWeight*l.cfg.CrossZonePrice
			}
			if best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
		}
	}
	if best == nil {
		return nil, rejectedPauseMs
	}
	alone, left := l.typicalTime(r.class)*best.relativeTime(now)/l.slowStartShare(now, best)*l.loadFactor(1), headroomShare*(r.targetAt-now)
	left += (r.waitFactor - 1) * max(0, left-alone)
	if now > r.targetAt {
		left = r.deadlineAt - now
	}
	// An idle server is tried all the same: with nothing sent, nothing is learnt.
	// But servers slowed by too much in hand recover only when it falls, so all
	// gateways together try with no more than tryShare requests a server.
	late := l.expectedTime(now, best, r.class) - left
	tries := maxTriesPerServer * float64(len(l.serverList)) / float64(l.cfg.Balancers)
	if late > 0 && (best.inflight > 0 || float64(l.inflight) >= max(1, tries)) {
		return nil, late
	}
	return best, 0
}

// scatter is the factor of chance on the cost of a server. One of few gateways sees
// in its own load most of what a server has, and takes the least; one of many sees
// next to nothing of it, and all would take the same few: with an exponential factor
// each server gets requests in proportion to what it can do.
func (l *Limiter) randomFactor() float64 {
	if l.unseenShare > 0 {
		return math.Pow(l.rng.ExpFloat64(), l.unseenShare)
	}
	return 1 + 0.05*l.rng.Float64()
}

// usable tells whether a request may go to a server now. With lax, servers
// that are only under suspicion are taken too.
func (l *Limiter) usable(now float64, s *server, r *request, lax bool) bool {
	if s.info.Phase != Up || s.down || !l.hasSlowStartCredit(now, s) {
		return false
	}
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	class := l.cfg.Classes[r.class]
	if r.executedOn != nil && class.Idempotency == Keyed && (class.DedupScope == DedupZone && s.info.Zone != r.executedOnInfo.Zone ||
		class.DedupScope == DedupCell && s.info.Cell != r.executedOnInfo.Cell) {
		return false
	}
	return lax || now >= s.ejections[r.class].until && now >= s.rejectingUntil && !l.silent(now, s)
}
