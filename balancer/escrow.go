package balancer

// A customer's hard rate limit is enforced by escrow. Each limiter of the customer's set owns
// an equal part of the limit's burst and rate, so that the parts never add up to more than the
// limit, even if messages are lost or late. In large sets the aggregators grant units to
// limiters that have spent theirs, so that these need not wait until their own part has
// refilled. The deficit of an escrow, or of the limit itself, is what it lacks to be full, in
// units.

import (
	"math"
	"slices"
)

// minGrantShare is the smallest deficit that is granted, as a share of a limiter's full escrow:
// a smaller grant is not worth a message.
const minGrantShare = 0.3

// escrowPart is the share of the hard limit in each of the parts of this limiter's escrow.
func (c *customer) escrowPart() float64 { return 1 / float64(c.limiterCount) / aggregatorCount }

// escrowBalance returns the units that this limiter may admit now within a customer's hard
// limit.
func (c *customer) escrowBalance() (sum float64) {
	for _, s := range c.escrow {
		sum += s
	}
	return sum
}

// grantEscrow grants units to the limiters of a large set that have spent theirs, as far as the
// limit itself has refilled. With equal parts alone, a limiter that receives most of a
// customer's requests would run out while the refill of the others is lost. Each aggregator
// manages one half of the limit. It compares the reported deficit of that half with the sum of
// the reported deficits of the limiters' escrows and grants no more than the difference. So the
// sum of all escrows never exceeds the limit, even if messages are lost or late: spending that
// is not reported yet is missing on both sides.
func (l *Limiter) grantEscrow(now float64, c *customer) {
	p := l.cfg.Plans[c.plan]
	if p.HardRate <= 0 {
		return
	}
	seconds, full := (now-c.grantedAt)/1000, p.HardBurst*c.escrowPart()
	c.grantedAt = now
	available := -c.escrowDeficit
	for i := range c.peerViews {
		v := &c.peerViews[i]
		v.escrowDeficit = max(0, v.escrowDeficit-seconds*p.HardRate*c.escrowPart())
		available += v.escrowDeficit
	}
	for i := range c.peerViews {
		v := &c.peerViews[i]
		steps := math.Floor(min(v.escrowDeficit, available, full) * unitScale)
		if steps < 1 || v.escrowDeficit < minGrantShare*full {
			continue
		}
		v.escrowDeficit, available = v.escrowDeficit-steps/unitScale, available-steps/unitScale
		e := peerEntry{customer: c.id, plan: uint64(c.plan), level: int64(steps)}
		if v.peer == l.cfg.Position {
			c.addGrant(c.aggregatorRank, full, e)
		} else {
			l.peers[v.peer].grants = append(l.peers[v.peer].grants, e)
		}
	}
}

// addGrant adds a grant to the part of the escrow that the aggregator of a rank manages.
func (c *customer) addGrant(rank int, full float64, e peerEntry) {
	c.escrow[rank] = min(full, c.escrow[rank]+float64(e.level)/unitScale)
}

// recordEscrowSpending records what a limiter has spent, if this one is an aggregator.
func (l *Limiter) recordEscrowSpending(c *customer, i int, units float64) {
	if c.isAggregator && l.cfg.Plans[c.plan].HardRate > 0 {
		c.escrowDeficit += units / aggregatorCount
		c.peerView(i).escrowDeficit += units / aggregatorCount
	}
}

// applyGrant applies a grant received from an aggregator. Grants from other limiters are
// ignored.
func (l *Limiter) applyGrant(now float64, from int, en peerEntry) {
	c := l.customers[en.customer]
	if c == nil || !c.usesAggregators() || en.level < 0 {
		return
	}
	rank := slices.Index(c.reportsTo, from)
	if rank < 0 {
		return
	}
	if c.isAggregator { // an aggregator reports only to the other one
		rank = aggregatorCount - 1 - c.aggregatorRank
	}
	l.refill(now, c)
	c.addGrant(rank, l.cfg.Plans[c.plan].HardBurst*c.escrowPart(), en)
}

// fillEscrow adds the part of the hard limit's burst that was assumed to be spent when the
// escrow was created.
func (l *Limiter) fillEscrow(now float64, c *customer) {
	if c.limiterCount == 0 {
		return
	}
	burst, part := l.cfg.Plans[c.plan].HardBurst, c.escrowPart()
	l.refill(now, c)
	for k := range c.escrow {
		c.escrow[k] = min(burst*part, c.escrow[k]+(burst-c.initialHardBurst)*part)
	}
}
