package quota

// inheritWindowMs is how long after its start a limiter takes over balances from peers.
const inheritWindowMs = 3000.0

// fullLevel is the fill level of a full bucket in [Usage].
const fullLevel = 255

// inheritance is the state of a bucket that takes over its balance from peers.
//
// The buckets of all limiters are copies of one bucket. A limiter that has just started has
// not heard what was saved up in it. Without the peers' balance, requests would be refused
// here until the bucket has filled, although the tenant is far below its quota.
type inheritance struct {
	requested bool    // once for a bucket
	balance   float64 // to take over as soon as this limiter shares with most peers; 0: nothing
	drawn     float64 // units drawn since the balance was reported
}

// noteDrawn counts units that the inherited balance doesn't have to pay for again.
func (i *inheritance) noteDrawn(units uint64) {
	if i.balance > 0 {
		i.drawn += float64(units)
	}
}

// inherit has a bucket take over the fill level that a peer reports, once, within
// inheritWindowMs of this limiter's start.
func (e *Enforcer) inherit(now float64, t *tenant, fillLevel uint8) {
	if t.inherited.requested || now-e.startedAt > inheritWindowMs {
		return
	}
	t.inherited.requested = true
	if t.inherited.balance = t.plan.Burst * float64(fillLevel) / fullLevel; e.inheriting {
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
