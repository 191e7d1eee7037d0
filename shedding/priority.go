// Package shedding decides whose requests are refused first where not all can be served: those of lower
// priorities, but never so often that a priority is starved.
package shedding

import "cmp"

// Priority is the rank of a request where not all can be served. The zero value is the highest.
type Priority struct {
	First int // of the tenant; of the route, if the request has no tenant. 0 is the highest.
	Route int // decides between requests with the same First. 0 is the highest.
}

// Compare returns a negative number if p ranks higher than q, 0 if they are equal, and a positive
// number if it ranks lower.
func (p Priority) Compare(q Priority) int {
	return cmp.Or(cmp.Compare(p.First, q.First), cmp.Compare(p.Route, q.Route))
}
