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
// escrow: less is not worth a message.
const minGrantShare = 0.3

// part is the share of the ceiling that each of this gateway's shares holds.
func (c *customer) escrowPart() float64 { return 1 / float64(c.spread) / aggregatorCount }

// share is what this gateway may pass of a customer's ceiling.
func (c *customer) escrowBalance() (sum float64) {
	for _, s := range c.escrow {
		sum += s
	}
	return sum
}

// grant gives the gateways of a large set back what they have spent of their shares
// of the ceiling, while the store itself has refilled. Equal shares alone starve the
// gateway that most of a customer's requests come through, while the refill of the
// others overflows. Each keeper has one half of the ceiling in its care: what that
// half lacks, as far as heard, is lacking in the gateways' shares too, and no more
// than the difference is granted, so that the sum of all shares never exceeds the
// store, whatever is lost or late. What is not heard of yet lacks in both alike.
func (l *Limiter) grantEscrow(now float64, c *customer) {
	p := l.cfg.Plans[c.plan]
	if p.HardRate <= 0 {
		return
	}
	s, full, free := (now-c.grantedAt)/1000, p.HardBurst*c.escrowPart(), -c.escrowDeficit
	c.grantedAt = now
	for i := range c.peerViews {
		v := &c.peerViews[i]
		v.escrowDeficit = max(0, v.escrowDeficit-s*p.HardRate*c.escrowPart())
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

// granted adds a grant of the keeper with a rank to its share here.
func (c *customer) addGrant(rank int, full float64, e peerEntry) {
	c.escrow[rank] = min(full, c.escrow[rank]+float64(e.level)/unitScale)
}

// lacks notes what a gateway has spent, for the half of the ceiling kept here.
func (l *Limiter) recordEscrowSpending(c *customer, i int, units float64) {
	if c.isAggregator && l.cfg.Plans[c.plan].HardRate > 0 {
		c.escrowDeficit += units / aggregatorCount
		c.peerView(i).escrowDeficit += units / aggregatorCount
	}
}

// takeGrant takes in what a keeper gives back, and no stranger can.
func (l *Limiter) applyGrant(now float64, from int, en peerEntry) {
	c := l.customers[en.customer]
	if c == nil || !c.usesAggregators() || en.level < 0 {
		return
	}
	if rank := slices.Index(c.reportsTo, from); rank >= 0 {
		if c.isAggregator { // it tells the other one alone
			rank = aggregatorCount - 1 - c.aggregatorRank
		}
		l.refill(now, c)
		c.addGrant(rank, l.cfg.Plans[c.plan].HardBurst*c.escrowPart(), en)
	}
}
