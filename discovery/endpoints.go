package discovery

import "example.org/elmspan/api"

// missesUntilRemoved is in how many answers in a row a server must be missing to count as
// removed. One may slip from one page of the list to another between two calls.
const missesUntilRemoved = 2

// EndpointList is the list of servers that follows from the answers of the platform, merged one
// after the other. The zero value is empty. It reads no clock, and is not safe for concurrent
// use.
type EndpointList struct {
	states  OneWayStates
	servers map[string]*endpoint // by id
}

type endpoint struct {
	api.Server         // with WarmupMs 0: warmAtMs has it
	warmAtMs   float64 // when its slow start ends, on the caller's clock
	misses     int     // answers in a row that did not have it
}

// Merge takes in an answer at a time on the caller's clock, in milliseconds. changed: the list
// is another, apart from the time that slow starts have left. uncertain: a server is missing
// for the first time, and another answer soon will tell whether it was removed.
func (l *EndpointList) Merge(nowMs float64, answer []api.Server) (changed, uncertain bool) {
	present := make(map[string]bool, len(answer))
	for _, s := range answer {
		if !l.states.Apply(&s) {
			continue
		}
		present[s.ID] = true
		changed = l.update(s, nowMs) || changed
	}
	for id, e := range l.servers {
		if present[id] {
			continue
		}
		e.misses++
		if e.State == api.Draining || e.misses >= missesUntilRemoved {
			l.remove(id)
			changed = true
		} else {
			uncertain = true
		}
	}
	return changed, uncertain
}

// update takes in a server of an answer, and reports whether the list has changed. The end of the
// slow start is that of the first answer.
func (l *EndpointList) update(s api.Server, nowMs float64) bool {
	warmAtMs := nowMs + s.WarmupMs
	s.WarmupMs = 0
	e := l.servers[s.ID]
	if e == nil {
		l.add(s, warmAtMs)
		return true
	}
	e.misses = 0
	if e.Server == s {
		return false
	}
	e.Server = s
	return true
}

func (l *EndpointList) add(s api.Server, warmAtMs float64) {
	if l.servers == nil {
		l.servers = map[string]*endpoint{}
	}
	l.servers[s.ID] = &endpoint{Server: s, warmAtMs: warmAtMs}
}

func (l *EndpointList) remove(id string) {
	l.states.MarkRemoved(id)
	delete(l.servers, id)
}

// Add takes over a server from another list, with the end of its slow start on the caller's
// clock, in milliseconds. One that was removed from this list is ignored.
func (l *EndpointList) Add(s api.Server, warmAtMs float64) {
	if l.states.Apply(&s) {
		s.WarmupMs = 0
		l.add(s, warmAtMs)
	}
}

// All is an iterator over the servers, in no order, with the end of each one's slow start on
// the caller's clock, in milliseconds.
func (l *EndpointList) All(yield func(s api.Server, warmAtMs float64) bool) {
	for _, e := range l.servers {
		if !yield(e.Server, e.warmAtMs) {
			return
		}
	}
}

// Len is the number of servers.
func (l *EndpointList) Len() int { return len(l.servers) }
