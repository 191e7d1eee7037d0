package balancer

// This file has the list of servers and the subset of it that this limiter uses.

import (
	"cmp"
	"slices"
)

// minSubsetServers is the least number of servers in the subset of a limiter.
const minSubsetServers = 12

// Bounds of the pause after which a failed request for the list is repeated, in ms.
const (
	minRewatchMs    = 1000
	rewatchJitterMs = 1000
)

// server is what is known of a server process.
type server struct {
	info     ServerInfo
	inSubset bool // this limiter normally uses it
	inFlight int  // attempts of this limiter there

	// Decaying sums of response times against the typical ones, and of their number.
	relativeTimeSum  float64
	answerWeight     float64
	answersDecayedAt float64

	// Credit for one request in slow start, from below 0 to 1.
	slowStartCredit   float64
	slowStartCreditAt float64

	down            bool
	connectFailures int     // in a row
	rejectingUntil  float64 // it rejected a request and gets none until then
	waitingSince    float64 // last response, or first request in flight after it
	probedAt        float64
	ejections       []ejection // by class
}

// newServer returns the record of a server process of which nothing is known. Its credit in
// slow start is random, so that limiters don't send their first requests to it together.
func (l *Limiter) newServer(now float64, inFlight int) *server {
	return &server{inFlight: inFlight, waitingSince: now, slowStartCredit: l.rng.Float64(), slowStartCreditAt: now,
		ejections: make([]ejection, len(l.cfg.Classes))}
}

// handleEndpoints takes in a list of servers or a change of it. A server with another start
// time is another process: nothing that is known of the former one holds.
func (l *Limiter) handleEndpoints(now float64, e Endpoints) {
	if e.Scope == Failed {
		if l.cfg.PollMembership {
			l.emit(SetTimer{At: now + minRewatchMs + rewatchJitterMs*l.rng.Float64(), Name: rewatchTimer})
		}
		return
	}
	if e.Scope != Partial {
		for _, s := range l.serverList {
			s.info.Phase = Removed
		}
	}
	for _, info := range e.Servers {
		s := l.servers[info.ID]
		if s == nil {
			s = l.newServer(now, 0)
			l.servers[info.ID] = s
		} else if s.info.ReadyAt != info.ReadyAt {
			*s = *l.newServer(now, s.inFlight)
		}
		s.info = info
	}
	l.rebuildServerList()
	l.chooseSubset()
}

// rebuildServerList removes servers that are no longer listed once no attempt is in flight
// there, and orders the others by id, so that equal events give equal actions.
func (l *Limiter) rebuildServerList() {
	l.serverList = l.serverList[:0]
	for id, s := range l.servers {
		if s.info.Phase == Removed && s.inFlight == 0 {
			delete(l.servers, id)
		} else {
			l.serverList = append(l.serverList, s)
		}
	}
	slices.SortFunc(l.serverList, func(a, b *server) int { return cmp.Compare(a.info.ID, b.info.ID) })
}

// chooseSubset chooses the servers that this limiter normally uses, by deterministic
// subsetting. One of many limiters that used all servers would send each so little that every
// other request needed a new connection, and would learn nothing of any. Each group of
// limiters divides all servers among its members, in an order of its own, so that every
// server has equally many limiters and few change when the list does. The number of parts is
// a power of two: a part of a coarser division holds the finer ones.
func (l *Limiter) chooseSubset() {
	var up []*server
	for _, s := range l.serverList {
		s.inSubset = false
		if s.info.Phase == Up {
			up = append(up, s)
		}
	}
	parts := 1
	for 2*parts*minSubsetServers <= len(up) && 2*parts*smallFleet <= l.cfg.Balancers {
		parts *= 2
	}
	salt := hash64(uint64(l.cfg.Position/parts) + 1)
	slices.SortStableFunc(up, func(a, b *server) int {
		return cmp.Compare(hash64(a.info.ID^salt), hash64(b.info.ID^salt))
	})
	for k, s := range up {
		s.inSubset = k*parts/len(up) == l.cfg.Position%parts
	}
}

// hash64 spreads a number over all bits: the finalizer of splitmix64.
func hash64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
