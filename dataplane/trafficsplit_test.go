package dataplane

import (
	"math"
	"testing"

	"example.org/elmspan/api"
)

// Each upstream of a traffic split gets its share of the requests, and one with weight 0 gets none.
func TestTrafficSplitFollowsItsWeights(t *testing.T) {
	t.Parallel()
	g := newGateway(t, newBackend(t, respondOK("yes")))
	weights := map[string]float64{"a": 0.7, "b": 0.25, "c": 0.05, "none": 0}
	r := &route{totalWeight: 0} // the weights are relative: they sum to 40
	for _, name := range []string{"none", "a", "b", "c"} {
		r.TrafficSplit = append(r.TrafficSplit, api.WeightedUpstream{Upstream: name, Weight: 40 * weights[name]})
		r.totalWeight += 40 * weights[name]
	}
	const draws = 20_000
	got := map[string]float64{}
	g.guarded.mu.Lock()
	for range draws {
		got[r.pickService(g.guarded.rng.Float64())] += 1.0 / draws
	}
	g.guarded.mu.Unlock()
	for name, want := range weights {
		if math.Abs(got[name]-want) > 0.02 {
			t.Errorf("%s gets %.3f of the requests, want %.3f", name, got[name], want)
		}
	}
}
