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

type customer struct {
	id               uint64
	plan             int
	spread           int // 0 until one of its requests came here
	firstLimiter     int
	balance          float64
	escrow           [aggregatorCount]float64 // this gateway's part of the ceiling's store, by the keeper that may grant it
	initialHardBurst float64                  // what the ceiling's store was taken to hold at first
	refilledAt       float64                  // when all were last refilled
	seenAt           float64
	spent            float64 // units passed here
	inFlight         int
	levelKnown       bool       // a peer has told its level
	withheldBurst    float64    // part of the burst not granted until peers are heard
	peerViews        []peerView // of the gateways heard of or told

	margin             float64 // told with the level: below it, less passes
	recentUnits        float64 // units heard of in the last second or so
	recentUnitsAt      float64
	reportsTo          []int // gateways told of what passes here
	unreported         bool
	limitsInFlight     bool    // the plan limits attempts out
	isAggregator       bool    // this gateway tells the set the level ...
	aggregatorRank     int     // ... in this order
	escrowDeficit      float64 // what the half of the ceiling in its care is short of full, as far as heard
	grantedAt          float64
	sentLevel          float64
	sentLevelAt        float64
	overestimatedTicks int     // ticks for which the set has believed in more
	lastSpentAt        float64 // the last spending here ...
	lastUnits          float64 // ... and its units
}

// view is what this gateway and one peer know of each other's spending.
type peerView struct {
	peer                int
	incarnation         uint32
	receivedSpent       uint64 // told by the peer, in steps
	seq                 uint64
	inFlight            int
	sentSpent           uint64 // told to the peer
	previouslySentSpent uint64 // what it was told before that
	sentInFlight        int
	resend              bool    // told once, to be told again
	escrowDeficit       float64 // what its share of the ceiling lacks, to a keeper
}

// outAll is the number of a customer's attempts out, as far as known.
func (c *customer) totalInFlight() int {
	n := c.inFlight
	for i := range c.peerViews {
		n += c.peerViews[i].inFlight
	}
	return n
}

// steps is what peers are told of a customer's spending: it never falls, a
// refund nets against later spending.
func (c *customer) spentSteps(told uint64) uint64 {
	return max(told, uint64(max(0, math.Round(c.spent*unitScale))))
}

// view is the record of one peer, made on first use.
func (c *customer) peerView(i int) *peerView {
	for k := range c.peerViews {
		if c.peerViews[k].peer == i {
			return &c.peerViews[k]
		}
	}
	c.peerViews = append(c.peerViews, peerView{peer: i})
	return &c.peerViews[len(c.peerViews)-1]
}

// seed sets a level that is told or taken over.
func (c *customer) setLevel(now, level float64) {
	c.balance, c.levelKnown, c.withheldBurst, c.sentLevel, c.sentLevelAt = level, true, 0, level, now
}

// large tells that a customer has too many gateways to tell each of them.
func (c *customer) usesAggregators() bool { return c.spread > maxDirectPeers+1 && !c.limitsInFlight }

// forget drops customers that are idle and whose bucket and part of the ceiling are
// full again: a new record would start full too. Guards against growing with every
// customer that comes once.
func (l *Limiter) evictIdleCustomers(now float64) {
	idle := func(c *customer) bool {
		l.refill(now, c)
		p := l.cfg.Plans[c.plan]
		return c.inFlight == 0 && !c.unreported && now-c.seenAt >= idleCustomerMs && now-l.startedAt > idleCustomerMs &&
			c.balance >= p.Burst && (c.spread == 0 || p.HardRate <= 0 ||
			c.escrowBalance()*float64(c.spread) >= p.HardBurst*(1-1e-9))
	}
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

// fade brings the flow up to date.
func (c *customer) decayRecentUnits(now float64) {
	c.recentUnits, c.recentUnitsAt = c.recentUnits*math.Exp((c.recentUnitsAt-now)/1000), now
}
