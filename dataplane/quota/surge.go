package quota

import "math"

// Surges that are noticed before gossip brings them.
//
// When a tenant surges, its requests surge at all limiters at about the same time. Each knows its own at once, and
// those of the others only when gossip brings them: behind downloads on a full link, or at a processor that is busy, in
// some tenths of a second, in which the burst is admitted several times over. So a limiter concludes from the units
// that it admitted of late what the others have admitted meanwhile, by how much of the tenant's usage came in here
// before, and is paced (pacing.go) as soon as its balance would not pay for that. Nothing is concluded from a few
// units, or where others had none before: a tenant whose requests all come in at one limiter has its whole burst there.
const (
	// knownUsageDecayMs is the time constant of the usage from which a limiter's share is known. Larger: a surge after
	// a pause is noticed. Smaller: a tenant whose requests move to other limiters has its burst there sooner.
	knownUsageDecayMs = 60_000.0
	// gossipTakesMs is the time that gossip takes when it is not late, and groupedGossipTakesMs the same in a fleet
	// that forms groups. Larger: surges are held back sooner. Smaller: a tenant within its quota is held back less.
	gossipTakesMs        = 10.0
	groupedGossipTakesMs = 175.0
	// minSurgeUnits is how many units there must have been of late to conclude anything from them.
	minSurgeUnits = 2.5
)

// usageMean is a count of units that decays.
type usageMean struct{ units, at float64 }

// add brings the count up to date and adds to it.
func (m *usageMean) add(now, units, decayMs float64) {
	m.units, m.at = m.value(now, decayMs)+units, now
}

// value is the count, decayed with a time constant.
func (m *usageMean) value(now, decayMs float64) float64 {
	if m.units == 0 || now == m.at {
		return m.units
	}
	return m.units * math.Exp((m.at-now)/decayMs)
}

// surge is what is known of a tenant's usage here and elsewhere.
type surge struct {
	recent usageMean // units admitted here in the time that gossip takes
	own    usageMean // units admitted here for long
	others usageMean // units drawn for others for long
}

// noteAdmitted counts a unit that this limiter admitted. gossipMs is the time until the others' units of the same
// moment are known here.
func (s *surge) noteAdmitted(now, gossipMs float64) {
	s.recent.add(now, 1, gossipMs)
	s.own.add(now, 1, knownUsageDecayMs)
}

// noteDrawn counts units that others admitted.
func (s *surge) noteDrawn(now, units float64) { s.others.add(now, units, knownUsageDecayMs) }

// unheard is about how many units others have admitted that are not known here yet.
func (s *surge) unheard(now, gossipMs float64) float64 {
	recent := s.recent.value(now, gossipMs)
	if recent < minSurgeUnits {
		return 0
	}
	return recent * s.others.value(now, knownUsageDecayMs) / s.own.value(now, knownUsageDecayMs)
}

// gossipMs is about the time until units that are admitted now are known to all.
func (e *Enforcer) gossipMs() float64 {
	takes := gossipTakesMs
	if e.level > 0 {
		takes = groupedGossipTakesMs
	}
	return takes + min(e.sharing.meanLateness, e.livenessTimeout())
}
