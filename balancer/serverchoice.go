package balancer

// The choice of the server of an attempt: the usable server of least cost. In large fleets of
// limiters the choice is weighted random.

import (
	"math"
)

const (
	// maxIdleAttemptsPerServer is the number of requests in flight per server, over all
	// limiters, up to which an idle server is tried although its expected time is too long.
	maxIdleAttemptsPerServer = 6.0
	// smallFleet is the largest number of limiters at which each one sees enough of the load to
	// tell which server is best.
	smallFleet = 8
	// busyServerWeight is the surcharge on the cost of a server with requests in flight, as a
	// multiple of the cost, in a very large fleet.
	busyServerWeight = 15.0
	// rejectedPauseMs is how long a server gets no request after it rejected one, in ms.
	rejectedPauseMs = 50.0
)

// serverTier is the set of servers that are considered. If none of a tier is usable, the next
// tier is tried.
type serverTier int

const (
	subsetTier   serverTier = iota // the subset of this limiter
	allTier                        // all servers
	degradedTier                   // all servers, including those that are ejected, unresponsive or rejecting
	serverTiers                    // number of tiers
)

// chooseServer returns the usable server of least cost. If there is none, or if the response is
// expected after the client gives up, it returns nil and the time in ms after which a retry may
// succeed. Idle servers are an exception, see mayUseIdle.
func (l *Limiter) chooseServer(now float64, r *request) (s *server, wait float64) {
	l.updateWarmCapacity(now)
	best := l.cheapestServer(now, r)
	if best == nil {
		return nil, rejectedPauseMs
	}
	if excess := l.responseTime(now, best, r.class) - (r.deadlineAt - now); excess > 0 && !l.mayUseIdle(best) {
		return nil, excess
	}
	return best, 0
}

// updateWarmCapacity recomputes the present capacity and the number of the servers of the
// subset.
func (l *Limiter) updateWarmCapacity(now float64) {
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

// cost is the relative time that a response from a server is expected to take, with a surcharge for
// a new connection and a random factor. What another zone costs a client is in the observed times.
func (l *Limiter) cost(now float64, s *server) float64 {
	cost := s.relativeTime(now) * l.slowStartCostFactor(now, s) * (s.load() + 1) * l.randomFactor()
	if s.inFlight > 0 { // a concurrent request needs a connection of its own
		cost *= 1 + busyServerWeight*l.unseenShare
	}
	return cost
}

// mayUseIdle reports whether a server may be tried although its expected time is too long. An
// idle server is tried, as nothing is learned about it while it gets no requests. But servers
// slowed down by too many requests recover only when these become fewer, so all limiters
// together try with no more than maxIdleAttemptsPerServer requests per server.
func (l *Limiter) mayUseIdle(s *server) bool {
	limit := maxIdleAttemptsPerServer * float64(len(l.serverList)) / float64(l.cfg.Balancers)
	return s.inFlight == 0 && float64(l.inFlight) < max(1, limit)
}

// randomFactor is the random factor of a server's cost. In a small fleet, a limiter's own load
// is most of a server's load, and it uses the server of least cost. In a large fleet it sees
// almost none of a server's load, and all limiters would choose the same few servers: an
// exponential factor gives each server requests in proportion to its capacity.
func (l *Limiter) randomFactor() float64 {
	if l.unseenShare > 0 {
		return math.Pow(l.rng.ExpFloat64(), l.unseenShare)
	}
	return 1 + 0.05*l.rng.Float64()
}

// usable reports whether a request may be sent to a server now. If degraded is set, servers
// that are only suspected of failing are usable too.
func (l *Limiter) usable(now float64, s *server, r *request, degraded bool) bool {
	if s.info.Phase != Up || s.down || !l.hasSlowStartCredit(now, s) {
		return false
	}
	if r.idleOnly && s.inFlight > 0 || r.hasAttemptAt(s) || !l.inDedupScope(s, r) {
		return false
	}
	return degraded || now >= s.ejections[r.class].until && now >= s.rejectingUntil && !l.unresponsive(now, s)
}

// inDedupScope reports whether a keyed request that may have been executed can be repeated at a
// server: only the servers of the class's DedupScope, which may be a zone or cell, drop the
// repeat. It is true of every other request.
func (l *Limiter) inDedupScope(s *server, r *request) bool {
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
