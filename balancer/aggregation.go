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

// join notes through which gateways a customer's requests come, and which are
// told of what passes here: in a small set every one. In a large set two keepers,
// the same for all by the customer's number, hear of every admission and tell
// the set the level when it matters: news crosses in two steps, and nothing
// counts twice, as a level replaces what was known.
func (l *Limiter) setMembership(now float64, c *customer, spread, first int) {
	n, p := l.cfg.Balancers, l.cfg.Plans[c.plan]
	l.refill(now, c) // what the shares start with covers the time until now
	c.spread, c.firstLimiter = max(1, min(spread, n)), ((first%n)+n)%n
	if c.initialHardBurst = p.HardBurst; !l.newFleet {
		c.initialHardBurst = min(p.HardBurst, p.HardRate*(now-l.startedAt)/1000)
	}
	for k := range c.escrow {
		c.escrow[k] = c.initialHardBurst * c.escrowPart()
	}
	from, step, count := 0, 1, c.spread
	if c.usesAggregators() {
		h := hash64(c.id)
		from, step, count = int(h%uint64(c.spread)), 1+int(h>>32)%(c.spread-1), aggregatorCount
	}
	for k := range count {
		if i := (c.firstLimiter + (from+k*step)%c.spread) % n; i != l.cfg.Position {
			c.reportsTo = append(c.reportsTo, i)
		} else if c.usesAggregators() {
			c.isAggregator, c.aggregatorRank, c.sentLevel, c.sentLevelAt = true, k, c.balance, now
			l.aggregated = append(l.aggregated, c)
		}
	}
}

// keep tells the set of each customer kept here its level once its gateways
// believe in more and it is low or soon will be, and with it the margin below
// which less is to pass. The stand-in waits a little, and so acts if the first
// keeper is gone.
func (l *Limiter) sendAggregatedLevels(now float64) {
	for _, c := range l.aggregated {
		l.refill(now, c)
		l.releaseWithheldBurst(c)
		l.grantEscrow(now, c)
		c.decayRecentUnits(now)
		p, pause := l.cfg.Plans[c.plan], l.levelInterval*l.planPacing[c.plan]
		believed := min(p.Burst, c.sentLevel+p.Rate*(now-c.sentLevelAt)/1000)
		ahead := c.balance - lookaheadMs/1000*max(0, c.recentUnits-p.Rate)
		if believed-c.balance <= p.Burst/8 || ahead > lowLevelShare*p.Burst {
			c.overestimatedTicks = 0
		} else if c.overestimatedTicks++; now-c.sentLevelAt >= pause && c.overestimatedTicks > 2*c.aggregatorRank {
			c.sentLevel, c.sentLevelAt, c.overestimatedTicks = c.balance, now, 0
			c.margin = min(p.Burst, marginGain*c.recentUnits*pause/1000)
			l.sendToRange(peerMessage{flags: flagLevelUpdate, entries: []peerEntry{l.entryFor(now, c, 0)}}, c.firstLimiter, c.spread)
		}
	}
}

// levelOf takes in a told level. From a keeper it replaces what was known here,
// but for what passed too lately to be in it; another keeper goes by what it
// hears itself. The answer of an older peer does so for a gateway that just
// started and knows nothing yet.
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

// floor is the lowest level a bucket can come to: each of the customer's gateways
// passes the whole burst before it hears of another. Guards against a peer's word
// that would keep a customer out for long.
func (l *Limiter) minLevel(c *customer) float64 {
	return -l.cfg.Plans[c.plan].Burst * float64(max(1, c.spread))
}
