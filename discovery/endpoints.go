package discovery

import "example.org/elmspan/api"

// missesUntilRemoved is the number of consecutive responses without a server after which it is
// removed, unless it was draining: then the first one suffices. A single response may omit a
// server that moved from one page of the list to another between two calls.
const missesUntilRemoved = 2

// EndpointList is the list of servers that results from merging the platform's responses. The
// zero value is an empty list. It reads no clock: callers pass the time. It is not safe for
// concurrent use.
type EndpointList struct {
	states  OneWayStates
	servers map[string]*endpoint // by id
}

type endpoint struct {
	api.Server         // WarmupMs is always 0; see warmAtMs
	warmAtMs   float64 // end of the slow start, on the caller's clock
	misses     int     // consecutive responses without the server
}

// Merge merges a response into the list. nowMs is the current time in milliseconds on the
// caller's clock. changed reports whether the list has changed; the remaining time of slow starts
// does not count. uncertain reports whether the list still has a server that is missing from the
// response: the caller should query the platform again soon to find out whether it was removed.
func (l *EndpointList) Merge(nowMs float64, response []api.Server) (changed, uncertain bool) {
	present := make(map[string]bool, len(response))
	for _, s := range response {
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

// update merges a server of a response and reports whether the list has changed. The end of the
// slow start is set by the first response that has the server.
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

// Add adds a server from another list. warmAtMs is the end of its slow start, in milliseconds on
// the caller's clock. A server that was removed from this list is ignored.
func (l *EndpointList) Add(s api.Server, warmAtMs float64) {
	if l.states.Apply(&s) {
		s.WarmupMs = 0
		l.add(s, warmAtMs)
	}
}

// All iterates over the servers in unspecified order, with the end of each server's slow start
// in milliseconds on the caller's clock.
func (l *EndpointList) All(yield func(s api.Server, warmAtMs float64) bool) {
	for _, e := range l.servers {
		if !yield(e.Server, e.warmAtMs) {
			return
		}
	}
}

// Len returns the number of servers.
func (l *EndpointList) Len() int { return len(l.servers) }
