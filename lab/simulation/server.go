package simulation

import (
	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// server is one life of a server: so many slots, a queue, and no more. Its
// model is that of the emulator's.
type server struct {
	f        *fleet
	id, zone string
	spec     *scenario.Service
	bornMs   float64
	slow     float64 // work takes so many times as long
	lose     float64 // share of answers that are lost
	draining bool
	dead     bool
	busy     int
	queue    []*job
	inHand   map[*job]bool
}

// job is a request at a server.
type job struct {
	id       string
	tenant   string
	class    *scenario.Class
	deadline float64
	answer   func(r balance.Result, ran, answered bool)
	over     bool
}

func (j *job) end(r balance.Result, ran, answered bool) {
	if !j.over {
		j.over = true
		j.answer(r, ran, answered)
	}
}

func (s *server) entry(now float64) api.Server {
	e := api.Server{ID: s.id, Upstream: s.spec.Name, Addr: s.id, Zone: s.zone, Revision: "v1", Capacity: s.spec.Slots,
		State: "in_service", WarmupMs: max(0, 1000*s.spec.WarmupS-(now-s.bornMs))}
	if s.draining {
		e.State = api.Draining
	}
	return e
}

// arrive takes a request in, or turns it away.
func (s *server) arrive(j *job) {
	e := &s.f.engine
	s.f.ledger.Arrived(j.id, s.spec.Name)
	if s.busy+len(s.queue) >= s.spec.Slots+s.spec.Queue {
		if s.spec.HangsWhenFull {
			e.after(j.deadline-e.now, func() { j.end(balance.Failure, true, false) })
			return
		}
		j.end(balance.Rejected, false, false)
		return
	}
	s.inHand[j] = true
	s.queue = append(s.queue, j)
	s.next()
}

// next starts what waits while there are slots.
func (s *server) next() {
	e := &s.f.engine
	for s.busy < s.spec.Slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if e.now >= j.deadline { // its time is up: it does not run
			delete(s.inHand, j)
			j.end(balance.Rejected, false, false)
			continue
		}
		s.busy++
		s.f.ledger.Ran(j.id, checker.Run{Service: s.spec.Name, Member: s.id, Tenant: j.tenant}, false)
		work := j.class.DrawWork(s.f.rng, s.slow, e.now-s.bornMs < 1000*s.spec.WarmupS)
		lost := s.f.rng.Float64() < s.lose
		e.after(work, func() {
			if s.dead {
				return
			}
			s.busy--
			delete(s.inHand, j)
			if lost {
				e.after(j.deadline-e.now, func() { j.end(balance.Failure, true, false) })
			} else {
				j.end(balance.Success, true, true)
			}
			s.next()
		})
	}
}

// stop ends the server: what it has in hand is cut off.
func (s *server) stop() {
	s.dead = true
	jobs := s.f.jobsInOrder(s.inHand)
	clear(s.inHand)
	s.queue = nil
	for _, j := range jobs {
		j.end(balance.Failure, true, false)
	}
}
