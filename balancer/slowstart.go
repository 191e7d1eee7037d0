package balancer

// This file holds this limiter to its part of what a server in slow start can do.

import (
	"math"
)

const (
	// slowStartUse is the share used of the likely capacity of a server in slow start.
	slowStartUse = 0.8
	// slowStartExtraUse is added to slowStartUse in a very large fleet, where no limiter can
	// use what others leave.
	slowStartExtraUse = 0.25
	// maxSlowStartRise bounds the rise of the part where most servers are in slow start.
	maxSlowStartRise = 1.75
	// minSlowStartRequests is the least number of requests in a window of Rules.OverloadMs to
	// a server in slow start, over all limiters, where little is sent.
	minSlowStartRequests = 3.0
	// dueSlowStartCost is the cost factor of a request that is due to a server in slow start,
	// in a very large fleet.
	dueSlowStartCost = 0.02
)

// slowStartShare is the least share of its capacity that a server can have by now: it rises
// linearly from Rules.SlowStartShare at the start to 1 after Rules.SlowStartMs.
func (l *Limiter) slowStartShare(now float64, s *server) float64 {
	r := l.cfg.ServerLimits
	if s.info.ReadyAt <= 0 || r.SlowStartMs <= 0 || r.SlowStartShare <= 0 {
		return 1
	}
	return min(1, r.SlowStartShare+(1-r.SlowStartShare)*max(0, now-s.info.ReadyAt)/r.SlowStartMs)
}

// hasSlowStartCredit reports whether a server may get a request. A server in slow start gets
// from this limiter its share of capacity times what the limiter sends for each warm server's
// unit of capacity, as credit for one request at a time from a random start. So the parts of
// any number of limiters add up to the share of what a warm server gets, without messages;
// where hardly anything is sent, to minSlowStartRequests in a window. Where most servers are
// in slow start, a part rises by maxSlowStartRise at most, as all that was sent may have been
// all that the servers could do when warm.
func (l *Limiter) hasSlowStartCredit(now float64, s *server) bool {
	share := l.slowStartShare(now, s)
	if share >= 1 {
		return true
	}
	use := slowStartUse + slowStartExtraUse*l.unseenShare
	rate := max(use*share*l.decayedAttempts(now)/max(l.warmCapacity, l.upServers/maxSlowStartRise)*2/ejectionMs,
		minSlowStartRequests/float64(l.cfg.Balancers)/max(1, l.cfg.ServerLimits.OverloadMs))
	s.slowStartCredit, s.slowStartCreditAt = min(1, max(0, s.slowStartCredit)+rate*(now-s.slowStartCreditAt)), now
	return s.slowStartCredit >= 1
}

// slowStartCostFactor is the factor of slow start on a server's cost. One of many limiters has
// saved up for long for its request to a server in slow start, which is due now: if it waited
// until the warm servers have more in flight, it would never be sent, and all load would go to
// the warm ones.
func (l *Limiter) slowStartCostFactor(now float64, s *server) float64 {
	if share := l.slowStartShare(now, s); share < 1 {
		return math.Pow(share, l.unseenShare-1) * math.Pow(dueSlowStartCost, l.unseenShare)
	}
	return 1
}

// decayedAttempts is the number of recent attempts: it decays with a time constant of half of
// ejectionMs.
func (l *Limiter) decayedAttempts(now float64) float64 {
	l.recentAttempts, l.recentAttemptsAt = l.recentAttempts*math.Exp((l.recentAttemptsAt-now)*2/ejectionMs), now
	return l.recentAttempts
}
