// Package quota enforces tenant quotas across all limiters of a fleet without a central counter.
// Each limiter has one token bucket per tenant. The bucket is refilled continuously at the plan's
// rate, up to its burst. A limiter draws from it the requests that it admits and the units that its
// peers report, so its balance can become negative.
//
// A host calls the methods of an [Enforcer]: SetPlans or ChangePlans with each configuration,
// SetMembers with each membership change, and Admit for each request. At each tick it sends the
// results of ReportUsage, ReportDigest and LiveSet to peers by gossip, and passes what it receives
// to ReceiveUsage and ReceiveDigest. The package reads no clock and does no I/O: the time is a
// parameter of each call. All times and durations are in milliseconds of the host's monotonic
// clock.
//
// A limiter must not spend the quota shares of peers that it does not receive from: share.go
// describes the rule and the bound that follows from it. In large fleets usage is aggregated by
// group: see groups.go.
package quota

import (
	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/bucket"
)

const (
	millisPerSecond = 1000
	// forgetAfterWindows is how many windows of the quota rule the bucket of a removed tenant is kept:
	// one for the window itself, one for limiters that learn of the change, and of usage, later.
	forgetAfterWindows = 2
	// defaultWindowS (seconds) and defaultSlackUnits are the bounds of the operator's quota rule where
	// the settings leave them out.
	defaultWindowS    = 5.0
	defaultSlackUnits = 20.0
)

// TenantID returns the identifier of a tenant in gossip messages: the upper 40 bits of its name's
// hash.
func TenantID(name string) uint64 { return xxhash.Sum64String(name) >> 24 }

// Plan is the quota of a tenant across all limiters.
type Plan struct {
	Rate  float64 // units per second; 0: unlimited
	Burst float64 // capacity of the bucket in units
}

// Bounds of a plan. Beyond them the arithmetic of buckets would overflow or lose single units.
const (
	maxRate  = 1e9  // units per second; a higher rate limits nothing
	maxBurst = 1e12 // units
)

// A plan without a burst gets the smallest bucket that lets its rate through: requests do not arrive
// evenly, and the bucket of each limiter must be able to hold a unit.
const (
	minBurst         = 1.0 // units
	minBurstOfRateMs = 200 // the time in which the rate fills the bucket
)

// NewPlan returns the plan for the rate and burst that an operator has set, which may be any
// numbers. A rate that is not above 0, or above any possible traffic, is unlimited. A burst that is
// not above 0 is left out: the plan gets the smallest bucket that lets its rate through.
func NewPlan(rate, burst float64) Plan {
	if !(rate > 0 && rate <= maxRate) { // also NaN
		return Plan{}
	}
	if !(burst > 0) {
		burst = max(minBurst, rate*minBurstOfRateMs/millisPerSecond)
	}
	return Plan{Rate: rate, Burst: min(burst, maxBurst)}
}

// Enforcer holds the buckets of one limiter and what it knows of the usage at its peers. It is not
// safe for concurrent use: the host must hold a lock.
type Enforcer struct {
	self      Member
	startedAt float64
	windowMs  float64 // of the quota rule
	// slackUnits is what the quota rule allows any tenant beyond its quota in a window.
	slackUnits float64
	tenants    map[uint64]*tenant // by TenantID; also those that are being forgotten
	// forgetAt is when each tenant that was removed from the configuration is forgotten.
	forgetAt map[uint64]float64
	rows     rowAllocator // of the tenants in all usage tables
	// Tenants that may have unreported usage, of this limiter and of its group. Looking for reports
	// that are due visits only these, not all tenants.
	unreported, groupUnreported map[uint64]*tenant
	peers                       map[uint64]*peer // all other limiters, by Member.ID
	level                       GroupingLevel
	groups                      map[Group]*group // all groups except this limiter's own
	sharing                     sharing
	// inheriting is set once this limiter shares with most peers. From then on its buckets may take
	// over the balances that peers report (inherit.go).
	inheriting bool
	counters   Counters
}

// tenant is the bucket and the usage of a tenant at this limiter.
type tenant struct {
	plan          Plan
	row           int32 // in the usage tables
	balance       float64
	updatedAt     float64      // the balance includes the refill up to this time
	admitted      usageCounter // units admitted by this limiter, reported to its group
	inherited     inheritance
	pacing        pacing
	surge         surge
	groupAdmitted usageCounter // known units admitted by this limiter's group, reported to other groups
}

// New returns the enforcer of a limiter that starts now.
func New(now float64, self Member) *Enforcer {
	return &Enforcer{
		self:            self,
		startedAt:       now,
		windowMs:        defaultWindowS * millisPerSecond,
		slackUnits:      defaultSlackUnits,
		tenants:         map[uint64]*tenant{},
		forgetAt:        map[uint64]float64{},
		unreported:      map[uint64]*tenant{},
		groupUnreported: map[uint64]*tenant{},
		peers:           map[uint64]*peer{},
		groups:          map[Group]*group{},
	}
}

// SetRule sets the operator's quota rule: in any interval of windowS seconds a tenant may use its rate
// times the length of the interval, plus its burst and a tolerance, of which slackUnits do not depend
// on its plan. Values of 0 or less are ignored; the defaults are 5 s and 20 units.
func (e *Enforcer) SetRule(windowS, slackUnits float64) {
	if windowS > 0 {
		e.windowMs = windowS * millisPerSecond
	}
	if slackUnits > 0 {
		e.slackUnits = slackUnits
	}
}

// floor returns the balance below which nothing is drawn from a bucket. It bounds how long an
// incorrect report can block a tenant. The debt to pay back covers a whole window of the quota
// rule: if it were smaller, units that were forgiven could be admitted again within the window.
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

// ChangePlans adds or replaces the plans in put, and removes the plans of the tenants in removed.
// An existing bucket keeps its balance, capped at the new burst: a new configuration does not grant
// a fresh burst. That holds also for a tenant that is removed and added again: its bucket is
// forgotten only when nothing admitted before counts in a window of the quota rule any more.
func (e *Enforcer) ChangePlans(now float64, put map[uint64]Plan, removed []uint64) {
	for _, id := range removed {
		if _, ok := e.forgetAt[id]; !ok && e.tenants[id] != nil {
			e.forgetAt[id] = now + forgetAfterWindows*e.windowMs
		}
	}
	for id := range put {
		delete(e.forgetAt, id)
	}
	e.forgetRemoved(now)
	for id, plan := range put {
		t := e.tenants[id]
		if t == nil {
			e.tenants[id] = e.newTenant(now, id, plan)
			continue
		}
		e.refill(now, t)
		if t.plan.Rate == 0 && plan.Rate > 0 { // was unlimited: no balance has accumulated
			t.balance = 0
		}
		t.plan, t.balance = plan, min(t.balance, plan.Burst)
	}
}

// forgetRemoved forgets the tenants that were removed long enough ago.
func (e *Enforcer) forgetRemoved(now float64) {
	for id, at := range e.forgetAt {
		if now < at {
			continue
		}
		if t := e.tenants[id]; t != nil {
			e.releaseRow(t.row)
		}
		delete(e.forgetAt, id)
		delete(e.tenants, id)
		delete(e.unreported, id)
		delete(e.groupUnreported, id)
	}
}

// newTenant returns a tenant whose bucket holds this limiter's share of the burst, plus what the
// plan has refilled since this limiter's start.
func (e *Enforcer) newTenant(now float64, id uint64, plan Plan) *tenant {
	limiters := float64(len(e.peers) + 1)
	row, ageMs := e.rows.allocate(), now-e.startedAt
	t := &tenant{
		plan:      plan,
		row:       row,
		pacing:    pacing{initialTokens: e.initialPacingTokens(id)},
		inherited: inheritance{pending: ageMs <= inheritWindowMs},
		balance:   min(plan.Burst, plan.Burst/limiters+plan.Rate*ageMs/millisPerSecond),
		updatedAt: now,
	}
	// The bucket may be exhausted. Limiters that start together would otherwise each spend what is
	// left.
	if t.inherited.pending {
		t.pacing.start(now)
	}
	return t
}

// Admit checks and charges a request in one step.
func (e *Enforcer) Admit(now float64, id uint64) (waitMs float64, ok bool) {
	if waitMs, ok = e.Check(now, id); ok {
		e.Charge(now, id)
	}
	return waitMs, ok
}

// Check reports whether there is a unit for a request. If not, it returns the time until one is
// expected to be available. It takes none: a request that reaches no server costs its tenant nothing.
func (e *Enforcer) Check(now float64, id uint64) (waitMs float64, ok bool) {
	t := e.tenants[id]
	if t == nil || t.plan.Rate <= 0 {
		return 0, true
	}
	e.refill(now, t)
	if t.balance < 1 || t.inherited.assumedEmpty(now) {
		e.counters.RejectedEmpty++
		t.pacing.recordExhausted(now)
		return millisPerSecond * bucket.Wait(t.balance, 1, t.plan.Rate*e.currentShare(now)), false
	}
	if t.balance-t.surge.estimateUnreceived(now, e.gossipDelayMs()) < 1 {
		t.pacing.start(now)
	}
	if waitMs, ok := e.checkPacing(now, t); !ok {
		e.counters.RejectedPaced++
		return waitMs, false
	}
	return 0, true
}

// Charge takes one unit for a request that is sent to a server now. Check must have let it through at
// the same time.
func (e *Enforcer) Charge(now float64, id uint64) {
	t := e.tenants[id]
	if t == nil || t.plan.Rate <= 0 {
		return
	}
	e.refill(now, t)
	t.balance--
	t.pacing.takeToken()
	e.counters.Admitted++
	t.pacing.recordAdmitted(now)
	t.surge.recordAdmitted(now, e.gossipDelayMs())
	t.admitted.total++
	t.groupAdmitted.total++
	e.unreported[id], e.groupUnreported[id] = t, t
}

// refill brings a bucket up to date, at this limiter's share of the plan.
func (e *Enforcer) refill(now float64, t *tenant) {
	share := e.currentShare(now)
	t.balance = bucket.Refill(t.balance, (now-t.updatedAt)/millisPerSecond, t.plan.Rate*share, t.plan.Burst*share)
	t.updatedAt = now
}

// draw takes units that other limiters admitted from the bucket. The balance may become negative.
func (e *Enforcer) draw(now float64, t *tenant, units uint64) {
	e.refill(now, t)
	before := t.balance
	t.balance = bucket.Draw(t.balance, float64(units), e.floor(t.plan))
	drawn := before - t.balance
	e.counters.Drawn += drawn
	e.counters.Forgiven += float64(units) - drawn
	t.inherited.recordDrawn(units)
	t.pacing.recordDrawn(now, units)
	t.surge.recordDrawn(now, float64(units))
	t.pacing.updateDebt(t.balance, t.plan.Burst, e.slackUnits)
}

// Balance returns the balance of a tenant's bucket for status reports, or 0 for an unknown tenant.
func (e *Enforcer) Balance(now float64, id uint64) float64 {
	t := e.tenants[id]
	if t == nil {
		return 0
	}
	e.refill(now, t)
	return t.balance
}
