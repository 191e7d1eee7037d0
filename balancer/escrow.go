package balancer

// This file holds a customer's hard rate limit by escrow. Each limiter of the customer's
// set owns an equal part of the limit's burst and rate, so that the sum of all parts never
// exceeds the limit, whatever is lost or late. In large sets the aggregators grant limiters
// early what they have spent.

import (
	"math"
	"slices"
)

// minGrantShare is the smallest deficit that is granted, as a share of a limiter's full
// escrow: a smaller one would cost a message for little.
const minGrantShare = 0.3

// escrowPart is the share of the hard limit that each part of this limiter's escrow holds.
func (c *customer) escrowPart() float64 { return 1 / float64(c.spread) / aggregatorCount }

// escrowBalance is what this limiter may admit now within a customer's hard limit, in units.
func (c *customer) escrowBalance() (sum float64) {
	for _, s := range c.escrow {
		sum += s
	}
	return sum
}

// grantEscrow gives limiters of a large set back what they have spent of their escrow, as far
// as the limit itself has refilled. With equal parts alone the limiter through which most of
// a customer's requests come would starve, while the refill of the others is lost. Each
// aggregator has one half of the limit in its care. What that half lacks, as far as reported,
// the limiters' escrows lack too, and no more than the difference is granted. So the sum of
// all escrows never exceeds the limit, whatever is lost or late: what is not reported yet is
// lacking on both sides.
func (l *Limiter) grantEscrow(now float64, c *customer) {
	p := l.cfg.Plans[c.plan]
	if p.HardRate <= 0 {
		return
	}
	seconds, full := (now-c.grantedAt)/1000, p.HardBurst*c.escrowPart()
	c.grantedAt = now
	free := -c.escrowDeficit
	for i := range c.peerViews {
		v := &c.peerViews[i]
		v.escrowDeficit = max(0, v.escrowDeficit-seconds*p.HardRate*c.escrowPart())
		free += v.escrowDeficit
	}
	for i := range c.peerViews {
		v := &c.peerViews[i]
		steps := math.Floor(min(v.escrowDeficit, free, full) * unitScale)
		if steps < 1 || v.escrowDeficit < minGrantShare*full {
			continue
		}
		v.escrowDeficit, free = v.escrowDeficit-steps/unitScale, free-steps/unitScale
		e := peerEntry{customer: c.id, plan: uint64(c.plan), level: int64(steps)}
		if v.peer == l.cfg.Position {
			c.addGrant(c.aggregatorRank, full, e)
		} else {
			l.peers[v.peer].grants = append(l.peers[v.peer].grants, e)
		}
	}
}

// addGrant adds a grant of the aggregator with a rank to its part of the escrow.
func (c *customer) addGrant(rank int, full float64, e peerEntry) {
	c.escrow[rank] = min(full, c.escrow[rank]+float64(e.level)/unitScale)
}

// recordEscrowSpending counts what a limiter has spent, if this one is an aggregator.
func (l *Limiter) recordEscrowSpending(c *customer, i int, units float64) {
	if c.isAggregator && l.cfg.Plans[c.plan].HardRate > 0 {
		c.escrowDeficit += units / aggregatorCount
		c.peerView(i).escrowDeficit += units / aggregatorCount
	}
}

// applyGrant takes in a grant from an aggregator. Grants of other limiters are ignored.
func (l *Limiter) applyGrant(now float64, from int, en peerEntry) {
	c := l.customers[en.customer]
	if c == nil || !c.usesAggregators() || en.level < 0 {
		return
	}
	rank := slices.Index(c.reportsTo, from)
	if rank < 0 {
		return
	}
	if c.isAggregator { // it reports only to the other one
		rank = aggregatorCount - 1 - c.aggregatorRank
	}
	l.refill(now, c)
	c.addGrant(rank, l.cfg.Plans[c.plan].HardBurst*c.escrowPart(), en)
}

// fillEscrow adds what was assumed to be spent of the hard limit's burst at first.
func (l *Limiter) fillEscrow(now float64, c *customer) {
	if c.spread == 0 {
		return
	}
	burst, part := l.cfg.Plans[c.plan].HardBurst, c.escrowPart()
	l.refill(now, c)
	for k := range c.escrow {
		c.escrow[k] = min(burst*part, c.escrow[k]+(burst-c.initialHardBurst)*part)
	}
}
