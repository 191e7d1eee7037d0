package discovery

import "example.org/elmspan/api"

const (
	mostLatched = 8192 // servers that are remembered as draining or gone
	missesGone  = 2    // answers of the platform in a row without a server: it is gone
)

// Latch remembers which servers were seen draining or gone. A server's life goes
// one way: in service, draining, gone. Whatever an answer of the platform says
// that is older than another, or a list that is told late or by one who knows
// less: what was seen further on that way is not taken back. Ids name one life
// of a server and are not used again. The zero value is ready for use.
type OneWayStates struct {
	seen  map[string]bool // draining, or gone: true
	order []string        // oldest first
}

// Pass corrects a server's state by what was seen before; false: it is gone.
func (l *OneWayStates) Apply(s *api.Server) bool {
	gone, seen := l.seen[s.ID]
	switch {
	case gone:
		return false
	case seen:
		s.State = api.Draining
	case s.State == api.Draining:
		l.note(s.ID, false)
	}
	return true
}

// End notes that a server is gone.
func (l *OneWayStates) MarkRemoved(id string) { l.note(id, true) }

func (l *OneWayStates) note(id string, gone bool) {
	if l.seen == nil {
		l.seen = map[string]bool{}
	}
	if _, had := l.seen[id]; !had {
		if l.order = append(l.order, id); len(l.order) > mostLatched {
			delete(l.seen, l.order[0])
			l.order = l.order[1:]
		}
	}
	l.seen[id] = gone
}

// Roster is the list of servers as the answers of the platform give it, one
// after the other. The zero value knows none. It reads no clock.
type EndpointList struct {
	latch   OneWayStates
	servers map[string]*listed
}

type listed struct {
	api.Server
	warmAtMs float64 // the server is slow until then
	misses   int     // answers in a row that did not have it
}

// Merge takes in an answer. news: something else than time has changed. doubt: a
// server is missing for the first time. It may be gone, or have slipped from one
// page of the list to another between two calls: another answer soon will tell.
func (r *EndpointList) Merge(nowMs float64, answer []api.Server) (news, doubt bool) {
	if r.servers == nil {
		r.servers = map[string]*listed{}
	}
	is := make(map[string]bool, len(answer))
	for _, s := range answer {
		if !r.latch.Apply(&s) {
			continue
		}
		is[s.ID] = true
		warm := nowMs + s.WarmupMs
		s.WarmupMs = 0
		old := r.servers[s.ID]
		if old == nil {
			r.servers[s.ID] = &listed{Server: s, warmAtMs: warm}
			news = true
			continue
		}
		old.misses = 0
		if old.Server != s {
			old.Server, news = s, true
		}
	}
	for id, s := range r.servers {
		if is[id] {
			continue
		}
		if s.misses++; s.State == api.Draining || s.misses >= missesGone {
			r.latch.MarkRemoved(id)
			delete(r.servers, id)
			news = true
		} else {
			doubt = true
		}
	}
	return news, doubt
}

// Seed puts in a server as another roster had it.
func (r *EndpointList) Add(s api.Server, warmAtMs float64) {
	if r.servers == nil {
		r.servers = map[string]*listed{}
	}
	if r.latch.Apply(&s) {
		s.WarmupMs = 0
		r.servers[s.ID] = &listed{Server: s, warmAtMs: warmAtMs}
	}
}

// All calls a function for each server, with until when it is slow from its
// start, until it returns false.
func (r *EndpointList) All(yield func(s api.Server, warmAtMs float64) bool) {
	for _, s := range r.servers {
		if !yield(s.Server, s.warmAtMs) {
			return
		}
	}
}

// Len is the number of servers.
func (r *EndpointList) Len() int { return len(r.servers) }
