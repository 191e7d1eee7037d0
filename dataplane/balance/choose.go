package balance

import (
	"slices"

	"example.org/elmspan/api"
)

// The cost of a server is the expected time of an answer against the typical one of the
// service, with a penalty for each reason to prefer another server:
//
//	  slowness x (1 + queueing x queued requests for each slot)
//	+ occupancyCost x share of slots taken
//	+ crossZoneCost, and bulkCrossZone for a large answer, if the server is in another zone
//	+ affinity x (0: own, 1: of a peer, 2: distant)
//	+ sharing x part of the server in other limiters' subsets
//	+ suspicionCost x suspicion of the health detector
//	- explorationBonus, if the server is own and idle and has never had a request from here
//	+ a random tie-break
//
// All terms are in units of the service's typical latency. The figures were measured; see
// docs/decisions/0001 (queue, occupancy), 0003 (zone, affinity), 0005 (large fleets), 0009
// (suspicion).
const (
	// occupancyCost: servers slow down when nearly full.
	occupancyCost = 0.2
	// crossZoneCost: what a server in another zone costs more. With 0.08 fewer answers came in
	// time on all days measured; 0.8 made no difference on the bench.
	crossZoneCost = 0.5
	// suspicionCost: a failure on record makes a server dearer before it is ejected.
	suspicionCost = 0.5
	// suspicionCostNonIdempotent: a request that must not run twice is lost with its attempt.
	suspicionCostNonIdempotent = 2.0
	// explorationBonus has each server of a subset get a request once, also where fewer would do: one that has joined
	// is not left out, and a fault of it shows while there is little to do. It outweighs sharing and occupancy.
	explorationBonus = 0.4
	// tieBreakCost times a random number in [0, 1): less than any difference that matters.
	tieBreakCost = 0.01
)

// costWeights are the weights that depend on the size of the fleet.
type costWeights struct {
	queueing      float64 // of a queued request: waiting, more than work, makes answers late
	bulkCrossZone float64 // large answers: bytes between zones are paid for
	affinity      float64 // per step of affinity
	sharing       float64 // of a server that is all in other limiters' subsets
}

// Fleets in which each limiter knows all loads, and those in which it knows those of its subset.
var (
	smallFleetWeights = costWeights{queueing: 1.8, bulkCrossZone: 0.7, affinity: 0.2}
	// In a large fleet queues are seen late, so they weigh more; and the zone has servers
	// enough to keep large answers and each limiter's requests in their subset.
	largeFleetWeights = costWeights{queueing: 3.0, bulkCrossZone: 2.0, affinity: 0.5, sharing: 0.15}
)

const (
	// sampleSize and sampleDraws: where no near server will do, so many servers of the
	// service are drawn at random, in so many draws at most.
	sampleSize  = 3
	sampleDraws = 8
	// unknownServiceWaitMs is when to come back where no server of a service is known.
	unknownServiceWaitMs = 1000
)

// Request is what the choice depends on.
type Request struct {
	Service       string
	Bulk          bool      // a large answer
	NonIdempotent bool      // it must not run twice
	RemainingMs   float64   // until the answer is late
	IdleOnly      bool      // only a server with a free slot will do
	Attempted     []*Member // servers that had an attempt
}

// selection is the state of one choice.
type selection struct {
	set     *Set
	now     float64
	request Request
	weights costWeights
	// nearbyUtilization is the mean share of slots taken at nearby servers; large fleets only.
	nearbyUtilization float64
	best              candidate
}

// candidate is a server and what is expected of it.
type candidate struct {
	member *Member // nil: none was found
	cost   float64
	time   float64 // until the answer, in units of the typical latency
	load   float64
}

// Choose returns the server with the least cost. It returns nil where none can be expected to
// answer in the time left, and then when to come back, in milliseconds: to queue a request
// that will be late would make others late too (load shedding).
//
// In a large fleet the nearby servers are asked first, then a few at random. Where that gives
// none, and in a small fleet, all servers are candidates; last also those that are ejected.
func (s *Set) Choose(now float64, r Request) (best *Member, waitMs float64) {
	v := s.services[r.Service]
	if v == nil {
		return nil, unknownServiceWaitMs
	}
	if len(r.Attempted) == 0 {
		v.countRequest(now)
	}
	typical := max(1, v.typicalMs)
	c := selection{set: s, now: now, request: r, weights: smallFleetWeights}
	if s.largeFleet {
		c.weights = largeFleetWeights
		c.nearbyUtilization = v.utilization(now)
		c.consider(v.nearby, false)
		if c.best.member == nil || typical*c.best.time > r.RemainingMs {
			c.consider(s.sample(now, v), false)
		}
	}
	if c.best.member == nil {
		c.consider(v.members, false)
	}
	if c.best.member == nil {
		c.consider(v.members, true)
	}
	return c.result(typical, v.successes > 0)
}

// result returns the best candidate, unless its answer would be late because of its queue.
// typicalKnown reports that the typical latency was measured.
func (c *selection) result(typical float64, typicalKnown bool) (best *Member, waitMs float64) {
	best = c.best.member
	if best == nil {
		return nil, rejectedMs
	}
	expected, remaining := typical*c.best.time, c.request.RemainingMs
	if typicalKnown && expected > remaining && c.best.load >= float64(best.Capacity) {
		return nil, max(rejectedMs, expected-remaining)
	}
	return best, 0
}

// consider takes the best of some servers, if it is better than the best so far. lastResort
// admits servers that are ejected, in an ejected zone or replaced.
//
// Each candidate draws one random number, in the order of members: a seed gives the same
// choices again only if that order stays.
func (c *selection) consider(members []*Member, lastResort bool) {
	for _, m := range members {
		if !c.isCandidate(m, lastResort) {
			continue
		}
		load := c.load(m)
		if c.request.IdleOnly && load >= float64(m.Capacity) {
			continue
		}
		x := c.estimate(m, load)
		if c.best.member == nil || x.cost < c.best.cost {
			c.best = x
		}
	}
}

func (c *selection) isCandidate(m *Member, lastResort bool) bool {
	if m.State == api.Draining || slices.Contains(c.request.Attempted, m) || c.now < m.rejectingUntil {
		return false
	}
	if lastResort {
		return true
	}
	return c.now >= m.replacedUntil && !m.health.Ejected(c.now) && !c.set.zoneEjected(c.now, m.Zone)
}

// load is the number of requests in flight at a server. Nothing is known of a distant server,
// so it counts as busy as the nearby ones at least.
func (c *selection) load(m *Member) float64 {
	load := m.Load(c.now)
	if m.affinity == distantServer {
		load = max(load, c.nearbyUtilization*float64(m.Capacity))
	}
	return load
}

// estimate returns the expected time and the cost of a server with so many requests in flight.
func (c *selection) estimate(m *Member, load float64) candidate {
	slots := float64(m.Capacity)
	queued := max(0, load+1-slots) / slots // this request included
	slowness := m.slowness(c.now)
	if c.set.largeFleet {
		// Peers report slow answers alone. A server that seems fast would draw all limiters.
		slowness = max(1, slowness)
	}
	cost := slowness*(1+c.weights.queueing*queued) + occupancyCost*load/slots
	if m.Zone != c.set.zone {
		cost += crossZoneCost
		if c.request.Bulk {
			cost += c.weights.bulkCrossZone
		}
	}
	cost += c.weights.affinity*float64(m.affinity) + c.weights.sharing*m.sharedFraction +
		c.suspicionCost()*m.health.Suspicion(c.now) + tieBreakCost*c.set.rng.Float64()
	if c.explores(m, load) {
		cost -= explorationBonus
	}
	return candidate{member: m, cost: cost, time: slowness * (1 + queued), load: load}
}

// explores reports whether the request may show what a server is like that has had none yet. A request that must not
// run twice is not risked for that.
func (c *selection) explores(m *Member, load float64) bool {
	idle := load == 0 && !m.isWarming(c.now)
	return !m.attempted && m.affinity == ownServer && idle && !c.request.NonIdempotent
}

func (c *selection) suspicionCost() float64 {
	if c.request.NonIdempotent {
		return suspicionCostNonIdempotent
	}
	return suspicionCost
}

// utilization is the mean share of slots taken at nearby servers.
func (v *service) utilization(now float64) (mean float64) {
	for _, m := range v.nearby {
		mean += m.Load(now) / float64(m.Capacity) / float64(len(v.nearby))
	}
	return mean
}

// sample draws a few servers at random, of zones that can be reached as far as is known.
func (s *Set) sample(now float64, v *service) []*Member {
	s.sampled = s.sampled[:0]
	for range sampleDraws {
		m := v.members[s.rng.IntN(len(v.members))]
		if s.zoneEjected(now, m.Zone) {
			continue
		}
		s.sampled = append(s.sampled, m)
		if len(s.sampled) == sampleSize {
			break
		}
	}
	return s.sampled
}
