package discovery

import "example.org/elmspan/api"

// maxRemembered bounds the servers that are remembered as draining or removed. The oldest are
// forgotten: by then the platform's list has not had them for long.
const maxRemembered = 8192

// OneWayStates remembers which servers were seen draining or removed. The state of a server
// moves in one direction: in service, draining, removed. Answers of the platform may be older
// than others, and lists may come late or from a process that knows less: a state that was
// seen is never taken back. An id names one life of a server and is not used again. The zero
// value is ready for use. It is not safe for concurrent use.
type OneWayStates struct {
	removed map[string]bool // has the servers seen draining; true: removed
	order   []string        // the keys of removed, oldest first
}

// Apply sets the state of a server to the furthest that was seen, and remembers it. It tells
// whether the server is there: false for one that was removed.
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

// MarkRemoved remembers that a server was removed.
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
