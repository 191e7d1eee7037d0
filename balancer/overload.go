package balancer

// Admission under overload: whose requests are rejected first.

import (
	"slices"

	"example.org/elmspan/shedding"
)

// rankPlans returns the priority of each plan's requests, by class: the operator ranks classes by
// Class.Value and plans by Plan.Price, and a request by their product. Only the order matters.
func rankPlans(classes []Class, plans []Plan) [][]shedding.Priority {
	var worth []float64
	for _, c := range classes {
		for _, p := range plans {
			worth = append(worth, c.Value*p.Price)
		}
	}
	slices.Sort(worth)
	worth = slices.Compact(worth)
	ranks := make([][]shedding.Priority, len(classes))
	for class, c := range classes {
		for _, p := range plans {
			position, _ := slices.BinarySearch(worth, c.Value*p.Price)
			ranks[class] = append(ranks[class], shedding.Priority{First: len(worth) - 1 - position})
		}
	}
	return ranks
}

// admitToServer chooses the server of a request's first attempt. While requests of a higher priority
// have been rejected and may come back, only idle servers are considered. If there is none, it returns
// nil and the time in ms after which a retry may succeed.
func (l *Limiter) admitToServer(now float64, r *request) (s *server, wait float64) {
	rank := l.ranks[r.class][r.customer.plan]
	priority := l.shares.Effective(rank)
	r.idleOnly = l.shortage.GivesWay(now, priority)
	s, wait = l.chooseServer(now, r)
	switch {
	case s != nil:
	case r.idleOnly:
		wait = max(wait, l.shortage.RemainingMs(now))
	default:
		l.shortage.Record(now, priority, wait)
	}
	r.idleOnly = false // it may be retried at any server
	l.shares.Record(now, rank, s != nil)
	return s, wait
}
