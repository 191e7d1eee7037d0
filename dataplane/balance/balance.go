// Package balance chooses servers. One limiter of many sees little of what a
// server has in hand; so limiters tell each other what they have out and how
// long each answer took, and choose by the sum. Where figures are equal each
// limiter prefers servers of its own, so that two do not take the same one at
// the same time. It reads no clock and does no I/O; times are in milliseconds.
package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/health"
)

// NeighborReach is how many limiters of its zone, on each side of it by their ids, a
// limiter of a large fleet hears the loads of; see [Set.deal].
const NeighborReach = 1

const (
	closeLeast  = 4 // fewer servers are not kept apart
	sampleSize  = 3 // drawn at random where those near won't do ...
	sampleDraws = 8 // ... in so many draws at most

	hintMs          = 1500.0 // a limiter's word on its load counts so long
	slowWeight      = 0.15   // of one answer in a server's slowness
	fadeMs          = 4000.0 // slowness fades towards the typical over this time
	workWeight      = 0.02   // of one answer in a service's typical work
	fullMs          = 60.0   // a server that was full is left alone so long
	movedMs         = 8000.0 // another server stands at its address
	toldWeight      = 0.25   // of a failure that another limiter tells of
	fullWeight      = 0.4    // ... of a server that says it is full, and has room as far as is known
	lateWeight      = 0.5    // ... of one that owes an answer for long
	zoneWeight      = 0.6    // of a failure at a server, against its zone; see zone.go
	doubtCost       = 0.5    // what nearly enough against a server costs ...
	onceCost        = 2.0    // ... a request that must not run twice: a failure is the end of it
	crossCost       = 0.5    // of typical work: what a server in another zone costs more
	bulkCost        = 0.7    // ... where answers are large and bytes between zones are paid for ...
	manyBulk        = 2.0    // ... in a large fleet, where there are enough in the zone
	queueCost       = 1.8    // waiting counts more than work: it is what makes answers late
	manyQueue       = 3.0    // ... in a large fleet, where nobody tells what waits
	fillCost        = 0.2    // servers slow down when nearly full
	otherCost       = 0.2    // a server that another limiter prefers ...
	manyOther       = 0.5    // ... in a large fleet
	coldFactor      = 2.0    // a cold server is so much slower, at the most
	LatencyFailed   = 255    // in Hint.Took: the answer failed
	InFlightUnknown = 255    // in Hint.Out: that is not told
	tookScale       = 16.0
)

// Hint is what a limiter tells of a server: what it has out there and, where
// an answer has come, how long that took against the typical one.
type Hint struct {
	Server   uint32 // hash of the member's id
	InFlight uint8
	Latency  uint8 // in sixteenths of the typical time, 0: no answer since
}

// Member is one server process.
type Member struct {
	api.Server
	Hash    uint32
	service *service
	out     int
	others  map[uint64]told
	slow    float64
	slowAt  float64
	health  health.Detector
	awayTo  float64 // not at its address
	goodAt  float64 // it answered last ...
	badAt   float64 // ... and failed to
	fullTo  float64
	warmAt  float64
	rank    uint8   // 0: this limiter prefers it, 1: others of the zone do, 2: far away in a large fleet
	foreign float64 // part of it that is others', in a large fleet
}

type told struct {
	out int
	at  float64
}

type service struct {
	members []*Member
	close   []*Member // in a large fleet: those of the limiters next to this one
	work    float64
	n       float64
	rate    float64 // requests a second of this limiter's, fading
	rateAt  float64
	demand  map[uint64]float64 // of the other limiters of the zone, as told
	usual   health.Baseline
}

// Set is what one limiter knows of the servers. It is not safe for concurrent use.
type Set struct {
	zone     string
	self     uint64
	peers    []uint64 // limiters in this zone, self included
	many     bool     // other zones' limiters say nothing of their loads
	rng      *rand.Rand
	byID     map[string]*Member
	byHash   map[uint32]*Member
	services map[string]*service
	dirty    map[uint32]uint8
	drawn    []*Member
	dealtAt  float64
	zones    map[string]*health.Detector
}

// New returns a set for a limiter, by the hash of its name, in a zone.
func New(zone string, self, seed uint64) *Set {
	return &Set{zone: zone, self: self, rng: rand.New(rand.NewPCG(seed, 0xba1)), byID: map[string]*Member{},
		byHash: map[uint32]*Member{}, services: map[string]*service{}, dirty: map[uint32]uint8{}, zones: map[string]*health.Detector{}}
}

// SetServers takes in a whole list of servers. One with a new member id is a new
// server, whatever stood at its address.
func (s *Set) SetServers(now float64, list []api.Server) {
	is := make(map[string]bool, len(list))
	for _, e := range list {
		is[e.ID] = true
	}
	var gone []string
	for id := range s.byID {
		if !is[id] {
			gone = append(gone, id)
		}
	}
	s.ApplyDelta(now, list, gone)
}

// ApplyDelta takes in servers that are new or not as they were, and which are gone.
func (s *Set) ApplyDelta(now float64, put []api.Server, gone []string) {
	touched := map[string]bool{}
	for _, id := range gone {
		m := s.byID[id]
		if m == nil {
			continue
		}
		delete(s.byID, id)
		if s.byHash[m.Hash] == m {
			delete(s.byHash, m.Hash)
		}
		s.leave(m)
		touched[m.Upstream] = true
	}
	for _, e := range put {
		m := s.byID[e.ID]
		if m == nil {
			m = &Member{Hash: uint32(xxhash.Sum64String(e.ID)), slow: 1, slowAt: now, others: map[uint64]told{}}
			s.byID[e.ID], s.byHash[m.Hash] = m, m
		} else if m.Upstream != e.Upstream {
			touched[m.Upstream] = true
			s.leave(m)
		}
		m.Server, m.warmAt = e, now+e.WarmupMs
		m.Capacity = max(1, m.Capacity)
		s.join(m)
		touched[m.Upstream] = true
	}
	for name := range touched {
		if v := s.services[name]; v != nil {
			s.prefer(v)
		}
	}
}

// place is where a server stands among those of its service, by id.
func (v *service) place(m *Member) (int, bool) {
	return slices.BinarySearchFunc(v.members, m, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *Set) join(m *Member) {
	v := s.services[m.Upstream]
	if v == nil {
		v = &service{demand: map[uint64]float64{}}
		s.services[m.Upstream] = v
	}
	m.service = v
	if i, is := v.place(m); !is {
		v.members = slices.Insert(v.members, i, m)
	}
}

func (s *Set) leave(m *Member) {
	v := s.services[m.Upstream]
	if i, is := v.place(m); is {
		v.members = slices.Delete(v.members, i, i+1)
	}
	if len(v.members) == 0 {
		delete(s.services, m.Upstream)
	}
}

// SetPeers says which other limiters there are in this zone, by the hashes of
// their names, and whether there are so many in all that those of other zones
// say nothing of what they have out.
func (s *Set) SetPeers(ids []uint64, many bool) {
	s.peers, s.many = append([]uint64{s.self}, ids...), many
	slices.Sort(s.peers)
	for _, v := range s.services {
		s.prefer(v)
	}
}

// prefer deals a service's servers of the zone out among the limiters of it.
func (s *Set) prefer(v *service) {
	if s.many {
		s.deal(v)
		return
	}
	at, p := max(0, slices.Index(s.peers, s.self)), max(1, len(s.peers))
	k := 0
	for _, m := range v.members {
		m.rank = 1
		if m.Zone == s.zone && m.State != api.Draining {
			if k%p == at {
				m.rank = 0
			}
			k++
		}
	}
}

// Load is what is out at a server, here and elsewhere.
func (m *Member) Load(now float64) float64 {
	n := float64(m.out)
	for id, t := range m.others {
		if now-t.at > hintMs {
			delete(m.others, id)
			continue
		}
		n += float64(t.out)
	}
	return n
}

func (m *Member) slowness(now float64) float64 {
	m.slow = 1 + (m.slow-1)*math.Exp((m.slowAt-now)/fadeMs)
	m.slowAt = now
	if left := m.warmAt - now; left > 0 {
		return m.slow * coldFactor
	}
	return m.slow
}

// Request is what the choice depends on.
type Request struct {
	Service       string
	Bulk          bool // a large answer
	NonIdempotent bool // it must not run twice
	RemainingMs   float64
	IdleOnly      bool // only a server with room will do
	Tried         []*Member
}

// Choose returns the server with the least expected finish, or nil where none
// can be expected to answer in the time left; wait is then when to come back.
func (s *Set) Choose(now float64, r Request) (best *Member, waitMs float64) {
	v := s.services[r.Service]
	if v == nil {
		return nil, 1000
	}
	if len(r.Tried) == 0 {
		v.asked(now)
	}
	work := max(1, v.work)
	var bestCost, bestTime, bestLoad, around float64
	consider := func(members []*Member, pass int) {
		for _, m := range members {
			if m.State == api.Draining || slices.Contains(r.Tried, m) || now < m.fullTo ||
				pass == 0 && (now < m.awayTo || m.health.Ejected(now) || s.dark(now, m.Zone)) {
				continue
			}
			c, load := float64(m.Capacity), m.Load(now)
			if m.rank == 2 { // nothing is told of it: it has as much to do as those near
				load = max(load, around*c)
			}
			queued := max(0, load+1-c) / c
			if r.IdleOnly && load >= c {
				continue
			}
			foreign := 0.0
			if s.many {
				foreign = sharedCost * m.foreign
			}
			slow, queue := m.slowness(now), queueCost
			if s.many { // bad answers alone are told: a server that seems fast to all would draw all
				slow, queue = max(1, slow), manyQueue
			}
			time := slow * (1 + queued)
			cost := slow*(1+queue*queued) + fillCost*load/c
			if m.Zone != s.zone {
				cost += crossCost
				switch {
				case r.Bulk && s.many:
					cost += manyBulk
				case r.Bulk:
					cost += bulkCost
				}
			}
			other := otherCost
			if s.many {
				other = manyOther
			}
			doubt := doubtCost
			if r.NonIdempotent {
				doubt = onceCost
			}
			cost += other*float64(m.rank) + foreign + doubt*m.health.Suspicion(now) + 0.01*s.rng.Float64()
			if best == nil || cost < bestCost {
				best, bestCost, bestTime, bestLoad = m, cost, time, load
			}
		}
	}
	if s.many {
		for _, m := range v.close {
			around += m.Load(now) / float64(m.Capacity) / float64(len(v.close))
		}
		consider(v.close, 0)
		if best == nil || work*bestTime > r.RemainingMs {
			consider(s.sample(now, v), 0)
		}
	}
	for pass := 0; pass < 2 && best == nil; pass++ { // of all, and those that are kept off
		consider(v.members, pass)
	}
	switch {
	case best == nil:
		return nil, fullMs
	case v.n > 0 && work*bestTime > r.RemainingMs && bestLoad >= float64(best.Capacity):
		return nil, max(fullMs, work*bestTime-r.RemainingMs)
	}
	return best, 0
}

// sample draws a few servers at random, of zones that can be reached as far as known.
func (s *Set) sample(now float64, v *service) []*Member {
	s.drawn = s.drawn[:0]
	for range sampleDraws {
		if m := v.members[s.rng.IntN(len(v.members))]; !s.dark(now, m.Zone) {
			if s.drawn = append(s.drawn, m); len(s.drawn) == sampleSize {
				break
			}
		}
	}
	return s.drawn
}

// StartAttempt notes that a request goes to a server.
func (s *Set) StartAttempt(m *Member) {
	m.out++
	s.touch(m, 0)
}

// Result is how an attempt ended.
type Result int

// The results.
const (
	Success     Result = iota // an answer in full
	Rejected                  // it said that it did not run the request
	Failure                   // no answer, or none of use
	NotSent                   // nothing reached it: the connect failed
	Cancelled                 // given up here: says nothing about the server
	Replaced                  // another server stands at its address
	HedgeLost                 // given up as another answered first: it took at least as long
	ServerError               // it ran the request and answered with a failure of its own
)

// FinishAttempt notes how an attempt ended and how long it took.
func (s *Set) FinishAttempt(now float64, m *Member, r Result, tookMs float64) {
	m.out = max(0, m.out-1)
	took := uint8(0)
	switch r {
	case Success:
		v := m.service
		v.usual.Observe(false)
		m.health.ObserveSuccess(now, &v.usual)
		s.zoneAnswered(now, m)
		v.n++
		// Work is learnt from answers of servers as they are: queues and slowness are
		// the servers' own figures against it.
		v.work += (tookMs - v.work) * max(workWeight, 1/v.n)
		ratio := tookMs / max(1, v.work)
		took = uint8(max(1, min(tookScale*ratio, 254)))
		s.observe(now, m, took)
	case HedgeLost:
		ratio := tookMs / max(1, m.service.work)
		if ratio > m.slow {
			took = uint8(max(1, min(tookScale*ratio, 254)))
			s.observe(now, m, took)
		}
	case Rejected:
		m.fullTo = now + fullMs
		if m.rank < 2 && 2*m.Load(now) < float64(m.Capacity) {
			s.failed(now, m, fullWeight)
		}
	case Failure, NotSent, ServerError:
		took = LatencyFailed
		m.service.usual.Observe(true)
		if r != ServerError {
			s.zoneFailed(now, m, zoneWeight)
		}
		weight := 1.0
		if r == NotSent {
			weight = health.ConclusiveWeight
		}
		s.failed(now, m, weight)
	case Replaced:
		m.awayTo = now + movedMs
	}
	s.touch(m, took)
}

// failed has a failure speak against a server, unless half of its service is kept off.
func (s *Set) failed(now float64, m *Member, weight float64) {
	off := 0
	for _, o := range m.service.members {
		if o.health.Ejected(now) {
			off++
		}
	}
	m.health.ObserveFailure(now, weight, &m.service.usual, 2*(off+1) <= len(m.service.members))
}

// Slowness is by how much longer than is typical a server takes, 1 at the least.
func (m *Member) Slowness(now float64) float64 { return max(1, m.slowness(now)) }

// ObserveOverdue notes that a server owes an answer for long.
func (s *Set) ObserveOverdue(now float64, m *Member) {
	s.zoneFailed(now, m, lateWeight*zoneWeight)
	s.failed(now, m, lateWeight)
}

// observe learns how long an answer took.
func (s *Set) observe(now float64, m *Member, took uint8) {
	m.slow = m.slowness(now)
	if m.warmAt > now {
		m.slow /= coldFactor
		return
	}
	m.slow += (float64(took)/tookScale - m.slow) * slowWeight * min(1, float64(len(m.service.members))/4)
	m.slow = max(0.3, min(8, m.slow))
}

func (s *Set) touch(m *Member, took uint8) {
	if took == 0 {
		took = s.dirty[m.Hash]
	}
	s.dirty[m.Hash] = took
}

// DrainHints returns what is to be told of servers since the last call.
func (s *Set) DrainHints(out []Hint) []Hint {
	for h, took := range s.dirty {
		n := 0
		if m := s.byHash[h]; m != nil {
			n = m.out
		}
		out = append(out, Hint{h, uint8(min(InFlightUnknown-1, n)), took})
	}
	clear(s.dirty)
	return out
}

// ZoneOf returns the zone of a server, by the hash of its id; empty if it isn't known.
func (s *Set) ZoneOf(hash uint32) string {
	if m := s.byHash[hash]; m != nil {
		return m.Zone
	}
	return ""
}

// ReceiveHints takes in another limiter's hints.
func (s *Set) ReceiveHints(now float64, from uint64, hints []Hint) {
	for _, h := range hints {
		m := s.byHash[h.Server]
		if m == nil {
			continue
		}
		switch h.InFlight {
		case InFlightUnknown:
		case 0:
			delete(m.others, from)
		default:
			m.others[from] = told{int(h.InFlight), now}
		}
		switch h.Latency {
		case 0:
		case LatencyFailed:
			s.zoneFailed(now, m, toldWeight*zoneWeight)
			s.failed(now, m, toldWeight)
		default:
			s.observe(now, m, h.Latency)
		}
	}
}

// TypicalMs is the typical time of an answer of a service, 0 where there was none.
func (s *Set) TypicalMs(service string) float64 {
	if v := s.services[service]; v != nil {
		return v.work
	}
	return 0
}

// HasService tells whether any server of a service is known.
func (s *Set) HasService(service string) bool { return s.services[service] != nil }

// Len is the number of servers known.
func (s *Set) Len() int { return len(s.byID) }

// Members returns the servers of all services, by id.
func (s *Set) Members() []*Member {
	var out []*Member
	for _, m := range s.byID {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// InFlight is what this limiter has out at a server.
func (m *Member) InFlight() int { return m.out }
