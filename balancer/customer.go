package balancer

// The record of a customer: its token bucket, its escrow, and what this limiter and each peer
// have reported to each other about it.

import (
	"math"
	"slices"
)

const (
	// idleCustomerMs is the time without a request after which a customer with a full bucket is
	// evicted, in ms.
	idleCustomerMs = 15000.0
	// maxDirectPeers is the largest number of peers that are all sent the reports on a
	// customer. In larger sets only the aggregators receive them.
	maxDirectPeers = 8
	// aggregatorCount is the number of aggregators of a customer in a large set: the first and
	// a standby.
	aggregatorCount = 2
)

// customer is the state of a customer at this limiter.
type customer struct {
	id           uint64
	plan         int
	lastActiveAt float64 // time of the last request or report

	// The token bucket.
	balance       float64
	withheldBurst float64 // part of the burst that is withheld until the peers have responded
	refilledAt    float64 // last refill of the bucket and the escrow
	spent         float64 // units admitted here since the start, less refunds
	lastSpentAt   float64
	lastUnits     float64 // units of the last request admitted
	levelKnown    bool    // a level has been received from a peer
	margin        float64 // received with the level: below it fewer requests are admitted

	// The limit of attempts in flight.
	inFlight       int
	limitsInFlight bool // the plan has such a limit

	// The set of limiters that receive the customer's requests: limiterCount of them,
	// consecutive from firstLimiter on. limiterCount is 0 until the customer's first request or
	// report.
	limiterCount int
	firstLimiter int
	reportsTo    []int // limiters that are sent reports on what is admitted here
	unreported   bool  // is in Limiter.unreported
	peerViews    []peerView

	// The escrow of the hard rate limit: one part for each aggregator, which sends the grants
	// for it.
	escrow           [aggregatorCount]float64
	initialHardBurst float64 // part of HardBurst assumed to be unspent at first

	// What this limiter knows as an aggregator of the customer.
	isAggregator       bool
	aggregatorRank     int     // 0, or 1 for the standby
	recentUnits        float64 // units reported in the last second or so
	recentUnitsAt      float64
	sentLevel          float64 // last level sent to the set, by either aggregator
	sentLevelAt        float64
	overestimatedTicks int     // ticks for which the set has assumed too high a level
	escrowDeficit      float64 // reported deficit of the part of the hard limit that this aggregator manages
	grantedAt          float64 // last call of grantEscrow
}

// peerView is what this limiter and one peer have reported to each other about a customer.
type peerView struct {
	peer                int
	incarnation         uint32 // of the peer's last report; 0 before the first
	seq                 uint64 // of the peer's last report
	receivedSpent       uint64 // steps (see unitScale) spent, as reported by the peer
	inFlight            int    // attempts in flight, as reported by the peer
	sentSpent           uint64 // steps spent here, as last reported to the peer
	previouslySentSpent uint64 // steps spent here, as in the report before that
	sentInFlight        int
	resend              bool    // the last report was sent once and is due a second time
	escrowDeficit       float64 // deficit of the peer's escrow, if this limiter is an aggregator
}

// totalInFlight returns the known number of a customer's attempts in flight at all limiters.
func (c *customer) totalInFlight() int {
	n := c.inFlight
	for i := range c.peerViews {
		n += c.peerViews[i].inFlight
	}
	return n
}

// spentSteps returns the steps spent that are reported to a peer whose last report said
// sentSpent. It never falls below sentSpent: a refund offsets later spending.
func (c *customer) spentSteps(sentSpent uint64) uint64 {
	return max(sentSpent, uint64(max(0, math.Round(c.spent*unitScale))))
}

// peerView returns the view of one peer and creates it on first use. The pointer is valid until
// the next call for another peer.
func (c *customer) peerView(i int) *peerView {
	for k := range c.peerViews {
		if c.peerViews[k].peer == i {
			return &c.peerViews[k]
		}
	}
	c.peerViews = append(c.peerViews, peerView{peer: i})
	return &c.peerViews[len(c.peerViews)-1]
}

// setLevel replaces the balance by a level received from a peer.
func (c *customer) setLevel(now, level float64) {
	c.balance, c.levelKnown, c.withheldBurst = level, true, 0
	c.sentLevel, c.sentLevelAt = level, now
}

// usesAggregators reports whether the set is too large to send reports to each of its limiters.
func (c *customer) usesAggregators() bool {
	return c.limiterCount > maxDirectPeers+1 && !c.limitsInFlight
}

// evictIdleCustomers removes idle customers, so that memory does not grow with every customer
// that appears once. Their buckets and escrows are full, as those of a new record will be.
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

// isIdle reports whether a customer has had no request or report for idleCustomerMs and its
// state is again that of a new record.
func (l *Limiter) isIdle(now float64, c *customer) bool {
	l.refill(now, c)
	p := l.cfg.Plans[c.plan]
	if c.inFlight != 0 || c.unreported || now-c.lastActiveAt < idleCustomerMs || now-l.startedAt <= idleCustomerMs {
		return false
	}
	if c.balance < p.Burst {
		return false
	}
	return c.limiterCount == 0 || p.HardRate <= 0 || c.escrowBalance()*float64(c.limiterCount) >= p.HardBurst*(1-1e-9)
}

// decayRecentUnits brings recentUnits up to date. It decays with a time constant of 1 s.
func (c *customer) decayRecentUnits(now float64) {
	c.recentUnits, c.recentUnitsAt = c.recentUnits*math.Exp((c.recentUnitsAt-now)/1000), now
}
