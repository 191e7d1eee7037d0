// Package quota enforces the quotas of tenants over all limiters of a fleet, without a
// central counter. Each limiter has one token bucket for each tenant. The bucket is
// refilled continuously at the plan's rate, capped at its burst, and pays for the requests
// that this limiter admits and for the units that its peers report: its balance can fall
// below zero.
//
// A host uses an [Enforcer] like this: SetPlans or ChangePlans with each configuration,
// SetMembers with each change of the fleet, Admit for each request. At each tick it takes
// ReportUsage, ReportDigest and LiveSet and sends them to peers by gossip; what comes from
// peers goes to ReceiveUsage and ReceiveDigest. The package reads no clock and does no I/O:
// each call gets the time. All times and durations are milliseconds on the host's steady
// clock.
//
// A limiter may not spend the quota shares of peers that it doesn't receive from:
// share.go has the rule and the bound that follows from it. In large fleets usage is
// summed up by groups: groups.go.
package quota

import (
	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/bucket"
)

const (
	millisPerSecond = 1000
	// defaultWindowS is the window of the operator's rule, in seconds, where none is set.
	defaultWindowS = 5.0
)

// TenantID is the name of a tenant in gossip messages: 40 bits of its name's hash.
func TenantID(name string) uint64 { return xxhash.Sum64String(name) >> 24 }

// Plan is a tenant's quota over all limiters.
type Plan struct {
	Rate  float64 // units a second; 0 is no limit
	Burst float64 // units that the bucket holds at most
}

// Enforcer holds the buckets of one limiter and what it knows of its peers' usage. It is
// not safe for concurrent use: the host's lock guards it.
type Enforcer struct {
	self      Member
	startedAt float64
	windowMs  float64            // of the operator's rule on quotas
	tenants   map[uint64]*tenant // by TenantID
	rows      rowAllocator       // of the tenants in all usage tables
	// Tenants that may have units to report, by this limiter and by its group. A look for
	// reports that are due costs those with requests, not all tenants.
	unreported, groupUnreported map[uint64]*tenant
	peers                       map[uint64]*peer // all other limiters, by Member.ID
	level                       GroupingLevel
	groups                      map[Group]*group // all groups but this limiter's own
	sharing                     sharing
	// inheriting is set once this limiter shares with most peers: from then on its buckets
	// may take over the balances that peers report (inherit.go).
	inheriting bool
	counters   Counters
}

// tenant is a tenant's bucket and usage at this limiter.
type tenant struct {
	plan      Plan
	row       int32 // in the usage tables
	balance   float64
	updatedAt float64      // the balance is refilled up to this time
	admitted  usageCounter // units admitted by this limiter, reported to its group
	inherited inheritance
	pacing    pacing
	surge     surge
	group     usageCounter // units known to be admitted by this limiter's group, reported to other groups
}

// New returns the enforcer of a limiter that starts now.
func New(now float64, self Member) *Enforcer {
	return &Enforcer{
		self:            self,
		startedAt:       now,
		windowMs:        defaultWindowS * millisPerSecond,
		tenants:         map[uint64]*tenant{},
		unreported:      map[uint64]*tenant{},
		groupUnreported: map[uint64]*tenant{},
		peers:           map[uint64]*peer{},
		groups:          map[Group]*group{},
	}
}

// SetWindow sets the window of the operator's rule: in each span of so many seconds a tenant may have its rate for that
// time and its burst. 0 or less: it stays at 5 s.
func (e *Enforcer) SetWindow(seconds float64) {
	if seconds > 0 {
		e.windowMs = seconds * millisPerSecond
	}
}

// floor is the balance below which nothing is drawn from a bucket. It bounds for how long a wrong report can keep a
// tenant out. What peers admitted is paid back as far as the window of the rule reaches: units that were forgiven
// sooner would be admitted once more within it.
func (e *Enforcer) floor(p Plan) float64 { return -p.Burst - p.Rate*e.windowMs/millisPerSecond }

// SetPlans replaces the plans of all tenants, by [TenantID].
func (e *Enforcer) SetPlans(now float64, plans map[uint64]Plan) {
	var removed []uint64
	for id := range e.tenants {
		if _, ok := plans[id]; !ok {
			removed = append(removed, id)
		}
	}
	e.ChangePlans(now, plans, removed)
}

// ChangePlans puts the plans that a new configuration adds or changes, and removes those of
// tenants that no longer exist. An existing bucket keeps its balance, at most the new
// burst: a new configuration gives nobody a fresh burst.
func (e *Enforcer) ChangePlans(now float64, put map[uint64]Plan, removed []uint64) {
	for _, id := range removed {
		if t := e.tenants[id]; t != nil {
			e.releaseRow(t.row)
		}
		delete(e.tenants, id)
		delete(e.unreported, id)
		delete(e.groupUnreported, id)
	}
	for id, plan := range put {
		t := e.tenants[id]
		if t == nil {
			e.tenants[id] = e.newTenant(now, id, plan)
			continue
		}
		e.refill(now, t)
		if t.plan.Rate == 0 && plan.Rate > 0 { // had no limit: nothing was saved up
			t.balance = 0
		}
		t.plan, t.balance = plan, min(t.balance, plan.Burst)
	}
}

// newTenant returns a tenant whose bucket holds this limiter's share of the burst, and what
// the plan has refilled since this limiter's start.
func (e *Enforcer) newTenant(now float64, id uint64, plan Plan) *tenant {
	limiters := float64(len(e.peers) + 1)
	row, started := e.rows.allocate(), now-e.startedAt
	t := &tenant{
		plan:      plan,
		row:       row,
		pacing:    pacing{phase: e.pacingPhase(id)},
		inherited: inheritance{awaited: started <= inheritWindowMs},
		balance:   min(plan.Burst, plan.Burst/limiters+plan.Rate*started/millisPerSecond),
		updatedAt: now,
	}
	if t.inherited.awaited { // the bucket may be exhausted: many that start together would each spend what is left
		t.pacing.start(now)
	}
	return t
}

// Admit takes one unit for a request. If the bucket is short of it, Admit returns false and
// the time until there will be a unit, as far as is known here.
func (e *Enforcer) Admit(now float64, id uint64) (waitMs float64, ok bool) {
	t := e.tenants[id]
	if t == nil || t.plan.Rate <= 0 {
		return 0, true
	}
	e.refill(now, t)
	if t.balance < 1 || t.inherited.heldEmpty(now) {
		e.counters.RejectedEmpty++
		t.pacing.exhausted(now)
		return millisPerSecond * bucket.Wait(t.balance, 1, t.plan.Rate*e.currentShare(now)), false
	}
	if t.balance-t.surge.unheard(now, e.gossipMs()) < 1 {
		t.pacing.start(now)
	}
	if waitMs, ok := e.paced(now, t); !ok {
		e.counters.RejectedPaced++
		return waitMs, false
	}
	t.balance--
	e.counters.Admitted++
	t.pacing.noteAdmitted(now)
	t.surge.noteAdmitted(now, e.gossipMs())
	t.admitted.total++
	t.group.total++
	e.unreported[id], e.groupUnreported[id] = t, t
	return 0, true
}

// refill brings a bucket up to date, at this limiter's share of the plan.
func (e *Enforcer) refill(now float64, t *tenant) {
	share := e.currentShare(now)
	t.balance = bucket.Refill(t.balance, (now-t.updatedAt)/millisPerSecond, t.plan.Rate*share, t.plan.Burst*share)
	t.updatedAt = now
}

// draw takes units that others admitted from the bucket, below zero too.
func (e *Enforcer) draw(now float64, t *tenant, units uint64) {
	e.refill(now, t)
	before := t.balance
	t.balance = bucket.Draw(t.balance, float64(units), e.floor(t.plan))
	drawn := before - t.balance
	e.counters.Drawn += drawn
	e.counters.Forgiven += float64(units) - drawn
	t.inherited.noteDrawn(units)
	t.pacing.noteDrawn(now, units)
	t.surge.noteDrawn(now, float64(units))
	t.pacing.noteBalance(t.balance, t.plan.Burst)
}

// Balance returns the balance of a tenant's bucket, for status reports. It is 0 for an
// unknown tenant.
func (e *Enforcer) Balance(now float64, id uint64) float64 {
	t := e.tenants[id]
	if t == nil {
		return 0
	}
	e.refill(now, t)
	return t.balance
}
