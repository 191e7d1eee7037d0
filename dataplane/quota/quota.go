// Package quota holds one token bucket for each tenant, by the design: it is
// refilled continuously at the plan's global rate, capped at the burst, and
// pays for what this limiter admits and what others tell of, below nought too.
// It reads no clock and does no I/O; times are in milliseconds on the host's
// steady clock.
//
// A limiter that does not hear some others must not spend their part: see share.go.
package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/bucket"
)

const (
	// LivenessTimeoutMs is how long a limiter counts as heard after a word of it. What limiters
	// that are cut off all of a sudden let through in that time beyond their parts is
	// the most by which the sum can exceed the plan.
	LivenessTimeoutMs = 450.0
	// GroupedLivenessTimeoutMs is the same in a large fleet, where words are fewer.
	GroupedLivenessTimeoutMs = 700.0
	// ShareRetentionMs is how long the part of a limiter that is gone is kept back: longer
	// than it could go on by itself without news from the core.
	ShareRetentionMs = 6000.0
	lowShare         = 0.5  // of the burst: below it, tenants are told of oftener
	fastShare        = 0.05 // of the burst: as soon as so much is not told yet
	oftenMs          = 60.0
	seldomMs         = 250.0
	groupMs          = 700.0 // a group's sums, of tenants that have much left
	pastMs           = 2000.0
	seedMs           = 3000.0 // after its start a limiter takes over what others' buckets hold
	shareMs          = 10.0   // for so long the part of the quotas is not counted anew
)

// In a vast fleet nearly every unit of a small tenant is the only one that a limiter
// lets through in a second: told at once, each of them is a word. What of a tenant may
// stay untold by all of them together for a moment is what the rule leaves beyond the
// plan: a tenth, and slackUnits whatever the plan. Asked for at surge times its rate, a
// tenant comes to slackUnits in slackUnits / (surge x rate) seconds. So much longer its
// news may wait than that of a large one, half of it at each of the two who pass it on,
// a limiter and its group's reporter (docs/decisions/0017).
const (
	// VeryLargeFleetPeers is the size of a fleet beyond which news waits by need.
	VeryLargeFleetPeers = 96
	slackUnits          = 20.0  // quota_slack of the rules
	surge               = 10.0  // times its rate that a tenant is asked for at the worst
	mostWaitMs          = 240.0 // that news waits longer for it at each of the two ...
	waitStepMs          = 20.0  // ... in ticks of a large fleet: half of one more is half of one too late
)

// TenantID names a tenant in words: 40 bits of its name's hash.
func TenantID(name string) uint64 { return xxhash.Sum64String(name) >> 24 }

// Plan is a tenant's quota over all limiters: requests a second and the most
// that the bucket holds. A rate of 0 is no limit.
type Plan struct{ Rate, Burst float64 }

// Enforcer holds the buckets of one limiter. It is not safe for concurrent use.
type Enforcer struct {
	self    Member
	startMs float64
	tenants map[uint64]*tenant
	rows    rows
	// Tenants of whose units something may be to be told, by this limiter and by its
	// group: a look at what is due costs those who ask, not all tenants there are.
	news, groupNews map[uint64]*tenant
	peers           map[uint64]*peer // other limiters, by the hash of their names
	level           GroupingLevel
	groups          map[Group]*group
	shares          shares
	seeded          bool // shares with so many that its buckets could take over what others' hold
}

type tenant struct {
	plan    Plan
	row     int32 // in the columns of those who tell of it
	balance float64
	at      float64
	spent   uint64 // admitted here since the start
	own     told   // of it, to those who hear this limiter itself
	seeded  bool
	seed    float64 // what the bucket takes over once this limiter shares with most; 0: nothing
	missed  float64 // drawn meanwhile
	grouped uint64  // let through by this limiter's group, as far as known, since the start
	group   told    // of it, to other groups
}

type peer struct {
	Member
	life    uint64
	metAt   float64 // the first word of this life
	heardAt float64
	set     uint32  // whom it hears
	sameAt  float64 // when that was whom this limiter hears
	goneAt  float64 // not a member since; 0: it is one
	spent   column  // what it has told of each tenant
}

// New returns a set of a limiter that starts now, by the hash of its name.
func New(now float64, self Member) *Enforcer {
	return &Enforcer{self: self, startMs: now, tenants: map[uint64]*tenant{}, news: map[uint64]*tenant{}, groupNews: map[uint64]*tenant{}, peers: map[uint64]*peer{}, groups: map[Group]*group{}}
}

// SetPlans takes over all plans of a configuration.
func (s *Enforcer) SetPlans(now float64, plans map[uint64]Plan) {
	var gone []uint64
	for id := range s.tenants {
		if _, ok := plans[id]; !ok {
			gone = append(gone, id)
		}
	}
	s.ChangePlans(now, plans, gone)
}

// ChangePlans takes over the plans that a new configuration changes. A bucket
// that runs goes on with what it holds, at most the new burst: a version gives
// nobody a fresh burst.
func (s *Enforcer) ChangePlans(now float64, put map[uint64]Plan, gone []uint64) {
	for _, id := range gone {
		if t := s.tenants[id]; t != nil {
			s.forget(t.row)
		}
		delete(s.tenants, id)
		delete(s.news, id)
		delete(s.groupNews, id)
	}
	for id, p := range put {
		t := s.tenants[id]
		if t == nil {
			n := float64(len(s.peers) + 1)
			s.tenants[id] = &tenant{plan: p, row: s.rows.take(), at: now, balance: min(p.Burst, p.Burst/n+p.Rate*(now-s.startMs)/1000)}
			continue
		}
		s.refill(now, t)
		if t.plan.Rate == 0 && p.Rate > 0 { // was without a limit: nothing was saved up
			t.balance = 0
		}
		t.plan, t.balance = p, min(t.balance, p.Burst)
	}
}

// SetMembers says which other limiters there are.
func (s *Enforcer) SetMembers(now float64, members []Member) {
	is := make(map[uint64]bool, len(members))
	for _, m := range members {
		is[m.ID] = true
		p := s.peers[m.ID]
		if p == nil {
			p = &peer{heardAt: math.Inf(-1), sameAt: math.Inf(-1)}
			s.peers[m.ID] = p
		}
		p.Member, p.goneAt = m, 0
	}
	for id, p := range s.peers {
		switch {
		case is[id]:
		case p.goneAt == 0:
			p.goneAt = max(now, 1)
		case now-p.goneAt > ShareRetentionMs:
			delete(s.peers, id)
		}
	}
	s.regroup(now)
	s.shares.validTo = 0
}

// hears tells whether another limiter's own words come.
func (s *Enforcer) hears(now float64, p *peer) bool {
	return s.direct(p.Member) && now-p.heardAt <= s.fresh()
}

// fresh is how long a limiter counts as heard after a word of it.
func (s *Enforcer) fresh() float64 {
	if s.level > 0 {
		return GroupedLivenessTimeoutMs
	}
	return LivenessTimeoutMs
}

func (s *Enforcer) refill(now float64, t *tenant) {
	part := s.currentShare(now)
	t.balance = bucket.Refill(t.balance, (now-t.at)/1000, t.plan.Rate*part, t.plan.Burst*part)
	t.at = now
}

// Admit takes one request's unit, or tells after how many milliseconds there
// will be one, as far as known here.
func (s *Enforcer) Admit(now float64, id uint64) (waitMs float64, ok bool) {
	t := s.tenants[id]
	if t == nil || t.plan.Rate <= 0 {
		return 0, true
	}
	s.refill(now, t)
	if t.balance < 1 {
		return 1000 * bucket.Wait(t.balance, 1, t.plan.Rate*s.currentShare(now)), false
	}
	t.balance--
	t.spent++
	t.grouped++
	s.news[id], s.groupNews[id] = t, t
	return 0, true
}

// Usage is what is told of one tenant: all that was admitted since the start.
type Usage struct {
	Tenant    uint64
	Units     uint64
	FillLevel uint8 // of the bucket: 255ths of the burst
	// DueWithinMs is in how many milliseconds others should know, as little is left; 0: there is
	// time. Not told.
	DueWithinMs float64
}

// ReportUsage lists the tenants that are to be told of now: those with news, oftener
// the less is left. Each figure is told once more, against loss.
func (s *Enforcer) ReportUsage(now float64, out []Usage) []Usage {
	for id, t := range s.news {
		if !t.own.due(t.spent) {
			delete(s.news, id)
		} else if t.plan.Rate > 0 {
			if pause, low := s.pause(now, t, t.spent-t.own.units, seldomMs); now-t.own.at >= pause {
				out = append(out, Usage{id, t.own.tell(now, t.spent), t.level(), s.within(pause, low)})
			}
		}
	}
	return out
}

// level is what a bucket holds, to be told.
func (t *tenant) level() uint8 {
	if t.plan.Burst <= 0 {
		return 0
	}
	return uint8(255 * max(0, min(1, t.balance/t.plan.Burst)))
}

// seed has the bucket of a limiter that has just started among others hold what
// theirs hold: it is the same bucket, of which this limiter has not heard yet what
// was saved up. Without it a tenant's requests that come in here would be refused
// until the bucket has filled, though the tenant is far below its quota.
func (s *Enforcer) seed(now float64, t *tenant, level uint8) {
	if t.seeded || now-s.startMs > seedMs {
		return
	}
	t.seeded = true
	if t.seed = t.plan.Burst * float64(level) / 255; s.seeded {
		s.takeSeed(now, t)
	}
}

// takeSeeds has the buckets take over what others' hold, once most others pay for
// what is spent here.
func (s *Enforcer) takeSeeds(now float64) {
	for _, t := range s.tenants {
		s.takeSeed(now, t)
	}
}

func (s *Enforcer) takeSeed(now float64, t *tenant) {
	if t.seed > 0 {
		s.refill(now, t)
		t.balance = max(t.balance, min(t.seed-t.missed, t.plan.Burst))
	}
	t.seed, t.missed = 0, 0
}

// pause is how seldom a tenant is told of, where so many units are not told yet;
// much is for one that has much left, low tells that it has not.
func (s *Enforcer) pause(now float64, t *tenant, units uint64, much float64) (ms float64, low bool) {
	s.refill(now, t)
	fast := fastShare * t.plan.Burst
	if s.vast() {
		fast = max(1, fast) // one unit alone isn't in a hurry
	}
	if t.balance >= lowShare*t.plan.Burst && float64(units) <= fast {
		return much, false
	}
	if s.vast() {
		return oftenMs + waitStepMs*math.Floor(min(mostWaitMs, 1000*slackUnits/(2*surge*t.plan.Rate))/waitStepMs), true
	}
	return oftenMs, true
}

// within is how soon others should know of news that is told so seldom.
func (s *Enforcer) within(pause float64, low bool) float64 {
	if !low {
		return 0
	}
	return pause
}

// vast tells whether there are so many limiters that news waits by need.
func (s *Enforcer) vast() bool { return len(s.peers) >= VeryLargeFleetPeers }

// told is what was told of a figure that only grows.
type told struct {
	units uint64
	at    float64
	again bool // to be told once more, against loss
}

func (t *told) due(units uint64) bool { return t.units != units || t.again }

func (t *told) tell(now float64, units uint64) uint64 {
	t.again = t.units != units
	t.units, t.at = units, now
	return units
}

// ReceiveUsage takes in the word of another limiter: which start of it speaks, for
// how long that has run, whom it hears, and what it has spent. Figures are
// cumulative, so that the next message heals a lost one. Of one that hears
// others than this limiter, it is not drawn: it has its own part.
func (s *Enforcer) ReceiveUsage(now float64, from, life uint64, ageMs float64, set uint32, spent []Usage) {
	p := s.peers[from]
	if p == nil || !s.direct(p.Member) {
		return
	}
	if p.life != life {
		p.life, p.metAt, p.sameAt = life, now, now
		p.spent.clear()
	}
	if now-p.heardAt > s.fresh() || p.set != set {
		s.shares.validTo = 0
	}
	p.heardAt, p.set = now, set
	s.currentShare(now)
	for _, e := range spent {
		t := s.tenants[e.Tenant]
		if t == nil {
			continue
		}
		units, known := p.spent.raise(t.row, e.Units)
		if !known && past(now, ageMs, p.metAt) {
			units = 0
			s.seed(now, t, e.FillLevel)
		}
		if units > 0 {
			t.grouped += units
			s.groupNews[e.Tenant] = t
			if s.shares.with(now, p) {
				s.draw(now, t, units)
			}
		}
	}
}

// past tells whether a limiter had run for some time before it was first heard:
// what it had spent by then is not to be paid for here.
func past(now, ageMs, metAt float64) bool { return ageMs > now-metAt+pastMs }

// draw takes what others let through, below nought too.
func (s *Enforcer) draw(now float64, t *tenant, units uint64) {
	s.refill(now, t)
	t.balance = bucket.Draw(t.balance, float64(units), -t.plan.Burst-t.plan.Rate)
	if t.seed > 0 {
		t.missed += float64(units)
	}
}

// Balance returns what a tenant's bucket holds, for reports.
func (s *Enforcer) Balance(now float64, id uint64) float64 {
	t := s.tenants[id]
	if t == nil {
		return 0
	}
	s.refill(now, t)
	return t.balance
}
