package balancer

// Admission control: each customer has a token bucket with the global rate and burst of its
// plan, against which its requests are checked.

import (
	"slices"

	"example.org/elmspan/bucket"
)

// getOrCreateCustomer returns the record of a customer and creates it on first use. A new
// bucket holds the burst divided by limiterCount, plus the refill since this limiter started.
// The rest of the burst is withheld until the peers have responded, as they may know of units
// spent before.
func (l *Limiter) getOrCreateCustomer(now float64, id uint64, plan, limiterCount int) *customer {
	if c := l.customers[id]; c != nil {
		return c
	}
	p := l.cfg.Plans[plan]
	limiters := float64(max(1, min(limiterCount, l.cfg.Balancers)))
	c := &customer{id: id, plan: plan, refilledAt: now, lastActiveAt: now, limitsInFlight: p.MaxInFlight > 0}
	c.balance = min(p.Burst, p.Burst/limiters+p.Rate*(now-l.startedAt)/1000)
	c.withheldBurst = p.Burst - c.balance
	l.customers[id] = c
	l.customerList = append(l.customerList, c)
	return c
}

// releaseWithheldBurst adds the withheld part of a customer's burst to its bucket once all its
// peers have responded to the request for levels: units that they did not report have not been
// spent. While a response is missing, only the refill raises the bucket.
func (l *Limiter) releaseWithheldBurst(c *customer) {
	if c.withheldBurst == 0 || !l.levelsComplete(c) {
		return
	}
	c.balance = min(l.cfg.Plans[c.plan].Burst, c.balance+c.withheldBurst)
	c.sentLevel += c.withheldBurst
	c.withheldBurst = 0
}

// levelsComplete reports whether the peers that know a customer's level have responded.
func (l *Limiter) levelsComplete(c *customer) bool {
	if c.usesAggregators() {
		return l.neighborResponded
	}
	return !slices.ContainsFunc(c.reportsTo, func(i int) bool { return !l.peers[i].responded })
}

// refill brings a customer's bucket and escrow up to date.
func (l *Limiter) refill(now float64, c *customer) {
	p, seconds := l.cfg.Plans[c.plan], (now-c.refilledAt)/1000
	c.refilledAt = now
	c.balance = bucket.Refill(c.balance, seconds, p.Rate, p.Burst)
	if c.limiterCount == 0 {
		return
	}
	part := c.escrowPart()
	for k := range c.escrow {
		c.escrow[k] = min(p.HardBurst*part, c.escrow[k]+seconds*p.HardRate*part)
	}
	c.escrowDeficit = max(0, c.escrowDeficit-seconds*p.HardRate/aggregatorCount)
}

// checkQuota reports whether a customer may spend units now. If not, wait is the time in ms
// until it may, as far as this limiter knows.
func (l *Limiter) checkQuota(c *customer, units float64) (wait float64, ok bool) {
	p := l.cfg.Plans[c.plan]
	// In a large set other limiters admit requests that are not known here yet. Below the
	// margin that came with a level, the lower the balance, the fewer requests are admitted. A
	// full bucket has no margin.
	if p.Rate > 0 && c.balance < units+min(c.margin, p.Burst-c.balance)*l.rng.Float64() {
		wait = bucket.Wait(c.balance, units, p.Rate) * 1000
	}
	if held := c.escrowBalance(); p.HardRate > 0 && held < units {
		wait = max(wait, (units-held)/p.HardRate*float64(c.limiterCount)*1000)
	}
	if p.MaxInFlight > 0 && c.totalInFlight() >= p.MaxInFlight {
		wait = max(wait, tickIntervalMs)
	}
	return wait, wait == 0
}

// spend charges units that this limiter admits. A request is charged once, at its first
// attempt.
func (l *Limiter) spend(now float64, c *customer, units float64) {
	c.balance, c.spent = c.balance-units, c.spent+units
	for k := range c.escrow {
		c.escrow[k] -= units / aggregatorCount
	}
	l.recordEscrowSpending(c, l.cfg.Position, units)
	c.lastSpentAt, c.lastUnits = now, units
	l.markUnreported(c)
}

// handleSubmit admits a request and starts its first attempt, or rejects it. The quota is
// checked before the choice of a server and charged after it, as only forwarded requests count.
func (l *Limiter) handleSubmit(now float64, e Submit) {
	if l.requests[e.ID] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(l.cfg.Classes) || e.Plan < 0 || e.Plan >= len(l.cfg.Plans) {
		l.emit(Reject{ID: e.ID})
		return
	}
	c := l.getOrCreateCustomer(now, e.Customer, e.Plan, e.LimiterCount)
	if c.limiterCount == 0 {
		l.assignLimiterSet(now, c, e.LimiterCount, e.FirstLimiter)
	}
	l.refill(now, c)
	l.releaseWithheldBurst(c)
	c.lastActiveAt = now
	units := max(0, e.Units)
	if wait, ok := l.checkQuota(c, units); !ok {
		l.reject(e.ID, wait)
		return
	}
	r := &request{id: e.ID, class: e.Class, units: units, customer: c, deadlineAt: now + e.TimeoutMs}
	s, wait := l.admitToServer(now, r)
	if s == nil {
		l.reject(e.ID, wait)
		return
	}
	l.requests[r.id] = r
	l.spend(now, c, units)
	l.retryBudget = min(maxRetryBudget, l.retryBudget+retryBudgetShare)
	l.startAttempt(now, r, s)
}

// reject sends the final response that the request was not executed, with the time in ms after
// which a retry may succeed, up to the longest that clients honor.
func (l *Limiter) reject(id string, wait float64) {
	if !l.cfg.Caps.RetryAfter {
		wait = 0
	}
	l.emit(Reject{ID: id, RetryAfterMs: min(wait, l.cfg.Caps.MaxRetryAfterMs)})
}
