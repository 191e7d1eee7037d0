package balance

import (
	"fmt"
	"testing"

	"example.org/elmspan/api"
)

// sendRequests makes each limiter send a request every 60 ms, each of which takes 100 ms, and
// returns the number of requests by server.
func sendRequests(sets []*Set, fromMs, toMs float64) map[string]int {
	type inFlight struct {
		set    *Set
		member *Member
		endsAt float64
	}
	const intervalMs, serviceMs = 60.0, 100.0
	counts := map[string]int{}
	var running []inFlight
	for now := fromMs; now < toMs; now += intervalMs {
		for len(running) > 0 && running[0].endsAt <= now {
			first := running[0]
			first.set.FinishAttempt(now, first.member, Success, serviceMs)
			running = running[1:]
		}
		for _, s := range sets {
			s.UpdateSubsets(now)
			m, _ := s.Choose(now, Request{Service: "s", RemainingMs: 1000})
			if m == nil {
				continue
			}
			s.StartAttempt(m)
			counts[m.ID]++
			running = append(running, inFlight{s, m, now + serviceMs})
		}
	}
	return counts
}

// TestServerThatJoinsGetsRequests guards against servers that join, with a slow start, and get no
// requests within four seconds, in a small fleet and in a large one with subsets.
func TestServerThatJoinsGetsRequests(t *testing.T) {
	for _, large := range []bool{false, true} {
		sets, ids := newZone(18, 38)
		if large {
			exchangeDemand(sets, ids, func(int) float64 { return 16 })
		} else {
			for _, s := range sets {
				s.SetPeers(nil, false) // no peers are needed in a small fleet
			}
		}
		sendRequests(sets, 0, 2000)
		const joined = 5
		for i := range joined {
			server := api.Server{
				ID: fmt.Sprintf("j-%d", i), Upstream: "s", Addr: fmt.Sprint("j", i), Zone: "z", Capacity: 2,
				State: api.InService, WarmupMs: 2000,
			}
			for _, s := range sets {
				s.ApplyDelta(2000, []api.Server{server}, nil)
			}
		}
		counts := sendRequests(sets, 2000, 6000)
		for i := range joined {
			if id := fmt.Sprintf("j-%d", i); counts[id] == 0 {
				t.Errorf("large fleet %v: %s got no requests", large, id)
			}
		}
	}
}
