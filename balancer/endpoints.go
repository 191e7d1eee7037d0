package balancer

// The list of servers, and the subset of it that this limiter uses.

import (
	"cmp"
	"slices"
)

// minSubsetServers is the least number of servers in the subset of a limiter.
const minSubsetServers = 12

// A failed request for the list is repeated after minRewatchMs plus a random part of
// rewatchJitterMs.
const (
	minRewatchMs    = 1000
	rewatchJitterMs = 1000
)

// server is the state of a server process at this limiter.
type server struct {
	info     ServerInfo
	inSubset bool // part of the subset that this limiter normally uses
	inFlight int  // attempts of this limiter in flight there

	// Decaying sums of the response times relative to the typical ones, and of their number.
	relativeTimeSum        float64
	responseWeight         float64
	responseTimesDecayedAt float64

	// Credit for requests in slow start: one request costs 1. It is at most 1 and may be
	// negative.
	slowStartCredit   float64
	slowStartCreditAt float64

	down            bool
	connectFailures int     // consecutive
	rejectingUntil  float64 // it rejected a request and gets none until this time
	waitingSince    float64 // time of the last response, or of the first attempt in flight if that is later
	probedAt        float64
	ejections       []ejection // by class
}

// newServer returns the state of a server process about which nothing is known. Its slow-start
// credit is random, so that limiters don't all send it their first requests at once.
func (l *Limiter) newServer(now float64, inFlight int) *server {
	return &server{inFlight: inFlight, waitingSince: now, slowStartCredit: l.rng.Float64(), slowStartCreditAt: now,
		ejections: make([]ejection, len(l.cfg.Classes))}
}

// handleEndpoints applies a list of servers or a change to it. A server with another start time
// is another process: nothing that is known about the former one applies.
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

// rebuildServerList removes servers that are no longer listed and have no attempt in flight,
// and sorts the others by id, so that equal events yield equal actions.
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
// subsetting. If each of many limiters used all servers, each would send a server so little
// that every other request needed a new connection, and would learn nothing about any server.
// Each group of limiters divides all servers among its members, in an order of its own, so that
// every server is used by equally many limiters and few assignments change with the list. The
// number of parts is a power of two, so that a part of a coarser division contains those of the
// finer ones.
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

// hash64 mixes the bits of a number with the finalizer of splitmix64.
func hash64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
