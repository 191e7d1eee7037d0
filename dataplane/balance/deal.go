package balance

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
)

// In a large fleet one limiter sees next to nothing of the load of most servers,
// and to tell all of it to all who share a server in time costs more of a small
// link than it is worth: a load that is told late is worse than none, as all who
// hear of an idle server take it. So the servers of a zone are dealt out among its
// limiters, to each an interval in the order of their ids, as long as its part of
// what they all ask for. A limiter's own servers are busy with its own requests,
// which it knows; those at the ends of its interval it shares with one neighbour,
// and the two tell each other what they have out. Who asks for more gets more
// within a second; when a limiter or a server comes or goes, the ends of intervals
// move by a little (docs/decisions/0005).
const (
	sharedCost = 0.15   // of a server that is all others'
	rateMs     = 4000.0 // demand fades over this time
	dealMs     = 500.0  // between two deals
	leastShare = 0.3    // of the mean demand: who asks for nothing has that
	slightly   = 0.02   // less of a server than that is none
	demandUnit = 16.0   // demand is told as 16 x log2(1 + requests a second)
	mostTold   = 8      // services in a word
)

// Demand is how much a limiter asks of a service.
type Demand struct {
	Service uint16 // hash of its name
	Level   uint8
}

func serviceHash(name string) uint16 { return uint16(xxhash.Sum64String(name)) }

// asked counts a request.
func (v *service) asked(now float64) {
	v.rate = v.perS(now) + 1000/rateMs
	v.rateAt = now
}

// perS is how many requests a second this limiter has had of late.
func (v *service) perS(now float64) float64 { return v.rate * math.Exp((v.rateAt-now)/rateMs) }

// Demands is what is to be told of this limiter's demand.
func (s *Set) Demands(now float64, out []Demand) []Demand {
	if !s.many {
		return out
	}
	for name, v := range s.services {
		if level := demandUnit * math.Log2(1+v.perS(now)); level >= 1 && len(out) < mostTold {
			out = append(out, Demand{serviceHash(name), uint8(min(255, level))})
		}
	}
	return out
}

// ReceiveDemand takes in another limiter's demand.
func (s *Set) ReceiveDemand(from uint64, told []Demand) {
	if len(told) == 0 || !slices.Contains(s.peers, from) {
		return
	}
	for name, v := range s.services {
		h := serviceHash(name)
		if i := slices.IndexFunc(told, func(d Demand) bool { return d.Service == h }); i >= 0 {
			v.demand[from] = math.Exp2(float64(told[i].Level)/demandUnit) - 1
		} else {
			v.demand[from] = 0
		}
	}
}

// UpdateSubsets deals the servers out anew, where that is due.
func (s *Set) UpdateSubsets(now float64) {
	if !s.many || now-s.dealtAt < dealMs {
		return
	}
	s.dealtAt = now
	for _, v := range s.services {
		v.demand[s.self] = v.perS(now)
		s.deal(v)
	}
}

// deal finds this limiter's interval of a service's servers, and those next to it.
func (s *Set) deal(v *service) {
	for id := range v.demand {
		if _, is := slices.BinarySearch(s.peers, id); !is {
			delete(v.demand, id)
		}
	}
	mean := 0.0
	for _, d := range v.demand {
		mean += d / float64(len(v.demand))
	}
	weight := func(id uint64) float64 {
		d, told := v.demand[id]
		if !told {
			d = mean
		}
		return max(d, leastShare*mean, 1e-6)
	}
	at, total := max(0, slices.Index(s.peers, s.self)), 0.0
	ends := make([]float64, 0, len(s.peers)+1)
	for _, id := range s.peers {
		ends = append(ends, total)
		total += weight(id)
	}
	ends = append(ends, total)
	usable := 0
	for _, m := range v.members {
		if m.rank, m.foreign = 2, 1; m.Zone == s.zone && m.State != api.Draining {
			usable++
		}
	}
	n, p := float64(usable), len(s.peers)
	// end is where a limiter's interval begins, in servers, going round the ring.
	end := func(i int) float64 {
		round := math.Floor(float64(i) / float64(p))
		return n * (ends[i-int(round)*p]/total + round)
	}
	v.close = v.close[:0]
	for reach := NeighborReach; ; reach++ {
		from, to := end(at-min(reach, p)), end(at+1+min(reach, p))
		if to-from >= min(closeLeast, n) || reach >= p {
			k := 0.0
			for _, m := range v.members {
				if m.Zone != s.zone || m.State == api.Draining {
					continue
				}
				switch mine := overlap(k, end(at), end(at+1), n); {
				case mine > slightly:
					m.rank, m.foreign = 0, max(0, 1-mine)
				case overlap(k, from, to, n) > slightly:
					m.rank = 1
				}
				if m.rank < 2 {
					v.close = append(v.close, m)
				}
				k++
			}
			return
		}
	}
}

// overlap is how much of the server at a place lies in an interval of a ring of n.
func overlap(place, from, to, n float64) (sum float64) {
	for _, shift := range []float64{-n, 0, n} {
		sum += max(0, min(place+1+shift, to)-max(place+shift, from))
	}
	return min(1, sum)
}
