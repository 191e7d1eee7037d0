package controlplane

import (
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/discovery"
	"example.org/elmspan/versioned"
)

// endpointList is the list of servers at one member: the leader's own, made of the platform's
// answers, or what the leader sent. A new leader goes on with what the one before sent it: its
// versions are higher, and what was seen draining or gone stays so (discovery.OneWayStates).
// It does no I/O; in a Core it is guarded by Core.mu.
type endpointList struct {
	endpoints discovery.EndpointList // of the platform's answers, at the leader
	table     versioned.Table        // the list, as it is sent
	start     time.Time              // when this member's clock of the table began
	skew      float64                // ms of the table's clock, which is the first leader's, against this member's
}

// clockMs is the time on the table's clock.
func (l *endpointList) clockMs() float64 {
	if l.start.IsZero() {
		l.start = time.Now()
	}
	return float64(time.Since(l.start))/float64(time.Millisecond) + l.skew
}

// becomeLeader has this member go on with what it was sent as a follower.
func (l *endpointList) becomeLeader() {
	l.endpoints = discovery.EndpointList{}
	for id, row := range l.table.Rows() {
		// At the beginning of the table's clock, so that until when a server is slow stays
		// what it was: else each row would change, and limiters be sent the complete list.
		if s, err := api.ParseServerRow(id, row, 0); err == nil {
			l.endpoints.Add(s, s.WarmupMs)
		}
	}
}

// merge merges the platform's answer into the list, in a term of this leader. changed: watchers are to be notified;
// uncertain: another answer is wanted soon.
func (l *endpointList) merge(term uint64, servers []api.Server) (changed, uncertain bool, err error) {
	changed, uncertain = l.endpoints.Merge(l.clockMs(), servers)
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

// applyDelta applies what the leader sent; clockMs was the time on its clock then.
func (l *endpointList) applyDelta(delta *versioned.DeltaReader, clockMs float64) error {
	rows, err := delta.ApplyTo(l.table.Version(), l.table.Rows())
	if err != nil {
		return err
	}
	l.table.Replace(delta.To, rows)
	l.skew += clockMs - l.clockMs()
	return nil
}
