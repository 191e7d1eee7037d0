package balancer

// Slow start: each limiter uses no more than its part of the capacity of a server that has just
// started.

import (
	"math"
)

const (
	// slowStartUtilization is the share of the likely capacity of a server in slow start that
	// is used.
	slowStartUtilization = 0.8
	// slowStartExtraUtilization is added to slowStartUtilization in a very large fleet, where
	// no limiter can use what others leave unused.
	slowStartExtraUtilization = 0.25
	// maxSlowStartRise bounds the increase of a limiter's part where most servers are in slow
	// start.
	maxSlowStartRise = 1.75
	// minSlowStartRequests is the least number of requests, over all limiters, that a server in
	// slow start may get in a window of ServerLimits.OverloadMs when there is little load.
	minSlowStartRequests = 3.0
	// dueSlowStartCostFactor is the cost factor of a server in slow start for a request that is
	// due to it, in a very large fleet.
	dueSlowStartCostFactor = 0.02
)

// slowStartShare is the least share of its capacity that a server can have by now: it rises
// linearly from ServerLimits.SlowStartShare at the start to 1 after ServerLimits.SlowStartMs.
func (l *Limiter) slowStartShare(now float64, s *server) float64 {
	limits := l.cfg.ServerLimits
	if s.info.ReadyAt <= 0 || limits.SlowStartMs <= 0 || limits.SlowStartShare <= 0 {
		return 1
	}
	return min(1, limits.SlowStartShare+(1-limits.SlowStartShare)*max(0, now-s.info.ReadyAt)/limits.SlowStartMs)
}

// hasSlowStartCredit reports whether a server may get a request now. A server in slow start
// gets credit from this limiter, for one request at a time and beginning at a random value. The
// credit grows at the rate at which the limiter sends requests per warm server, times the
// server's share of its capacity. So the parts of any number of limiters add up to that share
// of what a warm server gets, without messages between them; where there is hardly any load,
// they add up to minSlowStartRequests per window. Where most servers are in slow start, a part
// increases by at most maxSlowStartRise, as the present load may be all that the servers could
// do when warm.
func (l *Limiter) hasSlowStartCredit(now float64, s *server) bool {
	share := l.slowStartShare(now, s)
	if share >= 1 {
		return true
	}
	utilization := slowStartUtilization + slowStartExtraUtilization*l.unseenShare
	rate := max(utilization*share*l.decayedAttempts(now)/max(l.warmCapacity, l.upServers/maxSlowStartRise)*2/ejectionMs,
		minSlowStartRequests/float64(l.cfg.Balancers)/max(1, l.cfg.ServerLimits.OverloadMs))
	s.slowStartCredit, s.slowStartCreditAt = min(1, max(0, s.slowStartCredit)+rate*(now-s.slowStartCreditAt)), now
	return s.slowStartCredit >= 1
}

// slowStartCostFactor is the factor on the cost of a server in slow start. One of many limiters
// collects credit for a long time for its request to such a server, and the request is then
// due. If it waited until the warm servers had more requests in flight, it would never be sent,
// and the warm servers would get all the load.
func (l *Limiter) slowStartCostFactor(now float64, s *server) float64 {
	if share := l.slowStartShare(now, s); share < 1 {
		return math.Pow(share, l.unseenShare-1) * math.Pow(dueSlowStartCostFactor, l.unseenShare)
	}
	return 1
}

// decayedAttempts is the number of recent attempts. It decays with a time constant of half of
// ejectionMs.
func (l *Limiter) decayedAttempts(now float64) float64 {
	l.recentAttempts, l.recentAttemptsAt = l.recentAttempts*math.Exp((l.recentAttemptsAt-now)*2/ejectionMs), now
	return l.recentAttempts
}
