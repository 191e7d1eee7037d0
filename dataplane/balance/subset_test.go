package balance

import (
	"fmt"
	"math"
	"testing"

	"example.org/elmspan/api"
)

// newZone returns the sets and ids of the limiters of a zone. It has the given number of servers,
// and another zone has as many.
func newZone(limiters, servers int) (sets []*Set, ids []uint64) {
	var list []api.Server
	for i := range 2 * servers {
		list = append(list, api.Server{
			ID:       fmt.Sprintf("i-%03d", i),
			Upstream: "s",
			Addr:     "x",
			Zone:     []string{"z", "other"}[i%2],
			Capacity: 2,
			State:    api.InService,
		})
	}
	for i := range limiters {
		ids = append(ids, uint64(i+1)<<32)
	}
	for i, id := range ids {
		s := New("z", id, uint64(i))
		var others []uint64
		for _, o := range ids {
			if o != id {
				others = append(others, o)
			}
		}
		s.SetPeers(others, true)
		s.SetServers(0, list)
		sets = append(sets, s)
	}
	return sets, ids
}

// exchangeDemand sets the demand of each limiter, sends it to all others, and updates the subsets.
func exchangeDemand(sets []*Set, ids []uint64, perSecond func(i int) float64) {
	for i, s := range sets {
		v := s.services["s"]
		v.demandRate, v.demandRateAt = perSecond(i), 0
		for k, o := range sets {
			if k != i {
				o.ReceiveDemand(ids[i], s.Demands(0, nil))
			}
		}
	}
	for _, s := range sets {
		s.subsetsUpdatedAt = -2 * subsetPeriodMs
		s.UpdateSubsets(0)
	}
}

// ownServers returns the number of a limiter's own servers; of shared ones, the limiter's fraction.
func ownServers(s *Set) (sum float64) {
	for _, m := range s.services["s"].members {
		if m.affinity == ownServer {
			sum += 1 - m.sharedFraction
		}
	}
	return sum
}

// TestSubsetsFollowDemand checks, for several numbers of limiters and servers, that each server
// of the zone is in a subset and that each limiter's subset is proportional to its demand.
func TestSubsetsFollowDemand(t *testing.T) {
	for _, c := range []struct{ limiters, servers int }{{18, 38}, {30, 31}, {17, 5}, {200, 640}} {
		sets, ids := newZone(c.limiters, c.servers)
		demand := func(i int) float64 { return 10 + 20*float64(i%3) }
		exchangeDemand(sets, ids, demand)
		total, totalDemand := 0.0, 0.0
		for i, s := range sets {
			total += ownServers(s)
			totalDemand += demand(i)
			if n := len(s.services["s"].nearby); n < min(minNearby, c.servers) || n > 12+6*c.servers/c.limiters {
				t.Errorf("%+v: limiter %d has %d nearby servers", c, i, n)
			}
		}
		if math.Abs(total-float64(c.servers)) > 0.05*float64(c.servers) {
			t.Errorf("%+v: %.1f servers are in subsets", c, total)
		}
		for i, s := range sets {
			want := float64(c.servers) * demand(i) / totalDemand
			if got := ownServers(s); math.Abs(got-want) > 0.15*want+0.05 {
				t.Errorf("%+v: limiter %d with a demand of %.0f per second has %.2f servers, want %.2f",
					c, i, demand(i), got, want)
			}
		}
	}
}

// TestSubsetsAreStable checks that few servers move between subsets when a server or a limiter
// leaves.
func TestSubsetsAreStable(t *testing.T) {
	nearby := func(s *Set) map[string]bool {
		out := map[string]bool{}
		for _, m := range s.services["s"].nearby {
			out[m.ID] = true
		}
		return out
	}
	sets, ids := newZone(18, 38)
	exchangeDemand(sets, ids, func(int) float64 { return 20 })
	before := nearby(sets[9])
	s := sets[9]
	s.ApplyDelta(1, nil, []string{"i-000"})
	kept := 0
	for id := range nearby(s) {
		if before[id] {
			kept++
		}
	}
	if kept < len(before)-2 {
		t.Errorf("%d of %d servers are kept when one server leaves", kept, len(before))
	}
	var others []uint64
	for k, id := range ids {
		if k != 9 && k != 3 {
			others = append(others, id)
		}
	}
	s.SetPeers(others, true)
	kept = 0
	for id := range nearby(s) {
		if before[id] {
			kept++
		}
	}
	if kept < len(before)/2 {
		t.Errorf("%d of %d servers are kept when a limiter leaves", kept, len(before))
	}
}

// TestHintWithoutLoadKeepsTheLastLoad checks that a peer's load counts, and that a hint without a
// load does not change it.
func TestHintWithoutLoadKeepsTheLastLoad(t *testing.T) {
	sets, ids := newZone(30, 30)
	s := sets[0]
	m := s.services["s"].members[0]
	s.ReceiveHints(0, ids[1], []Hint{{Server: m.Hash, InFlight: 2}})
	s.ReceiveHints(1, ids[1], []Hint{{Server: m.Hash, InFlight: InFlightUnknown, Latency: LatencyFailed}})
	if got := m.Load(2); got != 2 || m.health.Suspicion(2) == 0 {
		t.Errorf("load %v, want 2; suspicion %v, want above 0", got, m.health.Suspicion(2))
	}
}
