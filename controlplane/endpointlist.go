package controlplane

import (
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/discovery"
	"example.org/elmspan/versioned"
)

// endpointList is the server list of one member. The leader builds it from the lists that the
// platform returns; other members copy the leader's. A new leader continues with its copy from the
// previous leader: the versions keep increasing, and a server that was seen draining or removed
// stays so (discovery.OneWayStates). It does no I/O; in a Core it is guarded by Core.mu.
type endpointList struct {
	endpoints discovery.EndpointList // the merged lists of the platform, on the leader
	table     versioned.Table        // the list as it is sent
	start     time.Time              // zero point of this member's clock for the table
	skew      float64                // table's clock (that of the first leader) minus this member's, in ms
}

// clockMs returns the time on the table's clock, in milliseconds.
func (l *endpointList) clockMs() float64 {
	if l.start.IsZero() {
		l.start = time.Now()
	}
	return float64(time.Since(l.start))/float64(time.Millisecond) + l.skew
}

// becomeLeader rebuilds the endpoints from the table that this member received as a follower.
func (l *endpointList) becomeLeader() {
	l.endpoints = discovery.EndpointList{}
	for id, row := range l.table.Rows() {
		// Parsed as of time 0 of the table's clock, so that the end of each slow start stays the
		// same: otherwise every row would change, and limiters would be sent the complete list.
		if s, err := api.ParseServerRow(id, row, 0); err == nil {
			l.endpoints.Add(s, s.WarmupMs)
		}
	}
}

// merge merges a server list of the platform into the list. The term is that in which this member
// leads: the versions of a later term are higher than all versions of earlier ones. changed: the
// list has changed, so watchers must be notified; uncertain: a server is missing for the first
// time, so the platform should be asked again soon.
func (l *endpointList) merge(term uint64, list []api.Server) (changed, uncertain bool, err error) {
	changed, uncertain = l.endpoints.Merge(l.clockMs(), list)
	if !changed && l.table.Version() != 0 {
		return false, uncertain, nil
	}
	rows := make(map[string][]byte, l.endpoints.Len())
	for s, warm := range l.endpoints.All {
		if rows[s.ID], err = api.EncodeServerRow(s, warm); err != nil {
			return false, uncertain, err
		}
	}
	l.table.Replace(max(l.table.Version()+1, term<<32), rows)
	return true, uncertain, nil
}

// applyDelta applies a delta from the leader; clockMs was the leader's time on the table's clock
// when it sent the delta.
func (l *endpointList) applyDelta(delta *versioned.DeltaReader, clockMs float64) error {
	rows, err := delta.ApplyTo(l.table.Version(), l.table.Rows())
	if err != nil {
		return err
	}
	l.table.Replace(delta.To, rows)
	l.skew += clockMs - l.clockMs()
	return nil
}
