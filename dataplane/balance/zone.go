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
// not kept off itself, so that a few broken servers do not make a zone dark. A zone
// that is dark is passed over while there are servers in another; it is tried again
// after a second, then two, at most eight.

// dark tells whether a zone is passed over.
func (s *Set) dark(now float64, name string) bool {
	z := s.zones[name]
	return z != nil && z.Off(now)
}

// zoneFailed has a failure to be answered by a server speak against its zone.
func (s *Set) zoneFailed(now float64, m *Member, weight float64) {
	if m.health.Off(now) {
		return
	}
	z := s.zones[m.Zone]
	if z == nil {
		if len(s.zones) >= mostZones {
			return
		}
		z = &health.Record{}
		s.zones[m.Zone] = z
	}
	other := false // there is somewhere else to go
	for _, o := range m.service.members {
		if o.Zone != m.Zone && o.State != api.Draining && !s.dark(now, o.Zone) {
			other = true
			break
		}
	}
	z.Failed(now, weight, &m.service.usual, other)
}

// zoneAnswered notes that a zone's server has answered.
func (s *Set) zoneAnswered(now float64, m *Member) {
	if z := s.zones[m.Zone]; z != nil {
		z.Answered(now, &m.service.usual)
	}
}

// Dark lists the zones that are passed over, for reports.
func (s *Set) Dark(now float64) (out []string) {
	for name := range s.zones {
		if s.dark(now, name) {
			out = append(out, name)
		}
	}
	return out
}
