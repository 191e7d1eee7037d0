package limiter

import (
	"fmt"
	"testing"

	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

// A tenant of any size with a sudden surge that is spread evenly over a very large fleet, so that
// each limiter sees little of it, stays within its quota and can use at least 90 % of its rate,
// also if gossip is limited to the budget of a small link.
func TestSuddenlyHotTenantInVeryLargeFleet(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		n           int
		rate, times float64
		budget      gossip.Budget
	}{
		{100, 10, 4, gossip.Budget{}},
		{100, 60, 4, gossip.Budget{}},
		{300, 6, 10, gossip.Budget{}},
		{300, 30, 4, gossip.Budget{}},
		{300, 100, 4, gossip.Budget{}},
		{300, 600, 3, gossip.Budget{}},
		{300, 100, 4, gossip.Budget{BytesPerS: 4950, MessagesPerS: 320}},
	} {
		t.Run(fmt.Sprint(c.n, " limiters, ", c.times, " x ", c.rate, ", ", c.budget), func(t *testing.T) {
			t.Parallel()
			p := quota.Plan{Rate: c.rate, Burst: c.rate}
			f := newFleet(c.n, p)
			for _, id := range f.ids {
				f.limiters[id] = New(0, Config{
					Self: id, Incarnation: id, Zone: zone(id), Seed: id, GossipBudget: c.budget,
				})
				f.limiters[id].SetPlans(0, map[uint64]quota.Plan{tenantID: p})
			}
			f.updatePeers(0)
			f.lost = func(_, _ uint64) bool { return f.rng.Float64() < 0.01 }
			at := f.runTraffic(0, 4000, 0.6*c.rate, f.ids)
			beforeSurge := float64(len(at))
			surge := f.runTraffic(4000, 12_000, c.times*c.rate, f.ids)
			n := maxInWindow(append(at, surge...))
			t.Logf("admitted: %.0f of %.0f before the surge, %d of %.0f during it; %d in 5 s, at most %d allowed",
				beforeSurge, 0.6*4*c.rate, len(surge), 9*c.rate, n, bound(p))
			if n > bound(p) {
				t.Errorf("%d requests admitted in 5 s, want at most %d", n, bound(p))
			}
			if got := float64(len(surge)); got < 0.9*8*c.rate {
				t.Errorf("%.0f requests admitted in 8 s at a quota of %.0f/s", got, c.rate)
			}
		})
	}
}
