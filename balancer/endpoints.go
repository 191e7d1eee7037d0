package balancer

// This file has the list of servers and the subset of it that this limiter uses.

import (
	"cmp"
	"slices"
)

// minSubsetServers is the least number of servers in the subset of a limiter.
const minSubsetServers = 12

type server struct {
	info                               ServerInfo
	inSubset                           bool // in this gateway's subset
	inflight                           int
	relativeTimeSum, answerWeight      float64 // decayed sums: times taken against the typical, and answers
	answersDecayedAt                   float64
	slowStartCredit, slowStartCreditAt float64 // saved up for one request while it is cold
	connectFailures                    int     // failed connects in a row
	down                               bool
	rejectingUntil                     float64
	waitingSince                       float64 // since when it owes an answer
	probedAt                           float64
	ejections                          []ejection // by class
}

// newServer is the record of a server process of which nothing is known.
func (l *Limiter) newServer(now float64, inflight int) *server {
	return &server{inflight: inflight, waitingSince: now, slowStartCredit: l.rng.Float64(), slowStartCreditAt: now,
		ejections: make([]ejection, len(l.cfg.Classes))}
}

func (l *Limiter) handleEndpoints(now float64, e Endpoints) {
	if e.Scope == Failed {
		if l.cfg.PollMembership {
			l.emit(SetTimer{At: now + 1000 + 1000*l.rng.Float64(), Name: "ask"})
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
		} else if s.info.ReadyAt != info.ReadyAt { // another process: nothing learnt holds
			*s = *l.newServer(now, s.inflight)
		}
		s.info = info
	}
	l.serverList = l.serverList[:0]
	for id, s := range l.servers {
		if s.info.Phase == Removed && s.inflight == 0 {
			delete(l.servers, id)
		} else {
			l.serverList = append(l.serverList, s)
		}
	}
	slices.SortFunc(l.serverList, func(a, b *server) int { return cmp.Compare(a.info.ID, b.info.ID) })
	l.chooseSubset()
}

// subset chooses the servers that this gateway normally uses. One of many gateways
// that used all would meet each so seldom that every other request needed a new
// connection, and would learn nothing of any. Each round of gateways deals all
// servers out among its members, in an order of its own, so that every server has
// equally many gateways, and few change when the list does. The number of parts is
// a power of two: a part of a coarser division holds the finer ones.
func (l *Limiter) chooseSubset() {
	var up []*server
	for _, s := range l.serverList {
		if s.inSubset = false; s.info.Phase == Up {
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

// mix scatters a number over all bits.
func hash64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
