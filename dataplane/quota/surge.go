package quota

import "math"

// Detection of demand surges before gossip reports them.
//
// When the demand of a tenant surges, its requests surge at all limiters at about the same time.
// Each limiter sees its own requests immediately, and those of the others only when gossip delivers
// them: some tenths of a second later where messages are queued behind downloads on a saturated
// link or a processor is busy. Meanwhile the burst would be admitted several times over. A limiter
// therefore estimates the units that the others have admitted in the meantime, from the units that
// it has recently admitted itself and from its fraction of the tenant's usage before. Pacing
// (pacing.go) starts as soon as its balance would not cover them. Nothing is estimated from a few
// units, or if the others had no usage before: a tenant whose requests all arrive at one limiter
// can use its whole burst there.
const (
	// longTermDecayMs is the time constant of the usage from which a limiter's fraction is
	// computed. Larger: a surge after a longer pause is still detected. Smaller: a tenant whose
	// requests move to other limiters can use its burst there sooner.
	longTermDecayMs = 60_000.0
	// baseGossipDelayMs is the gossip delay while messages are not late, and
	// baseGroupedGossipDelayMs the same in a fleet with groups. Larger: surges are paced sooner.
	// Smaller: a tenant within its quota is held back less.
	baseGossipDelayMs        = 10.0
	baseGroupedGossipDelayMs = 175.0
	// minSurgeUnits is the number of recent units below which nothing is estimated.
	minSurgeUnits = 2.5
)

// decayingCount is an exponentially decaying count of units.
type decayingCount struct{ units, at float64 }

// add brings the count up to date and adds units to it.
func (c *decayingCount) add(now, units, decayMs float64) {
	c.units, c.at = c.value(now, decayMs)+units, now
}

// value returns the count at the given time, decayed with a time constant.
func (c *decayingCount) value(now, decayMs float64) float64 {
	if c.units == 0 || now == c.at {
		return c.units
	}
	return c.units * math.Exp((c.at-now)/decayMs)
}

// surge is the usage of a tenant at this limiter and at the others, by which a surge is detected.
type surge struct {
	recent decayingCount // units admitted here within the gossip delay
	own    decayingCount // units admitted here in the long term
	others decayingCount // units drawn for other limiters in the long term
}

// recordAdmitted counts a unit that this limiter admitted. delayMs is the time until units that
// others admit at the same moment are known here.
func (s *surge) recordAdmitted(now, delayMs float64) {
	s.recent.add(now, 1, delayMs)
	s.own.add(now, 1, longTermDecayMs)
}

// recordDrawn counts units that other limiters admitted.
func (s *surge) recordDrawn(now, units float64) { s.others.add(now, units, longTermDecayMs) }

// estimateUnreceived estimates how many units other limiters have admitted that are not known here
// yet.
func (s *surge) estimateUnreceived(now, delayMs float64) float64 {
	recent := s.recent.value(now, delayMs)
	if recent < minSurgeUnits {
		return 0
	}
	return recent * s.others.value(now, longTermDecayMs) / s.own.value(now, longTermDecayMs)
}

// gossipDelayMs estimates the time until units that are admitted now are known to all limiters.
func (e *Enforcer) gossipDelayMs() float64 {
	delayMs := baseGossipDelayMs
	if e.level > 0 {
		delayMs = baseGroupedGossipDelayMs
	}
	return delayMs + min(e.sharing.meanLateness, e.livenessTimeout())
}
