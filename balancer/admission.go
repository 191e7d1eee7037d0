package balancer

// This file decides on admission: the token bucket of each customer, held at the plan's
// global rate and burst, and the checks of a request against it.

import (
	"slices"

	"example.org/elmspan/bucket"
)

// customerOf returns the record of a customer, made on first sight. One not
// seen before starts with the burst split over its gateways, refilled since
// this gateway started; the rest is held back until its peers are heard.
func (l *Limiter) lookupCustomer(now float64, id uint64, plan, spread int) *customer {
	c := l.customers[id]
	if c == nil {
		c = &customer{id: id, plan: plan, refilledAt: now, seenAt: now, limitsInFlight: l.cfg.Plans[plan].MaxInFlight > 0}
		p, n := l.cfg.Plans[plan], float64(max(1, min(spread, l.cfg.Balancers)))
		c.balance = min(p.Burst, p.Burst/n+p.Rate*(now-l.startedAt)/1000)
		c.withheldBurst = p.Burst - c.balance
		l.customers[id] = c
		l.customerList = append(l.customerList, c)
	}
	return c
}

// release grants what was held back of an unseen customer's burst once all
// its peers have answered this gateway's question: what they did not tell of
// has not been spent. Silence of any of them leaves it to the refill.
func (l *Limiter) releaseWithheldBurst(c *customer) {
	if c.withheldBurst == 0 || c.usesAggregators() && !l.neighborAnswered ||
		!c.usesAggregators() && slices.ContainsFunc(c.reportsTo, func(i int) bool { return !l.peers[i].answered }) {
		return
	}
	c.balance, c.sentLevel, c.withheldBurst = min(l.cfg.Plans[c.plan].Burst, c.balance+c.withheldBurst), c.sentLevel+c.withheldBurst, 0
}

// refill brings a customer's bucket and its part of the ceiling up to date.
func (l *Limiter) refill(now float64, c *customer) {
	p, s := l.cfg.Plans[c.plan], (now-c.refilledAt)/1000
	c.refilledAt = now
	c.balance = bucket.Refill(c.balance, s, p.Rate, p.Burst)
	if c.spread > 0 {
		part := c.escrowPart()
		for k := range c.escrow {
			c.escrow[k] = min(p.HardBurst*part, c.escrow[k]+s*p.HardRate*part)
		}
		c.escrowDeficit = max(0, c.escrowDeficit-s*p.HardRate/aggregatorCount)
	}
}

// allows tells whether the quota and the ceiling have room; if not, wait is
// the time until they will have, as far as known here.
func (l *Limiter) checkQuota(c *customer, units float64) (wait float64, ok bool) {
	p := l.cfg.Plans[c.plan]
	// In a large set others pass what is not known here yet: below the margin told
	// with a level, the lower it is the less passes. A full bucket has no margin.
	if p.Rate > 0 && c.balance < units+min(c.margin, p.Burst-c.balance)*l.rng.Float64() {
		wait = bucket.Wait(c.balance, units, p.Rate) * 1000
	}
	// The ceiling is held by escrow: each gateway of the set owns an equal
	// part of its store and rate, so that the sum of all never exceeds it,
	// whatever is lost or late. A starting gateway begins with nothing.
	// In a large set keepers give back early what the store has regained.
	if share := c.escrowBalance(); p.HardRate > 0 && share < units {
		wait = max(wait, (units-share)/p.HardRate*float64(c.spread)*1000)
	}
	if p.MaxInFlight > 0 && c.totalInFlight() >= p.MaxInFlight {
		wait = max(wait, tickIntervalMs)
	}
	return wait, wait == 0
}

// spend takes units that this gateway lets through. Only the first attempt
// of a request spends.
func (l *Limiter) spend(now float64, c *customer, units float64) {
	c.balance, c.spent = c.balance-units, c.spent+units
	for k := range c.escrow {
		c.escrow[k] -= units / aggregatorCount
	}
	l.recordEscrowSpending(c, l.cfg.Position, units)
	c.lastSpentAt, c.lastUnits = now, units
	l.markUnreported(c)
}

func (l *Limiter) handleSubmit(now float64, e Submit) {
	if l.requests[e.ID] != nil {
		return
	} else if e.Class < 0 || e.Class >= len(l.cfg.Classes) || e.Plan < 0 || e.Plan >= len(l.cfg.Plans) {
		l.emit(Reject{ID: e.ID})
		return
	}
	c := l.lookupCustomer(now, e.Customer, e.Plan, e.Spread)
	if c.spread == 0 {
		l.setMembership(now, c, e.Spread, e.First)
	}
	l.refill(now, c)
	l.releaseWithheldBurst(c)
	c.seenAt = now
	units := max(0, e.Units)
	aim := l.timeToTarget(e)
	if wait, ok := l.checkQuota(c, units); !ok {
		l.reject(e.ID, wait)
		return
	} else if aim <= 0 {
		l.reject(e.ID, l.cfg.Caps.MaxRetryAfterMs)
		return
	}
	r := &request{id: e.ID, class: e.Class, units: units, customer: c, targetAt: now + aim}
	r.deadlineAt = now + e.TimeoutMs
	l.setWaitFactor(r)
	s, wait := l.chooseServer(now, r)
	if s == nil {
		l.overloadPressure += averagingWeight * (1 - l.overloadPressure)
		l.reject(e.ID, wait)
		return
	}
	l.overloadPressure -= averagingWeight * l.overloadPressure
	l.requests[r.id] = r
	l.spend(now, c, units)
	l.retryBudget = min(maxRetryBudget, l.retryBudget+retryBudgetShare)
	l.startAttempt(now, r, s)
}

// refuse turns a request away; the advice is never longer than clients heed.
func (l *Limiter) reject(id string, wait float64) {
	if !l.cfg.Caps.RetryAfter {
		wait = 0
	}
	l.emit(Reject{ID: id, RetryAfterMs: min(wait, l.cfg.Caps.MaxRetryAfterMs)})
}
