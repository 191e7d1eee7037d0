package balancer

// Aggregation of a customer's spending in a large set of limiters. Two aggregators receive the
// reports of all limiters and send the level of the bucket to the set when it is low.

import (
	"math"
	"slices"
)

const (
	// maxPlanPacing is the largest factor on the interval between two levels. A level of a plan
	// of a low rate that goes to dozens of limiters displaces levels of plans of higher rates, so
	// it may be delayed longer.
	maxPlanPacing = 12.0
	// lookaheadMs is how far ahead an aggregator predicts a low level, in ms.
	lookaheadMs = 500.0
	// lowLevelShare is the share of the burst below which a level is low.
	lowLevelShare = 0.4
	// marginGain is the ratio of the margin sent with a level to the units spent between two
	// levels.
	marginGain = 2.0
)

// planPacing returns each plan's factor on the interval between two levels. Messages are limited,
// and what a late level costs is what others admit meanwhile: levels are sent more often for
// plans of a high rate and with bursts that are soon spent.
func planPacing(plans []Plan) []float64 {
	meanRate := 0.0
	for _, p := range plans {
		meanRate += p.Rate / float64(len(plans))
	}
	var pacing []float64
	for _, p := range plans {
		rate := max(1e-9, p.Rate)
		factor := p.Burst / rate / 4 * meanRate / rate
		pacing = append(pacing, max(0.1, min(maxPlanPacing, factor)))
	}
	return pacing
}

// assignLimiterSet records which limiters receive a customer's requests, and which of them are
// sent reports on what is admitted here. In a small set it is all of them. In a large set two
// aggregators, which all limiters derive from the customer's id, receive the reports of all
// limiters and send the level to the set when it is low. An admission is thus known everywhere
// after two messages, and none counts twice, as a level replaces what was known.
func (l *Limiter) assignLimiterSet(now float64, c *customer, limiterCount, first int) {
	n, p := l.cfg.Balancers, l.cfg.Plans[c.plan]
	l.refill(now, c) // before the escrow is created, as its first balance includes the refill until now
	c.limiterCount, c.firstLimiter = max(1, min(limiterCount, n)), ((first%n)+n)%n
	c.initialHardBurst = p.HardBurst
	if !l.newFleet {
		c.initialHardBurst = min(p.HardBurst, p.HardRate*(now-l.startedAt)/1000)
	}
	for k := range c.escrow {
		c.escrow[k] = c.initialHardBurst * c.escrowPart()
	}
	if !c.usesAggregators() {
		for k := range c.limiterCount {
			if i := (c.firstLimiter + k%c.limiterCount) % n; i != l.cfg.Position {
				c.reportsTo = append(c.reportsTo, i)
			}
		}
		return
	}
	h := hash64(c.id)
	from, step := int(h%uint64(c.limiterCount)), 1+int(h>>32)%(c.limiterCount-1)
	for rank := range aggregatorCount {
		if i := (c.firstLimiter + (from+rank*step)%c.limiterCount) % n; i != l.cfg.Position {
			c.reportsTo = append(c.reportsTo, i)
			continue
		}
		c.isAggregator, c.aggregatorRank, c.sentLevel, c.sentLevelAt = true, rank, c.balance, now
		l.aggregated = append(l.aggregated, c)
	}
}

// sendAggregatedLevels sends the due levels of the customers that this limiter aggregates.
func (l *Limiter) sendAggregatedLevels(now float64) {
	for _, c := range l.aggregated {
		l.refill(now, c)
		l.releaseWithheldBurst(c)
		l.grantEscrow(now, c)
		c.decayRecentUnits(now)
		l.sendLevelIfDue(now, c)
	}
}

// sendLevelIfDue sends a customer's level to its set if the set assumes a higher one and the
// level is low or soon will be. The message carries the margin below which fewer requests are
// to be admitted. The standby waits some ticks longer: it sends only if the first aggregator
// has failed.
func (l *Limiter) sendLevelIfDue(now float64, c *customer) {
	p, interval := l.cfg.Plans[c.plan], l.levelInterval*l.planPacing[c.plan]
	assumed := min(p.Burst, c.sentLevel+p.Rate*(now-c.sentLevelAt)/1000)
	predicted := c.balance - lookaheadMs/1000*max(0, c.recentUnits-p.Rate)
	if assumed-c.balance <= p.Burst/8 || predicted > lowLevelShare*p.Burst {
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
	l.sendToRange(level, c.firstLimiter, c.limiterCount)
}

// applyLevel applies a level received from a peer. A level from an aggregator replaces the
// balance, less what was admitted here too recently to be included in it. An aggregator that
// knows the level ignores that of the other one and relies on the reports that it receives
// itself. The response of an older peer sets the level for a limiter that has just started and
// knows none yet.
func (l *Limiter) applyLevel(now float64, from int, m *peerMessage, en peerEntry) {
	if !l.acceptsCustomer(en.customer) {
		return
	}
	c := l.getOrCreateCustomer(now, en.customer, int(en.plan), l.cfg.Balancers)
	burst := l.cfg.Plans[c.plan].Burst
	level := min(burst, max(l.minLevel(c), float64(en.level)/unitScale))
	l.refill(now, c)
	if m.flags&flagLevelsResponse != 0 {
		if age := now - l.startedAt; !c.levelKnown && age < levelsRequestMs && float64(m.ageMs) > age {
			c.setLevel(now, level-c.spent)
		}
		return
	}
	if c.limiterCount > 0 && !slices.Contains(c.reportsTo, from) {
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

// minLevel is the lowest level that a bucket can reach: each of the customer's limiters admits
// the whole burst before it receives a report. It bounds the level received from a peer, which
// could otherwise lock a customer out for long.
func (l *Limiter) minLevel(c *customer) float64 {
	return -l.cfg.Plans[c.plan].Burst * float64(max(1, c.limiterCount))
}
