package shedding

// Shortage records that there was no server for a request of some priority. Until that request may come
// back, requests of lower priorities get only servers that are idle: in the queues they would take the
// room that it comes back for. The zero value has recorded nothing.
type Shortage struct {
	priority Priority // the highest that was refused
	until    float64  // when the last request of that priority may come back
}

// Record records that a request was refused and told to come back after retryAfterMs.
func (s *Shortage) Record(now float64, p Priority, retryAfterMs float64) {
	rank := p.Compare(s.priority)
	switch {
	case now >= s.until || rank < 0:
		*s = Shortage{priority: p, until: now + retryAfterMs}
	case rank == 0:
		s.until = max(s.until, now+retryAfterMs)
	}
}

// GivesWay reports whether requests of a priority get only idle servers now.
func (s *Shortage) GivesWay(now float64, p Priority) bool {
	return now < s.until && p.Compare(s.priority) > 0
}

// RemainingMs returns the time until no request gives way any more.
func (s *Shortage) RemainingMs(now float64) float64 { return max(0, s.until-now) }
