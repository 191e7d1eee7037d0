package balance

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Deterministic subsetting in large fleets.
//
// In a large fleet a limiter observes only a very small part of the load of most servers, and
// exchanging all loads in time among the limiters that share a server would use too much of a
// small link. A stale load is worse than none, as all limiters that learn of an idle server use
// it at once. So the servers of a zone are divided among its limiters: each limiter has an
// interval of the servers in the order of their ids, with a length in proportion to its part of
// the demand. The load of a limiter's own servers comes from its own requests, which it knows.
// The servers at both ends of its interval are shared with a neighbor, and neighbors exchange
// their loads. The intervals follow a change in demand within a second. When a limiter or a
// server joins or leaves, their ends move only slightly (docs/decisions/0005).

// NeighborReach is the number of limiters on each side, in the order of ids in the zone, whose
// loads a limiter of a large fleet receives.
const NeighborReach = 1

const (
	// demandDecayMs is the time constant of the moving average of demand: a limiter's interval
	// follows its request rate, but not each burst.
	demandDecayMs = 4000.0
	// subsetPeriodMs is the minimum time between two updates of the subsets.
	subsetPeriodMs = 500.0
	// minDemandShare is the minimum demand of a limiter, as a fraction of the mean demand, so
	// that it has servers when requests arrive.
	minDemandShare = 0.3
	// minDemand keeps the sum of demands above zero when no limiter has requests.
	minDemand = 1e-6
	// minNearby is the minimum number of nearby servers: with fewer there is no alternative
	// when some are slow. If the zone has fewer servers, all of them are nearby.
	minNearby = 4
	// minOverlap is the fraction of a server above which it belongs to an interval.
	minOverlap = 0.02
	// demandScale: demand is sent as 16 x log2(1 + requests per second), in one byte.
	demandScale = 16.0
	// maxDemands is the maximum number of services whose demand is sent in one message.
	maxDemands = 8
)

// Demand is a limiter's request rate for a service, in the encoding of gossip messages.
type Demand struct {
	Service uint16 // hash of its name
	Level   uint8  // 16 x log2(1 + requests per second)
}

func serviceHash(name string) uint16 { return uint16(xxhash.Sum64String(name)) }

// countRequest adds a request to the moving average of demand.
func (v *service) countRequest(now float64) {
	v.demandRate = v.requestsPerSecond(now) + 1000/demandDecayMs
	v.demandRateAt = now
}

// requestsPerSecond returns the demand at this limiter, an exponential moving average.
func (v *service) requestsPerSecond(now float64) float64 {
	return v.demandRate * math.Exp((v.demandRateAt-now)/demandDecayMs)
}

// Demands appends this limiter's demand for each service, in large fleets.
func (s *Set) Demands(now float64, out []Demand) []Demand {
	if !s.largeFleet {
		return out
	}
	for name, v := range s.services {
		level := demandScale * math.Log2(1+v.requestsPerSecond(now))
		if level >= 1 && len(out) < maxDemands {
			out = append(out, Demand{serviceHash(name), uint8(min(math.MaxUint8, level))})
		}
	}
	return out
}

// ReceiveDemand applies the demand of another limiter of the zone. A service that is not listed
// has no demand there.
func (s *Set) ReceiveDemand(from uint64, demands []Demand) {
	if len(demands) == 0 || !slices.Contains(s.zoneLimiters, from) {
		return
	}
	for name, v := range s.services {
		hash := serviceHash(name)
		i := slices.IndexFunc(demands, func(d Demand) bool { return d.Service == hash })
		if i < 0 {
			v.demand[from] = 0
			continue
		}
		v.demand[from] = math.Exp2(float64(demands[i].Level)/demandScale) - 1
	}
}

// UpdateSubsets reassigns the servers by the current demand if an update is due. It may be
// called at any time.
func (s *Set) UpdateSubsets(now float64) {
	if !s.largeFleet || now-s.subsetsUpdatedAt < subsetPeriodMs {
		return
	}
	s.subsetsUpdatedAt = now
	for _, v := range s.services {
		v.demand[s.self] = v.requestsPerSecond(now)
		s.assignSubset(v)
	}
}

// assignSubset determines which of a service's servers are this limiter's own, which belong to
// its neighbors, and which fraction of each is in other limiters' subsets.
func (s *Set) assignSubset(v *service) {
	s.pruneDemand(v)
	usable := 0
	for _, m := range v.members {
		m.affinity, m.sharedFraction = distantServer, 1
		if s.isAssignable(m) {
			usable++
		}
	}
	ring := s.newSubsetRing(v, usable)
	position := max(0, slices.Index(s.zoneLimiters, s.self))
	own := interval{ring.start(position), ring.start(position + 1)}
	near := ring.nearby(position)

	v.nearby = v.nearby[:0]
	index := 0.0 // of m among the assignable servers
	for _, m := range v.members {
		if !s.isAssignable(m) {
			continue
		}
		ownPart := ring.overlap(index, own)
		switch {
		case ownPart > minOverlap:
			m.affinity, m.sharedFraction = ownServer, max(0, 1-ownPart)
		case ring.overlap(index, near) > minOverlap:
			m.affinity = peerServer
		}
		if m.affinity < distantServer {
			v.nearby = append(v.nearby, m)
		}
		index++
	}
}

// pruneDemand deletes the demand of limiters that have left the zone.
func (s *Set) pruneDemand(v *service) {
	for id := range v.demand {
		if _, found := slices.BinarySearch(s.zoneLimiters, id); !found {
			delete(v.demand, id)
		}
	}
}

// subsetRing divides the assignable servers of a service, in the order of their ids, among the
// limiters of the zone. Server i covers the interval from i to i+1; the last is adjacent to the
// first.
type subsetRing struct {
	servers float64
	bounds  []float64 // start of each limiter's interval, and the end of the last, in units of demand
}

type interval struct{ from, to float64 }

// newSubsetRing gives each limiter an interval in proportion to its demand. An unknown demand is
// assumed to be the mean.
func (s *Set) newSubsetRing(v *service, servers int) subsetRing {
	mean := 0.0
	for _, d := range v.demand {
		mean += d / float64(len(v.demand))
	}
	total := 0.0
	bounds := make([]float64, 0, len(s.zoneLimiters)+1)
	for _, id := range s.zoneLimiters {
		bounds = append(bounds, total)
		d, known := v.demand[id]
		if !known {
			d = mean
		}
		total += max(d, minDemandShare*mean, minDemand)
	}
	return subsetRing{servers: float64(servers), bounds: append(bounds, total)}
}

func (r *subsetRing) limiters() int { return len(r.bounds) - 1 }

// start returns where the interval of a limiter begins, in units of servers. Positions below
// zero and past the last limiter wrap around: their intervals begin below zero or past the last
// server.
func (r *subsetRing) start(position int) float64 {
	limiters := r.limiters()
	wraps := math.Floor(float64(position) / float64(limiters))
	total := r.bounds[limiters]
	return r.servers * (r.bounds[position-int(wraps)*limiters]/total + wraps)
}

// nearby returns the interval of a limiter and its neighbors. It has at least minNearby servers,
// or all if the zone has fewer, and includes neighbors beyond [NeighborReach] if necessary.
func (r *subsetRing) nearby(position int) interval {
	limiters := r.limiters()
	for reach := NeighborReach; ; reach++ {
		width := min(reach, limiters)
		near := interval{r.start(position - width), r.start(position + 1 + width)}
		if near.to-near.from >= min(minNearby, r.servers) || reach >= limiters {
			return near
		}
	}
}

// overlap returns the fraction of a server, by its index, that lies in an interval, from 0 to 1.
func (r *subsetRing) overlap(index float64, in interval) (sum float64) {
	for _, shift := range []float64{-r.servers, 0, r.servers} {
		sum += max(0, min(index+1+shift, in.to)-max(index+shift, in.from))
	}
	return min(1, sum)
}
