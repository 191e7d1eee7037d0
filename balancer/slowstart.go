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

// warmth is the least share of its capacity that a server can have by now.
func (l *Limiter) slowStartShare(now float64, s *server) float64 {
	r := l.cfg.Rules
	if s.info.ReadyAt <= 0 || r.SlowStartMs <= 0 || r.SlowStartShare <= 0 {
		return 1
	}
	return min(1, r.SlowStartShare+(1-r.SlowStartShare)*max(0, now-s.info.ReadyAt)/r.SlowStartMs)
}

// coldRoom keeps this gateway to its part of what a cold server can do: its
// warmth times what the gateway sends for each warm server's worth of capacity, saved
// up for one request at a time from a random start. The parts of any number of
// gateways add up to the warmth's share of what a warm server gets, with no talk;
// where hardly anything is sent, to coldLeast requests a window. Where most are cold,
// a part grows by coldMost at the most: all that was sent may have been all that the
// servers could do when warm.
func (l *Limiter) hasSlowStartCredit(now float64, s *server) bool {
	w := l.slowStartShare(now, s)
	if w >= 1 {
		return true
	}
	rate := max((slowStartUse+slowStartExtraUse*l.unseenShare)*w*l.decayedAttempts(now)/max(l.warmCapacity, l.upServers/maxSlowStartRise)*2/ejectionMs,
		minSlowStartRequests/float64(l.cfg.Balancers)/max(1, l.cfg.Rules.OverloadMs))
	s.slowStartCredit, s.slowStartCreditAt = min(1, max(0, s.slowStartCredit)+rate*(now-s.slowStartCreditAt)), now
	return s.slowStartCredit >= 1
}

// coldness is the factor of a server's warmth on its cost. One of many gateways has
// saved up long for its request to a cold server, which is now due: left until the
// warm ones have more in hand, it would never be sent, and all the load go to them.
func (l *Limiter) slowStartCostFactor(now float64, s *server) float64 {
	if w := l.slowStartShare(now, s); w < 1 {
		return math.Pow(w, l.unseenShare-1) * math.Pow(dueSlowStartCost, l.unseenShare)
	}
	return 1
}

// recent is the number of attempts sent of late.
func (l *Limiter) decayedAttempts(now float64) float64 {
	l.recentAttempts, l.recentAttemptsAt = l.recentAttempts*math.Exp((l.recentAttemptsAt-now)*2/ejectionMs), now
	return l.recentAttempts
}
