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
	maxIdleAttemptsPerServer = 6.0
	// smallFleet is the number of limiters up to which the load that each one sees shows
	// which server is best.
	smallFleet = 8
	// busyServerCost is added to the cost factor of a server in use, in a very large fleet.
	busyServerCost = 15.0
	// crossZoneWeight is how much the price of a zone crossing adds to the cost factor.
	crossZoneWeight = 10.0
	// rejectedPauseMs is how long a server that rejected a request gets no other, in ms.
	rejectedPauseMs = 50.0
)

// serverTier says which servers are considered: if none of a tier is usable, the next one is
// tried.
type serverTier int

const (
	subsetTier   serverTier = iota // the subset of this limiter
	allTier                        // all servers
	degradedTier                   // also those that are ejected, unresponsive or rejecting
	serverTiers                    // number of tiers
)

// chooseServer returns the server with the least expected time, or nil and the time in ms
// after which a retry may succeed.
func (l *Limiter) chooseServer(now float64, r *request) (s *server, wait float64) {
	l.countWarmCapacity(now)
	best := l.cheapestServer(now, r)
	if best == nil {
		return nil, rejectedPauseMs
	}
	if late := l.expectedTime(now, best, r.class) - l.timeBudget(now, r, best); late > 0 && !l.mayUseIdle(best) {
		return nil, late
	}
	return best, 0
}

// countWarmCapacity brings up to date what the servers of the subset can do now.
func (l *Limiter) countWarmCapacity(now float64) {
	l.warmCapacity, l.upServers = 0, 0
	for _, s := range l.serverList {
		if s.inSubset && s.info.Phase == Up {
			l.warmCapacity, l.upServers = l.warmCapacity+l.slowStartShare(now, s), l.upServers+1
		}
	}
}

// cheapestServer returns the usable server of least cost in the first tier that has one.
func (l *Limiter) cheapestServer(now float64, r *request) *server {
	var best *server
	var bestCost float64
	for tier := subsetTier; tier < serverTiers && best == nil; tier++ {
		for _, s := range l.serverList {
			if tier == subsetTier && !s.inSubset || !l.usable(now, s, r, tier == degradedTier) {
				continue
			}
			cost := l.cost(now, s)
			if best == nil || cost < bestCost {
				best, bestCost = s, cost
			}
		}
	}
	return best
}

// cost is the relative time that an answer from a server is expected to take, with what is
// added for a new connection and for leaving the zone. It has a random factor.
func (l *Limiter) cost(now float64, s *server) float64 {
	cost := s.relativeTime(now) * l.slowStartCostFactor(now, s) * (s.load() + 1) * l.randomFactor()
	if s.inFlight > 0 { // another request at the same time needs a connection of its own
		cost *= 1 + busyServerCost*l.unseenShare
	}
	if s.info.Zone != l.cfg.Zone {
		cost *= 1 + crossZoneWeight*l.cfg.CrossZonePrice
	}
	return cost
}

// timeBudget is the time in ms that a request may be expected to take at a server: a part of
// the time to its latency target, or all of the time to its deadline once the target is missed.
func (l *Limiter) timeBudget(now float64, r *request, s *server) float64 {
	if now > r.targetAt {
		return r.deadlineAt - now
	}
	alone := l.typicalTime(r.class) * s.relativeTime(now) / l.slowStartShare(now, s) * l.loadModel.factor(1)
	budget := headroomShare * (r.targetAt - now)
	budget += (r.waitFactor - 1) * max(0, budget-alone)
	return budget
}

// mayTryIdle reports whether a server may be tried although its expected time is too long.
// An idle server is tried, as nothing is learned while nothing is sent. But servers slowed
// by too many requests recover only when these become fewer, so all limiters together try
// with no more than maxTriesPerServer requests per server.
func (l *Limiter) mayUseIdle(s *server) bool {
	tries := maxIdleAttemptsPerServer * float64(len(l.serverList)) / float64(l.cfg.Balancers)
	return s.inFlight == 0 && float64(l.inFlight) < max(1, tries)
}

// randomFactor is the random factor on the cost of a server. One of few limiters sees in its
// own load most of a server's load, and takes the least. One of many sees next to nothing of
// it, and all would take the same few servers: with an exponential factor each server gets
// requests in proportion to what it can do.
func (l *Limiter) randomFactor() float64 {
	if l.unseenShare > 0 {
		return math.Pow(l.rng.ExpFloat64(), l.unseenShare)
	}
	return 1 + 0.05*l.rng.Float64()
}

// usable reports whether a request may go to a server now. With degraded, servers that are
// only suspected are usable too.
func (l *Limiter) usable(now float64, s *server, r *request, degraded bool) bool {
	if s.info.Phase != Up || s.down || !l.hasSlowStartCredit(now, s) {
		return false
	}
	if r.hasAttemptAt(s) || !l.deduplicates(s, r) {
		return false
	}
	return degraded || now >= s.ejections[r.class].until && now >= s.rejectingUntil && !l.unresponsive(now, s)
}

// deduplicates reports whether a server would drop a request with an idempotency key that was
// executed already: only servers of one zone or cell may share their keys.
func (l *Limiter) deduplicates(s *server, r *request) bool {
	class := l.cfg.Classes[r.class]
	if r.executedOn == nil || class.Idempotency != Keyed {
		return true
	}
	switch class.DedupScope {
	case DedupZone:
		return s.info.Zone == r.executedOnInfo.Zone
	case DedupCell:
		return s.info.Cell == r.executedOnInfo.Cell
	}
	return true
}
