package quota

// inheritWindowMs is how long after its start a limiter takes over balances from peers.
const inheritWindowMs = 3000.0

// fullLevel is the fill level of a full bucket in [Usage].
const fullLevel = 255

// SeniorityMs is by how much longer than this limiter a peer must have run for its report to count: it has received
// from others by then.
const SeniorityMs = 500.0

// lowReportMs is how long a report of an empty bucket holds for a limiter that has just started: longer than peers wait
// before they repeat it.
const lowReportMs = 1000.0

// inheritance is the state of a bucket that takes over its balance from peers.
//
// The buckets of all limiters are copies of one bucket. A limiter that has just started has not received what was
// saved up in it, or what has to be paid back. Without the peers' balance, requests would be refused here until the
// bucket has filled, although the tenant is far below its quota; or they would be admitted while the peers pay back.
type inheritance struct {
	awaited bool    // a peer's report of the balance is still of use
	balance float64 // to take over as soon as this limiter shares with most peers; 0: nothing
	drawn   float64 // units drawn since the balance was reported
	lowAt   float64 // the last time when a peer reported an empty bucket; 0: never
}

// noteDrawn counts units that the inherited balance doesn't have to pay for again.
func (i *inheritance) noteDrawn(units uint64) {
	if i.balance > 0 {
		i.drawn += float64(units)
	}
}

// expects reports whether a report of the balance is of use: for a while after this limiter's start, and as long as
// peers go on to report that the bucket is empty.
func (i *inheritance) expects(now, startedAt float64) bool {
	if i.awaited && now-startedAt > inheritWindowMs && now-i.lowAt > lowReportMs {
		i.awaited = false
	}
	return i.awaited
}

// heldEmpty reports whether peers report that the bucket is empty: nothing is admitted here until they report
// otherwise.
func (i *inheritance) heldEmpty(now float64) bool {
	return i.awaited && i.lowAt > 0 && now-i.lowAt <= lowReportMs
}

// inherit has a bucket take over the fill level that a peer reports which has run for longer than this limiter. An
// empty bucket may be far below zero: it is held empty here, until peers report that there is something in it.
func (e *Enforcer) inherit(now float64, t *tenant, ageMs float64, fillLevel uint8) {
	if !t.inherited.expects(now, e.startedAt) || ageMs < now-e.startedAt+SeniorityMs {
		return
	}
	e.refill(now, t)
	if fillLevel == 0 {
		t.balance, t.inherited.lowAt = min(t.balance, 0), now
		t.pacing.exhausted(now)
		return
	}
	t.inherited.awaited = false
	level := t.plan.Burst * float64(fillLevel) / fullLevel
	t.balance = min(t.balance, level)
	if t.inherited.balance = level; e.inheriting {
		e.applyInherited(now, t)
	}
}

// startInheriting applies all balances that wait. It is called once most peers share with
// this limiter: only then they pay for what is admitted here.
func (e *Enforcer) startInheriting(now float64) {
	e.inheriting = true
	for _, t := range e.tenants {
		e.applyInherited(now, t)
	}
}

func (e *Enforcer) applyInherited(now float64, t *tenant) {
	i := &t.inherited
	if i.balance > 0 {
		e.refill(now, t)
		t.balance = max(t.balance, min(i.balance-i.drawn, t.plan.Burst))
		e.counters.Inherited++
	}
	i.balance, i.drawn = 0, 0
}
