package quota

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/bucket"
)

// Pacing after a bucket was exhausted.
//
// A limiter learns what others admit only by gossip, over one hop or, in a fleet with groups, two,
// and later where messages are queued behind downloads on a saturated link. An exhausted bucket
// becomes positive at all limiters at about the same time. If each of them then admitted every
// request until it receives the usage of the others, together they would spend the refill several
// times over, pay it back with negative balances, and begin again: an oscillation whose peaks
// exceed the quota. A limiter whose bucket was exhausted therefore admits no more than its fraction
// of the refill, computed from the usage that it knows of. The fractions of all limiters add up to
// one. The more the bucket holds, the more a limiter may admit, and once the bucket is well filled
// pacing ends: usage may move to other limiters, and a tenant that stays below its quota must not
// be held back (docs/incidents/0019).
//
// When pacing ends, all limiters admit every request until they receive the usage of the others. If
// that overdraws the bucket by much, because gossip is late, a second end of pacing in the same
// window of the quota rule would exceed the quota. Pacing then ends one window later
// (docs/incidents/0025).
const (
	// pacingEndLevel is the fraction of the burst at which a bucket counts as well filled, so that
	// pacing ends.
	pacingEndLevel = 0.25
	// An overdraft of more than pacingDebt x burst + pacingDebtOfSlack x slack extends pacing until one
	// window of the quota rule after the bucket was last exhausted. Larger: usage of a tenant can
	// move to other limiters sooner. Smaller: the quota holds with a longer gossip delay.
	pacingDebt        = 0.5
	pacingDebtOfSlack = 0.5 // of what the quota rule tolerates for any plan; the rest is a margin
	// pacingGain is the relative increase of the pacing rate with a full bucket over the limiter's
	// fraction of the refill. Larger: usage can move to other limiters sooner. Smaller: less is
	// admitted before the usage of others is received. Its product with rate/burst and the age of
	// usage reports in seconds must stay below 1, or the oscillation returns.
	pacingGain = 2.0
	// pacingBurst is the fraction of the burst that all limiters together may accumulate as pacing
	// tokens.
	pacingBurst = 0.2
	// usageDecayMs is the time constant of the usage from which a limiter's fraction is computed.
	usageDecayMs = 2000.0
)

// pacing is the pacing state of one tenant at this limiter. It rejects nothing unless it is active.
type pacing struct {
	active        bool
	initialTokens float64 // when pacing starts, from 0 to 1
	tokens        float64 // units that may be admitted, as of updatedAt
	updatedAt     float64
	exhaustedAt   float64       // when the bucket was last found exhausted
	inDebt        bool          // the overdraft has exceeded the limit of pacingDebt since pacing started
	own           decayingCount // units recently admitted here
	others        decayingCount // units recently drawn for other limiters
}

// recordAdmitted counts a unit that this limiter admitted.
func (p *pacing) recordAdmitted(now float64) { p.own.add(now, 1, usageDecayMs) }

// recordDrawn counts units that other limiters admitted.
func (p *pacing) recordDrawn(now float64, units uint64) {
	p.others.add(now, float64(units), usageDecayMs)
}

// initialPacingTokens returns the part of a token with which pacing of a tenant starts. It differs
// between limiters: otherwise all limiters of a large fleet would reach their next whole token at
// the same time.
func (e *Enforcer) initialPacingTokens(tenant uint64) float64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], e.self.ID)
	binary.BigEndian.PutUint64(b[8:], tenant)
	return float64(xxhash.Sum64(b[:])>>32) / (1 << 32)
}

// recordExhausted starts or continues pacing. No tokens accumulate while the bucket is exhausted:
// otherwise all limiters would hold a token when it becomes positive, and would spend it before
// gossip delivers the usage of the others.
func (p *pacing) recordExhausted(now float64) {
	p.start(now)
	p.updatedAt, p.exhaustedAt = now, now
}

// updateDebt sets inDebt if the overdraft exceeds the limit of pacingDebt after units of other
// limiters were drawn.
func (p *pacing) updateDebt(balance, burst, slackUnits float64) {
	p.inDebt = p.inDebt || balance < -pacingDebt*burst-pacingDebtOfSlack*slackUnits
}

// start starts pacing unless it is already active.
func (p *pacing) start(now float64) {
	if !p.active {
		p.active, p.tokens, p.updatedAt = true, p.initialTokens, now
	}
}

// refillFraction returns this limiter's fraction, from 0 to 1, of the usage of all limiters that
// share the quota with it. With little usage it approaches an equal split.
func (p *pacing) refillFraction(now, sharers float64) float64 {
	own, others := p.own.value(now, usageDecayMs), p.others.value(now, usageDecayMs)
	return (own + 1/sharers) / (own + others + 1)
}

// takeToken takes a pacing token if pacing is active.
func (p *pacing) takeToken() {
	if p.active {
		p.tokens--
	}
}

// checkPacing reports whether there is a pacing token, if pacing is active. If there is none, it
// returns the time until there will be one.
func (e *Enforcer) checkPacing(now float64, t *tenant) (waitMs float64, ok bool) {
	p := &t.pacing
	if !p.active {
		return 0, true
	}
	estimatedBalance := t.balance - t.surge.estimateUnreceived(now, e.gossipDelayMs())
	if estimatedBalance >= pacingEndLevel*t.plan.Burst && (!p.inDebt || now-p.exhaustedAt > e.windowMs) {
		p.active, p.inDebt = false, false
		return 0, true
	}
	share := e.currentShare(now)
	fraction := p.refillFraction(now, max(1, share*float64(len(e.peers)+1)))
	rate := t.plan.Rate * share * fraction * (1 + pacingGain*t.balance/t.plan.Burst)
	limit := max(1, pacingBurst*t.plan.Burst*fraction)
	p.tokens = bucket.Refill(p.tokens, (now-p.updatedAt)/millisPerSecond, rate, limit)
	p.updatedAt = now
	if p.tokens < 1 {
		return millisPerSecond * bucket.Wait(p.tokens, 1, rate), false
	}
	return 0, true
}
