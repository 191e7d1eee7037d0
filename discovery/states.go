package discovery

import "example.org/elmspan/api"

// maxRemembered bounds the number of draining or removed servers that are remembered. The oldest
// are evicted: they have been missing from the platform's list for a long time by then.
const maxRemembered = 8192

// OneWayStates records which servers have been observed as draining or removed. The state of a
// server only moves forward: in service, draining, removed. As the platform's responses may be
// stale, and lists may arrive late or from a process with less recent data, an observed state is
// never reverted. An ID identifies one run of a server and is not reused. The zero value is ready
// to use. It is not safe for concurrent use.
type OneWayStates struct {
	removed map[string]bool // by ID; false: the server was observed as draining, true: it was removed
	order   []string        // the keys of removed, oldest first
}

// Apply advances the state of a server to the latest one observed, and records it. It returns
// false if the server has been removed.
func (o *OneWayStates) Apply(s *api.Server) bool {
	removed, seen := o.removed[s.ID]
	switch {
	case removed:
		return false
	case seen:
		s.State = api.Draining
	case s.State == api.Draining:
		o.remember(s.ID, false)
	}
	return true
}

// MarkRemoved records that a server has been removed.
func (o *OneWayStates) MarkRemoved(id string) { o.remember(id, true) }

func (o *OneWayStates) remember(id string, removed bool) {
	if o.removed == nil {
		o.removed = map[string]bool{}
	}
	if _, seen := o.removed[id]; !seen {
		o.order = append(o.order, id)
		if len(o.order) > maxRemembered {
			delete(o.removed, o.order[0])
			o.order = o.order[1:]
		}
	}
	o.removed[id] = removed
}
