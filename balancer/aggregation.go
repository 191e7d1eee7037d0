package balancer

// This file has the aggregation of a customer's spending in a large set of limiters. Two
// aggregators receive every admission and send the set the level when it is low.

import (
	"math"
	"slices"
)

const (
	// maxPlanPacing is the largest factor on the interval between two levels. A level of a
	// plan of little value that is sent to dozens of limiters takes the room of those of
	// greater value: it may wait longer.
	maxPlanPacing = 12.0
	// lookaheadMs is how far ahead an aggregator looks for a low level, in ms.
	lookaheadMs = 500.0
	// lowLevelShare is the share of the burst below which a level is low.
	lowLevelShare = 0.4
	// marginGain is the margin sent with a level, against the units that flow between two
	// levels.
	marginGain = 2.0
)

// planPacing returns each plan's factor on the interval between two levels: levels are sent
// more often where requests have more value and where bursts are short.
func planPacing(plans []Plan) []float64 {
	meanValue := 0.0
	for _, p := range plans {
		meanValue += p.Rate * p.Price / float64(len(plans))
	}
	var pacing []float64
	for _, p := range plans {
		rate := max(1e-9, p.Rate)
		factor := p.Burst / rate / 4 * meanValue / max(1e-9, rate*p.Price)
		pacing = append(pacing, max(0.1, min(maxPlanPacing, factor)))
	}
	return pacing
}

// setMembership sets through which limiters a customer's requests come, and which of them are
// sent reports on what passes here: in a small set all of them. In a large set two
// aggregators, which all limiters derive from the customer's number, receive every admission
// and send the set the level when it is low. So an admission is known everywhere after two
// messages, and nothing counts twice, as a level replaces what was known.
func (l *Limiter) setMembership(now float64, c *customer, spread, first int) {
	n, p := l.cfg.Balancers, l.cfg.Plans[c.plan]
	l.refill(now, c) // before the escrow is set, which covers the time until now
	c.spread, c.firstLimiter = max(1, min(spread, n)), ((first%n)+n)%n
	c.initialHardBurst = p.HardBurst
	if !l.newFleet {
		c.initialHardBurst = min(p.HardBurst, p.HardRate*(now-l.startedAt)/1000)
	}
	for k := range c.escrow {
		c.escrow[k] = c.initialHardBurst * c.escrowPart()
	}
	if !c.usesAggregators() {
		for k := range c.spread {
			if i := (c.firstLimiter + k%c.spread) % n; i != l.cfg.Position {
				c.reportsTo = append(c.reportsTo, i)
			}
		}
		return
	}
	h := hash64(c.id)
	from, step := int(h%uint64(c.spread)), 1+int(h>>32)%(c.spread-1)
	for rank := range aggregatorCount {
		if i := (c.firstLimiter + (from+rank*step)%c.spread) % n; i != l.cfg.Position {
			c.reportsTo = append(c.reportsTo, i)
			continue
		}
		c.isAggregator, c.aggregatorRank, c.sentLevel, c.sentLevelAt = true, rank, c.balance, now
		l.aggregated = append(l.aggregated, c)
	}
}

// sendAggregatedLevels sends the sets of the customers aggregated here their levels, as far
// as they are due.
func (l *Limiter) sendAggregatedLevels(now float64) {
	for _, c := range l.aggregated {
		l.refill(now, c)
		l.releaseWithheldBurst(c)
		l.grantEscrow(now, c)
		c.decayRecentUnits(now)
		l.sendLevelIfDue(now, c)
	}
}

// sendLevelIfDue sends a customer's level to its set if the set assumes more and the level is
// low or soon will be, and with it the margin below which less is to be admitted. The standby
// waits some ticks longer: it sends only if the first aggregator is gone.
func (l *Limiter) sendLevelIfDue(now float64, c *customer) {
	p, interval := l.cfg.Plans[c.plan], l.levelInterval*l.planPacing[c.plan]
	assumed := min(p.Burst, c.sentLevel+p.Rate*(now-c.sentLevelAt)/1000)
	ahead := c.balance - lookaheadMs/1000*max(0, c.recentUnits-p.Rate)
	if assumed-c.balance <= p.Burst/8 || ahead > lowLevelShare*p.Burst {
		c.overestimatedTicks = 0
		return
	}
	c.overestimatedTicks++
	if now-c.sentLevelAt < interval || c.overestimatedTicks <= 2*c.aggregatorRank {
		return
	}
	c.sentLevel, c.sentLevelAt, c.overestimatedTicks = c.balance, now, 0
	c.margin = min(p.Burst, marginGain*c.recentUnits*interval/1000)
	level := peerMessage{flags: flagLevelUpdate, entries: []peerEntry{l.entryFor(now, c, 0)}}
	l.sendToRange(level, c.firstLimiter, c.spread)
}

// applyLevel takes in a level from a peer. One from an aggregator replaces what was known
// here, but for what was admitted too recently to be in it; the other aggregator relies on
// the reports that it receives itself. The response of an older peer sets the level for a
// limiter that has just started and knows nothing yet.
func (l *Limiter) applyLevel(now float64, from int, m *peerMessage, en peerEntry) {
	if !l.acceptsCustomer(en.customer) {
		return
	}
	c := l.lookupCustomer(now, en.customer, int(en.plan), l.cfg.Balancers)
	burst := l.cfg.Plans[c.plan].Burst
	level := min(burst, max(l.minLevel(c), float64(en.level)/unitScale))
	l.refill(now, c)
	if m.flags&flagLevelsResponse != 0 {
		if age := now - l.startedAt; !c.levelKnown && age < levelsRequestMs && float64(m.ageMs) > age {
			c.setLevel(now, level-c.spent)
		}
		return
	}
	if c.spread > 0 && !slices.Contains(c.reportsTo, from) {
		return
	}
	if !c.isAggregator || !c.levelKnown {
		if now-c.lastSpentAt < 2*tickIntervalMs {
			level -= c.lastUnits
		}
		c.setLevel(now, min(burst, level))
	}
	c.sentLevel, c.sentLevelAt, c.overestimatedTicks = level, now, 0
	c.margin = min(burst, float64(min(en.margin, math.MaxInt32))/unitScale)
}

// minLevel is the lowest level that a bucket can come to: each of the customer's limiters
// admits the whole burst before it receives a report. It bounds the level from a peer, which
// could reject a customer for long otherwise.
func (l *Limiter) minLevel(c *customer) float64 {
	return -l.cfg.Plans[c.plan].Burst * float64(max(1, c.spread))
}
