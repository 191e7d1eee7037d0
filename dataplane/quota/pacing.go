package quota

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/bucket"
)

// Pacing after an exhausted bucket.
//
// What others admit is known here late: after a message or two, and later where these wait
// behind downloads on a full link. A bucket that was exhausted becomes positive at all limiters
// at about the same time. If each of them then admitted what it is asked for until it receives from the
// others, all of them together would spend the refill several times over, repay it with buckets
// below zero, and begin again: a cycle whose peaks exceed the quota. So a limiter whose bucket was
// exhausted admits no more than its part of the refill, by the usage that it knows of: the parts of
// all limiters sum up to one. The more the bucket holds, the more a limiter may admit, and once the bucket
// is well filled pacing ends: usage may move to other limiters, and a tenant that asks for less than
// its quota must not be held back (docs/incidents/0019). Each end lets all limiters admit what they are asked
// for until they receive each other's usage. Where that has come to much, as gossip is late, two such moments in one
// window of the rule exceed the quota: pacing ends a window later then (docs/incidents/0025).
const (
	// pacingEndLevel is the part of the burst from which on a bucket counts as filled again.
	pacingEndLevel = 0.25
	// pacingDebt is the part of the burst below zero from which on, and from pacingDebtUnits beyond it, pacing lasts
	// for a window of the rule. Larger: a tenant's usage moves sooner. Smaller: the quota holds with gossip that is
	// later.
	pacingDebt      = 0.5
	pacingDebtUnits = slackUnits / 2 // what the rule allows whatever the plan, with room for as much again
	// pacingGain is how much faster than its part of the refill a limiter may admit with a full
	// bucket. Larger: usage moves to other limiters sooner. Smaller: less is admitted before others
	// are received from. Its product with rate/burst and the age of usage reports in seconds must stay
	// below 1, or the cycle comes back.
	pacingGain = 2.0
	// pacingBurst is the part of the quota's burst that all limiters together may have saved up as
	// pacing tokens.
	pacingBurst = 0.2
	// usageDecayMs is the time constant of the usage that a limiter's part is computed from.
	usageDecayMs = 2000.0
)

// pacing is the state of one tenant at this limiter. One that is not active admits everything.
type pacing struct {
	active      bool
	phase       float64 // of a token, from 0 to 1, that pacing begins with
	tokens      float64 // units that may be admitted now; updated at updatedAt
	updatedAt   float64
	exhaustedAt float64   // the last time when the bucket was found to be exhausted
	inDebt      bool      // pacingDebt was reached since pacing began
	own         usageMean // units admitted here of late
	others      usageMean // units drawn for others of late
}

// noteAdmitted counts a unit that this limiter admitted.
func (p *pacing) noteAdmitted(now float64) { p.own.add(now, 1, usageDecayMs) }

// noteDrawn counts units that others admitted.
func (p *pacing) noteDrawn(now float64, units uint64) {
	p.others.add(now, float64(units), usageDecayMs)
}

// pacingPhase is the phase of a token with which pacing begins, another one at each limiter: with the same one, the
// limiters of a large fleet would have their next whole token at the same time.
func (e *Enforcer) pacingPhase(tenant uint64) float64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], e.self.ID)
	binary.BigEndian.PutUint64(b[8:], tenant)
	return float64(xxhash.Sum64(b[:])>>32) / (1 << 32)
}

// exhausted starts pacing, or goes on with it. While the bucket is exhausted nothing is saved up: else all limiters
// would have a token when it is positive again, and spend them within the time that gossip takes.
func (p *pacing) exhausted(now float64) {
	p.start(now)
	p.updatedAt, p.exhaustedAt = now, now
}

// noteBalance notes the balance after units of others were drawn.
func (p *pacing) noteBalance(balance, burst float64) {
	p.inDebt = p.inDebt || balance < -pacingDebt*burst-pacingDebtUnits
}

// start starts pacing, unless it is active.
func (p *pacing) start(now float64) {
	if !p.active {
		p.active, p.tokens, p.updatedAt = true, p.phase, now
	}
}

// part is this limiter's part, from 0 to 1, of the usage of those that share the quota with it. With little usage it
// tends to an equal part.
func (p *pacing) part(now, sharers float64) float64 {
	own, others := p.own.value(now, usageDecayMs), p.others.value(now, usageDecayMs)
	return (own + 1/sharers) / (own + others + 1)
}

// paced takes a pacing token, where pacing is active. Where there is none it returns false and the
// time until there will be one.
func (e *Enforcer) paced(now float64, t *tenant) (waitMs float64, ok bool) {
	p := &t.pacing
	if !p.active {
		return 0, true
	}
	known := t.balance - t.surge.unheard(now, e.gossipMs())
	if known >= pacingEndLevel*t.plan.Burst && (!p.inDebt || now-p.exhaustedAt > e.windowMs) {
		p.active, p.inDebt = false, false
		return 0, true
	}
	share := e.currentShare(now)
	part := p.part(now, max(1, share*float64(len(e.peers)+1)))
	rate := t.plan.Rate * share * part * (1 + pacingGain*t.balance/t.plan.Burst)
	limit := max(1, pacingBurst*t.plan.Burst*part)
	p.tokens = bucket.Refill(p.tokens, (now-p.updatedAt)/millisPerSecond, rate, limit)
	p.updatedAt = now
	if p.tokens < 1 {
		return millisPerSecond * bucket.Wait(p.tokens, 1, rate), false
	}
	p.tokens--
	return 0, true
}
