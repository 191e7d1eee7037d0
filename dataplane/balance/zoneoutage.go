package balance

import (
	"example.org/elmspan/api"
	"example.org/elmspan/health"
)

// Detection of zone outages.
//
// When a zone can't be reached, each limiter would have to detect this for each of its servers by
// two requests that wait for a connection to time out. So a failure to reach a server also counts
// against its zone, unless the server itself is ejected. A zone is ejected only if at least three
// of its servers have failed recently, and at least twice as many as have responded. So neither a
// few broken servers nor the crash of a part of a service ejects a zone. An ejected zone gets no
// requests while another zone has servers. It returns on probation after 1 s, later after 2 s, at
// most 8 s (docs/decisions/0010).
const (
	// maxZones bounds the number of zone detectors. In further zones only single servers are
	// ejected.
	maxZones = 256
	// outageMinFailed is the minimum number of failed servers in a zone outage.
	outageMinFailed = 3
	// outageMinRatio is the minimum ratio of failed servers to those that responded.
	outageMinRatio = 2
	// recentFailureMs is the time for which a failure counts in the detection of an outage. A
	// success counts for half as long.
	recentFailureMs = 3000.0
	// zoneFailureWeight is the weight of a server's failure against its zone. With a weight of 1
	// a few failing servers eject a zone, and traffic between zones increases.
	zoneFailureWeight = 0.6
)

// zoneEjected reports whether a zone is ejected.
func (s *Set) zoneEjected(now float64, name string) bool {
	z := s.zones[name]
	return z != nil && z.Ejected(now)
}

// recordZoneFailure counts a failure of a server against its zone.
func (s *Set) recordZoneFailure(now float64, m *Member, weight float64) {
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
	z.ObserveFailure(now, weight, &m.service.baseline, s.hasOtherZone(now, m) && s.zoneOutageLikely(now, m.Zone))
}

// hasOtherZone reports whether the service of a server has servers in another zone that is not
// ejected.
func (s *Set) hasOtherZone(now float64, m *Member) bool {
	for _, other := range m.service.members {
		if other.Zone != m.Zone && other.State != api.Draining && !s.zoneEjected(now, other.Zone) {
			return true
		}
	}
	return false
}

// zoneOutageLikely reports whether most servers of a zone that had requests recently have failed.
func (s *Set) zoneOutageLikely(now float64, zone string) bool {
	failed, succeeded := 0, 0
	for _, v := range s.services {
		for _, m := range v.members {
			switch {
			case m.Zone != zone:
			case m.lastFailureAt > m.lastSuccessAt && now-m.lastFailureAt < recentFailureMs:
				failed++
			case m.lastSuccessAt > 0 && now-m.lastSuccessAt < recentFailureMs/2:
				succeeded++
			}
		}
	}
	return failed >= outageMinFailed && failed >= outageMinRatio*succeeded
}

// recordZoneSuccess counts a response of a server for its zone.
func (s *Set) recordZoneSuccess(now float64, m *Member) {
	m.lastSuccessAt = now
	if z := s.zones[m.Zone]; z != nil {
		z.ObserveSuccess(now, &m.service.baseline)
	}
}

// UnreachableZones returns the ejected zones in no particular order, for status reports.
func (s *Set) UnreachableZones(now float64) (out []string) {
	for name := range s.zones {
		if s.zoneEjected(now, name) {
			out = append(out, name)
		}
	}
	return out
}
