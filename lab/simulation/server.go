package simulation

import (
	"cmp"
	"maps"
	"slices"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// server is one incarnation of a server: a number of slots, a bounded queue, and no more.
// Its model is that of the emulator.
type server struct {
	fleet     *fleet
	id, zone  string
	spec      *scenario.Service
	startedMs float64
	slowdown  float64 // factor on the time that work takes
	lossShare float64 // share of answers that are lost
	draining  bool
	dead      bool
	busy      int // slots in use
	queue     []*job
	accepted  map[*job]bool // queued or running
}

// job is an attempt at a server.
type job struct {
	id       string
	tenant   string
	class    *scenario.Class
	deadline float64
	answer   func(r balance.Result, ran, answered bool)
	ended    bool
}

// end answers once; later calls do nothing.
func (j *job) end(r balance.Result, ran, answered bool) {
	if !j.ended {
		j.ended = true
		j.answer(r, ran, answered)
	}
}

// listEntry is the server as the platform lists it.
func (s *server) listEntry(now float64) api.Server {
	e := api.Server{ID: s.id, Upstream: s.spec.Name, Addr: s.id, Zone: s.zone, Revision: "v1", Capacity: s.spec.Slots,
		State: api.InService, WarmupMs: max(0, 1000*s.spec.WarmupS-(now-s.startedMs))}
	if s.draining {
		e.State = api.Draining
	}
	return e
}

// arrive accepts an attempt or rejects it.
func (s *server) arrive(j *job) {
	e := &s.fleet.engine
	s.fleet.log.Arrived(j.id, s.spec.Name, s.id)
	if s.busy+len(s.queue) >= s.spec.Slots+s.spec.Queue {
		if s.spec.HangsWhenFull {
			e.after(j.deadline-e.now, func() { j.end(balance.Failure, true, false) })
			return
		}
		j.end(balance.Rejected, false, false)
		return
	}
	s.accepted[j] = true
	s.queue = append(s.queue, j)
	s.startQueued()
}

// startQueued starts queued jobs while there are free slots.
func (s *server) startQueued() {
	for s.busy < s.spec.Slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if s.fleet.engine.now >= j.deadline { // it does not run
			delete(s.accepted, j)
			j.end(balance.Rejected, false, false)
			continue
		}
		s.run(j)
	}
}

func (s *server) run(j *job) {
	e := &s.fleet.engine
	s.busy++
	s.fleet.log.Ran(j.id, checker.Run{Service: s.spec.Name, Member: s.id, Tenant: j.tenant}, false)
	work := j.class.DrawWork(s.fleet.rng, s.slowdown, e.now-s.startedMs < 1000*s.spec.WarmupS)
	lost := s.fleet.rng.Float64() < s.lossShare
	e.after(work, func() {
		if s.dead {
			return
		}
		s.busy--
		delete(s.accepted, j)
		if lost {
			e.after(j.deadline-e.now, func() { j.end(balance.Failure, true, false) })
		} else {
			j.end(balance.Success, true, true)
		}
		s.startQueued()
	})
}

// stop ends the server: what it accepted is cut off, in the order of the attempts' ids.
func (s *server) stop() {
	s.dead = true
	jobs := slices.SortedFunc(maps.Keys(s.accepted), func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	clear(s.accepted)
	s.queue = nil
	for _, j := range jobs {
		j.end(balance.Failure, true, false)
	}
}
