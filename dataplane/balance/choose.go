package balance

import (
	"math"
	"slices"

	"example.org/elmspan/shedding"

	"example.org/elmspan/api"
)

// The cost of a server is its expected latency relative to the typical latency of the service,
// with a penalty for each reason to prefer another server:
//
//	  slowness x (1 + queueing x queued requests per slot)
//	+ occupancyCost x fraction of slots in use
//	+ crossZoneCost, if the server is in another zone
//	+ affinity x (0: own, 1: of a peer, 2: distant)
//	+ sharing x fraction of the server in other limiters' subsets
//	+ suspicionCost x suspicion of the health detector
//	- explorationBonus, if the server is this limiter's own, idle, and has had no request from it yet
//	+ a random tie-break
//
// All terms are in units of the service's typical latency. The weights are explained in
// docs/decisions/0001 (queueing, occupancy), 0003 (zone, affinity), 0005 (large fleets) and
// 0009 (suspicion).
const (
	// occupancyCost accounts for servers that slow down when nearly full.
	occupancyCost = 0.2
	// crossZoneCost is the penalty for a server in another zone, whose link fails apart from this
	// zone's and whose load is known later, or not at all. Larger: callers queue in their zone
	// while others have free slots. Smaller: more of them meet a queue or a cut that is not known
	// here yet.
	crossZoneCost = 0.5
	// suspicionCost penalizes recent failures before they lead to an ejection.
	suspicionCost = 0.5
	// suspicionCostNonIdempotent is higher, as a request that must not run twice can't be
	// retried when its attempt fails.
	suspicionCostNonIdempotent = 2.0
	// explorationBonus makes each own server receive a first request, even if fewer servers
	// could carry the load: a server that joins gets requests, and its faults are detected
	// while the load is low. It outweighs sharing and occupancyCost.
	explorationBonus = 0.4
	// tieBreakCost is multiplied by a random number in [0, 1). It is smaller than any
	// significant difference in cost.
	tieBreakCost = 0.01
)

// costWeights are the weights that depend on the size of the fleet.
type costWeights struct {
	queueing float64 // per queued request: others may have been sent to the same queue meanwhile
	affinity float64 // per step of affinity
	sharing  float64 // for a server that is entirely in other limiters' subsets
}

// In a small fleet each limiter knows the loads of all servers, in a large one only those of
// its subset.
var (
	smallFleetWeights = costWeights{queueing: 1.8, affinity: 0.2}
	// In a large fleet queues are detected late, so they have a higher weight. The zone has
	// enough servers to keep each limiter's requests in its subset.
	largeFleetWeights = costWeights{queueing: 3.0, affinity: 0.5, sharing: 0.15}
)

const (
	// If no nearby server is suitable, sampleSize random servers of the service are
	// considered, in at most sampleDraws draws.
	sampleSize  = 3
	sampleDraws = 8
	// unknownServiceRetryMs is the time to a retry if no server of the service is known.
	unknownServiceRetryMs = 1000
)

// Request has the properties of a request that the choice of a server depends on.
type Request struct {
	Service       string
	NonIdempotent bool // the request must not run twice
	Priority      shedding.Priority
	RemainingMs   float64   // time until the caller gives up
	IdleOnly      bool      // choose only a server with a free slot
	Attempted     []*Member // servers of earlier attempts
}

// selection is the state of one choice.
type selection struct {
	set     *Set
	now     float64
	request Request
	weights costWeights
	// nearbyUtilization is the mean fraction of slots in use at nearby servers; large fleets only.
	nearbyUtilization float64
	best              candidate
}

// candidate is a server with its cost and expected latency.
type candidate struct {
	member  *Member // nil: none was found
	cost    float64
	latency float64 // including queueing, in units of the typical latency
	load    float64 // requests in flight
	// slowness is the latency without a queue, in units of the typical latency.
	slowness float64
}

// Choose returns the server with the lowest cost. It returns nil and the time to a retry if there
// is no candidate, or if the caller would have given up before the response of that server, because
// of its queue: a request that nobody waits for any more would make others late (load shedding).
//
// While requests of a higher priority have been refused and may come back, only servers with a free
// slot are candidates.
//
// In a large fleet the nearby servers are considered first, then a random sample. If that gives
// no candidate, and in a small fleet, all servers are considered; as a last resort those that
// are ejected, too.
func (s *Set) Choose(now float64, r Request) (best *Member, retryAfterMs float64) {
	v := s.services[r.Service]
	if v == nil {
		return nil, unknownServiceRetryMs
	}
	if len(r.Attempted) == 0 {
		v.countRequest(now)
	}
	if len(r.Attempted) > 0 || r.IdleOnly {
		return s.choose(now, v, r)
	}
	asked := r.Priority
	r.Priority = v.shares.Effective(asked)
	if v.shortage.GivesWay(now, r.Priority) {
		r.IdleOnly = true
		if best, _ = s.choose(now, v, r); best == nil {
			retryAfterMs = max(rejectionBackoffMs, v.shortage.RemainingMs(now))
		}
	} else if best, retryAfterMs = s.choose(now, v, r); best == nil {
		v.shortage.Record(now, r.Priority, retryAfterMs)
	}
	v.shares.Record(now, asked, best != nil)
	return best, retryAfterMs
}

// choose selects a server of a service as Choose does, without regard to the requests of others.
func (s *Set) choose(now float64, v *service, r Request) (best *Member, retryAfterMs float64) {
	c := selection{set: s, now: now, request: r, weights: smallFleetWeights}
	if s.largeFleet {
		c.weights = largeFleetWeights
		c.nearbyUtilization = v.utilization(now)
		c.consider(v.nearby, false)
		if c.best.member == nil || v.responseMs(c.best.latency) > r.RemainingMs {
			c.consider(s.sample(now, v), false)
		}
	}
	if c.best.member == nil {
		c.consider(v.members, false)
	}
	if c.best.member == nil {
		c.consider(v.members, true)
	}
	return c.result(v)
}

// result returns the best candidate, unless its queue is so long that the caller would have given up
// before the response. An idle server is always used: nothing is learned about one without requests.
func (c *selection) result(v *service) (best *Member, retryAfterMs float64) {
	best = c.best.member
	if best == nil {
		return nil, rejectionBackoffMs
	}
	expected, remaining := v.responseMs(c.best.latency), c.request.RemainingMs
	if v.successes > 0 && expected > remaining && c.best.load >= float64(best.Capacity) {
		return nil, max(rejectionBackoffMs, v.queueShorterAfterMs(c.best, expected-remaining))
	}
	return best, 0
}

// queueShorterAfterMs returns the time after which as many requests are expected to have left a
// server that a response takes excessMs less, or that it has a free slot.
func (v *service) queueShorterAfterMs(c candidate, excessMs float64) float64 {
	slots := float64(c.member.Capacity)
	betweenMs := max(1, v.typicalLatencyMs) * c.slowness / slots // between two requests that leave
	untilFreeSlot := math.Floor(c.load) - slots + 1
	return betweenMs * min(math.Ceil(excessMs/betweenMs), untilFreeSlot)
}

// responseMs returns the time by which most responses have arrived that are expected to take the
// given multiple of the typical latency: the latencies observed so far deviate from it.
func (v *service) responseMs(latency float64) float64 {
	return max(1, v.typicalLatencyMs)*latency + v.latencyDeviationMs
}

// consider updates the best candidate from a list of servers. lastResort includes servers that
// are ejected, in an ejected zone or replaced.
//
// Each candidate draws one random number, in the order of the list: choices are reproducible
// from a seed only as long as that order does not change.
func (c *selection) consider(members []*Member, lastResort bool) {
	for _, m := range members {
		if !c.isCandidate(m, lastResort) {
			continue
		}
		load := c.load(m)
		if c.request.IdleOnly && load >= float64(m.Capacity) {
			continue
		}
		next := c.estimate(m, load)
		if c.best.member == nil || next.cost < c.best.cost {
			c.best = next
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

// load returns the number of requests in flight at a server. The load of a distant server is
// not known, so its utilization is assumed to be at least the mean of the nearby servers.
func (c *selection) load(m *Member) float64 {
	load := m.Load(c.now)
	if m.affinity == distantServer {
		load = max(load, c.nearbyUtilization*float64(m.Capacity))
	}
	return load
}

// estimate returns the cost and the expected latency of a server with a number of requests in
// flight.
func (c *selection) estimate(m *Member, load float64) candidate {
	slots := float64(m.Capacity)
	queued := max(0, load+1-slots) / slots // this request included
	slowness := m.slowness(c.now)
	if c.set.largeFleet {
		// Peers report only slow responses, so slowness below 1 is not corrected by them: a
		// server that seems fast would attract all limiters.
		slowness = max(1, slowness)
	}
	cost := slowness*(1+c.weights.queueing*queued) + occupancyCost*load/slots
	if m.Zone != c.set.zone {
		cost += crossZoneCost
	}
	cost += c.weights.affinity*float64(m.affinity) + c.weights.sharing*m.sharedFraction +
		c.suspicionCost()*m.health.Suspicion(c.now) + tieBreakCost*c.set.rng.Float64()
	if c.shouldExplore(m, load) {
		cost -= explorationBonus
	}
	return candidate{member: m, cost: cost, latency: slowness * (1 + queued), load: load, slowness: slowness}
}

// shouldExplore reports whether to send the request to a server that has had none yet, to learn
// its latency and health. Requests that must not run twice are not used for that.
func (c *selection) shouldExplore(m *Member, load float64) bool {
	idle := load == 0 && !m.isWarming(c.now)
	return !m.attempted && m.affinity == ownServer && idle && !c.request.NonIdempotent
}

func (c *selection) suspicionCost() float64 {
	if c.request.NonIdempotent {
		return suspicionCostNonIdempotent
	}
	return suspicionCost
}

// utilization returns the mean fraction of slots in use at nearby servers.
func (v *service) utilization(now float64) (mean float64) {
	for _, m := range v.nearby {
		mean += m.Load(now) / float64(m.Capacity) / float64(len(v.nearby))
	}
	return mean
}

// sample returns random servers, except those in ejected zones.
func (s *Set) sample(now float64, v *service) []*Member {
	s.sampleBuffer = s.sampleBuffer[:0]
	for range sampleDraws {
		m := v.members[s.rng.IntN(len(v.members))]
		if s.zoneEjected(now, m.Zone) {
			continue
		}
		s.sampleBuffer = append(s.sampleBuffer, m)
		if len(s.sampleBuffer) == sampleSize {
			break
		}
	}
	return s.sampleBuffer
}
