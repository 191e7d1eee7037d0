package balance

import (
	"example.org/elmspan/api"
	"example.org/elmspan/health"
)

// mostZones bounds the table; more than so many are not told apart from servers.
const mostZones = 256

// When a zone goes dark, each of its servers would have to be found out by two
// requests of each limiter's that wait for a connect in vain. So failures to reach
// servers speak against their zone too: each server's first ones, as long as it is
// not kept off itself, and where at least three servers of it have just failed, and
// twice as many as answered. So a few broken servers do not make a zone dark, nor
// does one part of a service that crashes. A zone that is dark is passed over while
// there are servers in another; it is tried again after a second, then two, at most
// eight.

const (
	darkLeast = 3      // servers of a zone that fail
	darkTimes = 2      // for each that answers
	justMs    = 3000.0 // so long ago is just now
)

// dark tells whether a zone is passed over.
func (s *Set) dark(now float64, name string) bool {
	z := s.zones[name]
	return z != nil && z.Ejected(now)
}

// zoneFailed has a failure to be answered by a server speak against its zone.
func (s *Set) zoneFailed(now float64, m *Member, weight float64) {
	if m.health.Ejected(now) {
		return
	}
	z := s.zones[m.Zone]
	if z == nil {
		if len(s.zones) >= mostZones {
			return
		}
		z = &health.Detector{}
		s.zones[m.Zone] = z
	}
	m.badAt = now
	other := false // there is somewhere else to go
	for _, o := range m.service.members {
		if o.Zone != m.Zone && o.State != api.Draining && !s.dark(now, o.Zone) {
			other = true
			break
		}
	}
	z.ObserveFailure(now, weight, &m.service.usual, other && s.fails(now, m.Zone))
}

// fails tells whether most servers of a zone that were tried just now failed.
func (s *Set) fails(now float64, zone string) bool {
	bad, good := 0, 0
	for _, v := range s.services {
		for _, o := range v.members {
			switch {
			case o.Zone != zone:
			case o.badAt > o.goodAt && now-o.badAt < justMs:
				bad++
			case o.goodAt > 0 && now-o.goodAt < justMs/2:
				good++
			}
		}
	}
	return bad >= darkLeast && bad >= darkTimes*good
}

// zoneAnswered notes that a zone's server has answered.
func (s *Set) zoneAnswered(now float64, m *Member) {
	m.goodAt = now
	if z := s.zones[m.Zone]; z != nil {
		z.ObserveSuccess(now, &m.service.usual)
	}
}

// UnreachableZones lists the zones that are passed over, for reports.
func (s *Set) UnreachableZones(now float64) (out []string) {
	for name := range s.zones {
		if s.dark(now, name) {
			out = append(out, name)
		}
	}
	return out
}
