package quota

import (
	"math"

	"example.org/elmspan/bucket"
)

// Pacing after an exhausted bucket.
//
// What others admit is known here late: after a message or two, and later where these wait
// behind downloads on a full link. A bucket that was exhausted becomes positive at all limiters
// at about the same time. If each of them then admitted what it is asked for until it hears of the
// others, all of them together would spend the refill several times over, repay it with buckets
// below zero, and begin again: a cycle whose peaks exceed the quota. So a limiter whose bucket was
// exhausted admits no more than its part of the refill, by the usage that it knows of: the parts of
// all limiters sum up to one. The more the bucket holds, the more a limiter may admit, and once the bucket
// is well filled pacing ends: usage may move to other limiters, and a tenant that asks for less than
// its quota must not be held back (docs/incidents/0019).
const (
	// pacingEndLevel is the part of the burst from which on a bucket counts as filled again.
	pacingEndLevel = 0.25
	// pacingGain is how much faster than its part of the refill a limiter may admit with a full
	// bucket. Larger: usage moves to other limiters sooner. Smaller: less is admitted before others
	// are heard of. Its product with rate/burst and the age of usage reports in seconds must stay
	// below 1, or the cycle comes back.
	pacingGain = 2.0
	// pacingBurst is the part of the quota's burst that all limiters together may have saved up as
	// pacing tokens.
	pacingBurst = 0.2
	// usageDecayMs is the time constant of the usage that a limiter's part is computed from.
	usageDecayMs = 2000.0
)

// pacing is the state of one tenant at this limiter. The zero value admits everything.
type pacing struct {
	active    bool
	tokens    float64 // units that may be admitted now; updated at updatedAt
	updatedAt float64
	own       float64 // units admitted here of late, decaying, as of decayedAt
	others    float64 // units drawn for others of late, likewise
	decayedAt float64
}

// decay brings the usage counts up to date.
func (p *pacing) decay(now float64) {
	factor := math.Exp((p.decayedAt - now) / usageDecayMs)
	p.own, p.others, p.decayedAt = p.own*factor, p.others*factor, now
}

// noteAdmitted counts a unit that this limiter admitted.
func (p *pacing) noteAdmitted(now float64) {
	p.decay(now)
	p.own++
}

// noteDrawn counts units that others admitted.
func (p *pacing) noteDrawn(now float64, units uint64) {
	p.decay(now)
	p.others += float64(units)
}

// begin starts pacing, as the bucket is exhausted.
func (p *pacing) begin(now float64) {
	if !p.active {
		p.active, p.tokens, p.updatedAt = true, 0, now
	}
}

// part is this limiter's part of the usage, from 0 to 1. With little usage it tends to an equal part.
func (p *pacing) part(limiters float64) float64 {
	return (p.own + 1/limiters) / (p.own + p.others + 1)
}

// paced takes a pacing token, where pacing is active. Where there is none it returns false and the
// time until there will be one.
func (e *Enforcer) paced(now float64, t *tenant) (waitMs float64, ok bool) {
	p := &t.pacing
	if !p.active {
		return 0, true
	}
	if t.balance >= pacingEndLevel*t.plan.Burst {
		p.active = false
		return 0, true
	}
	part := p.part(float64(len(e.peers) + 1))
	rate := t.plan.Rate * e.currentShare(now) * part * (1 + pacingGain*t.balance/t.plan.Burst)
	limit := max(1, pacingBurst*t.plan.Burst*part)
	p.tokens = bucket.Refill(p.tokens, (now-p.updatedAt)/millisPerSecond, rate, limit)
	p.updatedAt = now
	if p.tokens < 1 {
		return millisPerSecond * bucket.Wait(p.tokens, 1, rate), false
	}
	p.tokens--
	return 0, true
}
