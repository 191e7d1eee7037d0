package balance

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Deterministic subsetting in large fleets.
//
// In a large fleet one limiter sees next to nothing of the load of most servers, and to send
// all loads to all who share a server in time costs more of a small link than it is worth. A
// load that is known late is worse than none, as all who learn of an idle server use it. So the
// servers of a zone are divided among its limiters: each has an interval in the order of server
// ids, as long as its part of what all of them ask for. A limiter's own servers are busy with
// its own requests, which it knows. Those at the ends of its interval it shares with one
// neighbor, and the two send each other their loads. Who asks for more gets more within a
// second. When a limiter or a server comes or goes, the ends of intervals move by a little
// (docs/decisions/0005).

// NeighborReach is how many limiters of its zone, on each side of it by their ids, a limiter of
// a large fleet receives the loads of.
const NeighborReach = 1

const (
	// demandDecayMs is the time constant of the demand: a limiter's part follows what it is
	// asked for, not each burst.
	demandDecayMs = 4000.0
	// subsetPeriodMs is the least time between two assignments.
	subsetPeriodMs = 500.0
	// minDemandShare, of the mean demand, counts for a limiter that is asked for less, so that
	// it has servers when requests come.
	minDemandShare = 0.3
	// minDemand keeps the sum of demands above zero where no limiter has requests.
	minDemand = 1e-6
	// minNearby is the least number of nearby servers: with fewer there is no choice where
	// some are slow. It equals all servers of the zone where these are fewer.
	minNearby = 4
	// minOverlap: less of a server than that is not part of an interval.
	minOverlap = 0.02
	// demandScale: demand is sent as 16 x log2(1 + requests a second), in one byte.
	demandScale = 16.0
	// maxDemands is the number of services whose demand is sent in one message.
	maxDemands = 8
)

// Demand is how much a limiter is asked for a service, as gossip carries it.
type Demand struct {
	Service uint16 // hash of its name
	Level   uint8  // 16 x log2(1 + requests a second)
}

func serviceHash(name string) uint16 { return uint16(xxhash.Sum64String(name)) }

// countRequest adds a request to the demand.
func (v *service) countRequest(now float64) {
	v.demandRate = v.requestsPerSecond(now) + 1000/demandDecayMs
	v.demandRateAt = now
}

// requestsPerSecond is the demand at this limiter, as a decaying average.
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

// ReceiveDemand takes in the demand of another limiter of the zone. A service that it does not
// name has none there.
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

// UpdateSubsets assigns the servers anew by the present demand, if that is due. It may be
// called at any time.
func (s *Set) UpdateSubsets(now float64) {
	if !s.largeFleet || now-s.subsetsAt < subsetPeriodMs {
		return
	}
	s.subsetsAt = now
	for _, v := range s.services {
		v.demand[s.self] = v.requestsPerSecond(now)
		s.assignSubset(v)
	}
}

// assignSubset finds which of a service's servers are this limiter's own, which belong to its
// neighbors, and what part of each is others'.
func (s *Set) assignSubset(v *service) {
	s.forgetDemand(v)
	usable := 0
	for _, m := range v.members {
		m.affinity, m.sharedFraction = distantServer, 1
		if s.isUsableHere(m) {
			usable++
		}
	}
	ring := s.newSubsetRing(v, usable)
	position := max(0, slices.Index(s.zoneLimiters, s.self))
	own := interval{ring.start(position), ring.start(position + 1)}
	near := ring.nearby(position)

	v.nearby = v.nearby[:0]
	place := 0.0
	for _, m := range v.members {
		if !s.isUsableHere(m) {
			continue
		}
		ownPart := ring.overlap(place, own)
		switch {
		case ownPart > minOverlap:
			m.affinity, m.sharedFraction = ownServer, max(0, 1-ownPart)
		case ring.overlap(place, near) > minOverlap:
			m.affinity = peerServer
		}
		if m.affinity < distantServer {
			v.nearby = append(v.nearby, m)
		}
		place++
	}
}

// forgetDemand drops the demand of limiters that have left the zone.
func (s *Set) forgetDemand(v *service) {
	for id := range v.demand {
		if _, found := slices.BinarySearch(s.zoneLimiters, id); !found {
			delete(v.demand, id)
		}
	}
}

// subsetRing divides the usable servers of a service, in the order of their ids, among the
// limiters of the zone. The server at place i is the interval from i to i+1; the last is next
// to the first.
type subsetRing struct {
	servers float64
	bounds  []float64 // start of each limiter's interval in demand, and the end of the last
}

type interval struct{ from, to float64 }

// newSubsetRing gives each limiter a part that is proportional to its demand. One whose demand
// is unknown counts as the mean.
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

// start is where the interval of a limiter begins, in servers. Positions below zero and past
// the last limiter go on round the ring.
func (r *subsetRing) start(position int) float64 {
	limiters := r.limiters()
	round := math.Floor(float64(position) / float64(limiters))
	total := r.bounds[limiters]
	return r.servers * (r.bounds[position-int(round)*limiters]/total + round)
}

// nearby is the interval of a limiter and its neighbors. It has minNearby servers, if the zone
// has so many, even if it takes neighbors farther than [NeighborReach].
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

// overlap is how much of the server at a place lies in an interval, from 0 to 1.
func (r *subsetRing) overlap(place float64, in interval) (sum float64) {
	for _, shift := range []float64{-r.servers, 0, r.servers} {
		sum += max(0, min(place+1+shift, in.to)-max(place+shift, in.from))
	}
	return min(1, sum)
}
