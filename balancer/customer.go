package balancer

// This file has the record of a customer: its token bucket, its escrow and what this
// limiter and each peer have reported to each other about it.

import (
	"math"
	"slices"
)

const (
	// idleCustomerMs is the time without a request after which a customer with a full
	// bucket is evicted.
	idleCustomerMs = 15000.0
	// maxDirectPeers is the largest number of peers that are all sent the reports on a
	// customer. In larger sets only the aggregators receive them.
	maxDirectPeers = 8
	// aggregatorCount is the number of aggregators of a customer in a large set: one and a
	// standby.
	aggregatorCount = 2
)

// customer is what this limiter knows of a customer.
type customer struct {
	id     uint64
	plan   int
	seenAt float64 // last request or report

	// The token bucket.
	balance       float64
	withheldBurst float64 // part of the burst that is withheld until peers have answered
	refilledAt    float64 // of the bucket and the escrow
	spent         float64 // units admitted here since the start, less refunds
	lastSpentAt   float64
	lastUnits     float64
	levelKnown    bool    // a peer has sent its level
	margin        float64 // came with the level: below it less is admitted

	// The limit of attempts in flight.
	inFlight       int
	limitsInFlight bool // the plan has such a limit

	// The set of limiters: spread of them in a row from firstLimiter on. spread is 0 until
	// the customer's first request or report.
	spread       int
	firstLimiter int
	reportsTo    []int // limiters that are sent reports on what is admitted here
	unreported   bool  // listed in Limiter.unreported
	peerViews    []peerView

	// The escrow of the hard rate limit, one part for each aggregator that grants it.
	escrow           [aggregatorCount]float64
	initialHardBurst float64 // assumed to be left of the limit's burst at first

	// What an aggregator of the customer knows.
	isAggregator       bool
	aggregatorRank     int     // 0, or 1 for the standby
	recentUnits        float64 // units reported in the last second or so
	recentUnitsAt      float64
	sentLevel          float64 // last level that the set was sent
	sentLevelAt        float64
	overestimatedTicks int     // ticks for which the set has assumed more than there is
	escrowDeficit      float64 // what its part of the limit lacks of the full burst, as reported
	grantedAt          float64
}

// peerView is what this limiter and one peer have reported to each other about a customer.
type peerView struct {
	peer                int
	incarnation         uint32 // of the peer's last report; 0 before the first
	seq                 uint64 // of the peer's last report
	receivedSpent       uint64 // as the peer reported, in steps
	inFlight            int    // as the peer reported
	sentSpent           uint64 // as reported to the peer, in steps
	previouslySentSpent uint64 // in the report before that
	sentInFlight        int
	resend              bool    // the last report was sent once: it is sent once more
	escrowDeficit       float64 // what the peer's escrow lacks, if this limiter is an aggregator
}

// totalInFlight is the number of a customer's attempts in flight at all limiters, as far as known.
func (c *customer) totalInFlight() int {
	n := c.inFlight
	for i := range c.peerViews {
		n += c.peerViews[i].inFlight
	}
	return n
}

// spentSteps is the spending in steps that is reported to a peer. It never falls below what
// was reported: a refund counts against later spending.
func (c *customer) spentSteps(sentSpent uint64) uint64 {
	return max(sentSpent, uint64(max(0, math.Round(c.spent*unitScale))))
}

// peerView returns the view of one peer, created on first use. It is valid until the next
// call for another peer.
func (c *customer) peerView(i int) *peerView {
	for k := range c.peerViews {
		if c.peerViews[k].peer == i {
			return &c.peerViews[k]
		}
	}
	c.peerViews = append(c.peerViews, peerView{peer: i})
	return &c.peerViews[len(c.peerViews)-1]
}

// setLevel replaces the balance by a level that a peer has sent.
func (c *customer) setLevel(now, level float64) {
	c.balance, c.levelKnown, c.withheldBurst = level, true, 0
	c.sentLevel, c.sentLevelAt = level, now
}

// usesAggregators reports whether the set is too large for a report to each of its limiters.
func (c *customer) usesAggregators() bool { return c.spread > maxDirectPeers+1 && !c.limitsInFlight }

// evictIdleCustomers drops idle customers, so that memory doesn't grow with every customer
// that comes once. Their buckets and escrows are full: a new record starts full too.
func (l *Limiter) evictIdleCustomers(now float64) {
	idle := func(c *customer) bool { return l.isIdle(now, c) }
	l.aggregated = slices.DeleteFunc(l.aggregated, idle)
	l.customerList = slices.DeleteFunc(l.customerList, func(c *customer) bool {
		drop := idle(c)
		if drop {
			delete(l.customers, c.id)
			l.evicted = true
		}
		return drop
	})
}

// isIdle reports whether a customer has had no request for long and all that is remembered of
// it has returned to what a new record has.
func (l *Limiter) isIdle(now float64, c *customer) bool {
	l.refill(now, c)
	p := l.cfg.Plans[c.plan]
	if c.inFlight != 0 || c.unreported || now-c.seenAt < idleCustomerMs || now-l.startedAt <= idleCustomerMs {
		return false
	}
	if c.balance < p.Burst {
		return false
	}
	return c.spread == 0 || p.HardRate <= 0 || c.escrowBalance()*float64(c.spread) >= p.HardBurst*(1-1e-9)
}

// decayRecentUnits brings recentUnits up to date: it decays with a time constant of a second.
func (c *customer) decayRecentUnits(now float64) {
	c.recentUnits, c.recentUnitsAt = c.recentUnits*math.Exp((c.recentUnitsAt-now)/1000), now
}
