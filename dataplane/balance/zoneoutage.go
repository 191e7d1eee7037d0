package balance

import (
	"example.org/elmspan/api"
	"example.org/elmspan/health"
)

// Detection of zone outages.
//
// When a zone can't be reached, each of its servers would have to be found out by two requests
// of each limiter that wait for a connect in vain. So failures to reach a server count against
// its zone too, as long as the server is not ejected itself. A zone is ejected only where at
// least three of its servers have just failed, and twice as many as answered. So a few broken
// servers do not eject a zone, nor does a service of which a part crashes. An ejected zone gets
// no requests while there are servers in another; it is on probation after a second, then
// two, at most eight (docs/decisions/0010).
const (
	// maxZones bounds the table. Servers of further zones are judged one by one.
	maxZones = 256
	// outageServers is the number of servers of a zone that must have failed.
	outageServers = 3
	// outageRatio is the number of servers that must have failed for each that answered.
	outageRatio = 2
	// recentFailureMs is how long a failure counts for that. An answer counts half as long.
	recentFailureMs = 3000.0
	// zoneFailureWeight is the weight of a failure against its zone. At its whole weight
	// zones were ejected for a few servers, and more bytes went between zones.
	zoneFailureWeight = 0.6
)

// zoneEjected reports whether a zone gets no requests.
func (s *Set) zoneEjected(now float64, name string) bool {
	z := s.zones[name]
	return z != nil && z.Ejected(now)
}

// zoneFailed counts a failure to be answered by a server against its zone.
func (s *Set) zoneFailed(now float64, m *Member, weight float64) {
	if m.health.Ejected(now) {
		return
	}
	z := s.zones[m.Zone]
	if z == nil {
		if len(s.zones) >= maxZones {
			return
		}
		z = &health.Detector{}
		s.zones[m.Zone] = z
	}
	m.lastFailureAt = now
	z.ObserveFailure(now, weight, &m.service.baseline, s.hasOtherZone(now, m) && s.majorityFails(now, m.Zone))
}

// hasOtherZone reports whether a server's service has servers in another zone that is not ejected.
func (s *Set) hasOtherZone(now float64, m *Member) bool {
	for _, other := range m.service.members {
		if other.Zone != m.Zone && other.State != api.Draining && !s.zoneEjected(now, other.Zone) {
			return true
		}
	}
	return false
}

// majorityFails reports whether most servers of a zone that were tried just now failed.
func (s *Set) majorityFails(now float64, zone string) bool {
	failed, answered := 0, 0
	for _, v := range s.services {
		for _, m := range v.members {
			switch {
			case m.Zone != zone:
			case m.lastFailureAt > m.lastSuccessAt && now-m.lastFailureAt < recentFailureMs:
				failed++
			case m.lastSuccessAt > 0 && now-m.lastSuccessAt < recentFailureMs/2:
				answered++
			}
		}
	}
	return failed >= outageServers && failed >= outageRatio*answered
}

// zoneAnswered notes that a zone's server has answered.
func (s *Set) zoneAnswered(now float64, m *Member) {
	m.lastSuccessAt = now
	if z := s.zones[m.Zone]; z != nil {
		z.ObserveSuccess(now, &m.service.baseline)
	}
}

// UnreachableZones lists the zones that are ejected, in no order, for reports.
func (s *Set) UnreachableZones(now float64) (out []string) {
	for name := range s.zones {
		if s.zoneEjected(now, name) {
			out = append(out, name)
		}
	}
	return out
}
