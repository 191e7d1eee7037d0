package quota

// inheritWindowMs is how long after its start a limiter takes over balances from peers.
const inheritWindowMs = 3000.0

// fullLevel is the fill level of a full bucket in [Usage].
const fullLevel = 255

// SeniorityMs is how much longer than this limiter a peer must have run for its report of a balance
// to count. By then it has received from other limiters itself.
const SeniorityMs = 500.0

// emptyReportHoldMs is how long a report of an empty bucket applies at a limiter that has just
// started. Peers repeat the report sooner than that.
const emptyReportHoldMs = 1000.0

// inheritance is the state of a bucket that takes over its balance from peers.
//
// The buckets of a tenant at all limiters are replicas of one bucket. A limiter that has just
// started has not received the usage that led to the current balance, which may be saved up or
// overdrawn. Without the balance of its peers it would reject requests until its bucket has filled,
// although the tenant is far below its quota, or admit requests while its peers pay back an
// overdraft.
type inheritance struct {
	pending         bool    // a peer's report of the balance is still accepted
	balance         float64 // to apply once this limiter shares with most peers; 0: none
	drawn           float64 // units drawn since the balance was reported
	reportedEmptyAt float64 // when a peer last reported an empty bucket; 0: never
}

// recordDrawn counts units that were drawn after the balance was reported. They are subtracted when
// the balance is applied.
func (i *inheritance) recordDrawn(units uint64) {
	if i.balance > 0 {
		i.drawn += float64(units)
	}
}

// acceptsReport reports whether a report of the balance is still accepted: within inheritWindowMs
// of this limiter's start, and afterwards as long as peers keep reporting that the bucket is empty.
func (i *inheritance) acceptsReport(now, startedAt float64) bool {
	if i.pending && now-startedAt > inheritWindowMs && now-i.reportedEmptyAt > emptyReportHoldMs {
		i.pending = false
	}
	return i.pending
}

// assumedEmpty reports whether peers have recently reported that the bucket is empty. Meanwhile
// this limiter admits nothing.
func (i *inheritance) assumedEmpty(now float64) bool {
	return i.pending && i.reportedEmptyAt > 0 && now-i.reportedEmptyAt <= emptyReportHoldMs
}

// inherit takes over the fill level reported by a peer that has run for at least SeniorityMs longer
// than this limiter. A lower balance applies immediately, a higher one from startInheriting on. The
// balance of a bucket that is reported as empty may be far below zero, so the bucket is assumed to
// be empty until peers report a positive fill level.
func (e *Enforcer) inherit(now float64, t *tenant, ageMs float64, fillLevel uint8) {
	if !t.inherited.acceptsReport(now, e.startedAt) || ageMs < now-e.startedAt+SeniorityMs {
		return
	}
	e.refill(now, t)
	if fillLevel == 0 {
		t.balance, t.inherited.reportedEmptyAt = min(t.balance, 0), now
		t.pacing.recordExhausted(now)
		return
	}
	t.inherited.pending = false
	level := t.plan.Burst * float64(fillLevel) / fullLevel
	t.balance = min(t.balance, level)
	if t.inherited.balance = level; e.inheriting {
		e.applyInherited(now, t)
	}
}

// startInheriting applies all reported balances. It is called once most peers share with this
// limiter: only then do they draw the units that it admits.
func (e *Enforcer) startInheriting(now float64) {
	e.inheriting = true
	for _, t := range e.tenants {
		e.applyInherited(now, t)
	}
}

// applyInherited raises a bucket's balance to the one that was reported, less the units drawn
// since.
func (e *Enforcer) applyInherited(now float64, t *tenant) {
	i := &t.inherited
	if i.balance > 0 {
		e.refill(now, t)
		t.balance = max(t.balance, min(i.balance-i.drawn, t.plan.Burst))
		e.counters.Inherited++
	}
	i.balance, i.drawn = 0, 0
}
