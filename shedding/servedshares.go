package shedding

import "math"

const (
	// minServedShare is how often requests of a priority must be served, as a fraction of how often all
	// are, before they give way to higher ones. The users' rules allow no kind of request less than a
	// quarter; the rest is a margin, as each limiter counts only its own requests.
	minServedShare = 0.5
	// servedDecayMs is the time constant of the counts. Larger: a shortage may last longer before lower
	// priorities are served again. Smaller: few requests decide.
	servedDecayMs = 10_000.0
	// maxPriorities bounds the priorities that are counted. Those in use are soon counted again.
	maxPriorities = 256
)

// servedCount holds decaying counts of requests, as of a time.
type servedCount struct{ asked, served, at float64 }

func (c *servedCount) decay(now float64) {
	f := math.Exp((c.at - now) / servedDecayMs)
	c.asked, c.served, c.at = c.asked*f, c.served*f, now
}

func (c *servedCount) add(now float64, served bool) {
	c.decay(now)
	c.asked++
	if served {
		c.served++
	}
}

func (c *servedCount) share() float64 { return c.served / max(1, c.asked) }

// ServedShares follows how often requests of each priority are served where not all can be, so that no
// priority is starved by higher ones. The zero value is ready to use.
type ServedShares struct {
	all        servedCount
	byPriority map[Priority]*servedCount
}

// Record counts a request that was served or refused.
func (s *ServedShares) Record(now float64, p Priority, served bool) {
	s.all.add(now, served)
	c := s.byPriority[p]
	if c == nil {
		if s.byPriority == nil || len(s.byPriority) >= maxPriorities {
			s.byPriority = map[Priority]*servedCount{}
		}
		c = &servedCount{at: now}
		s.byPriority[p] = c
	}
	c.add(now, served)
}

// Effective returns the priority that a request has now: its own, or the highest if requests like it
// are served far less often than others.
func (s *ServedShares) Effective(p Priority) Priority {
	c := s.byPriority[p]
	if c == nil || c.served+1 >= minServedShare*s.all.share()*c.asked { // less than one request is missing
		return p
	}
	return Priority{}
}
