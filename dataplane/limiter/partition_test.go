package limiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

// largeFleetTickMs is the tick interval of limiters in a large fleet.
const largeFleetTickMs = 20.0

// runTraffic sends perS requests per second in total to random limiters among the targets. It
// returns the times at which requests were admitted.
func (f *fleet) runTraffic(fromMs, toMs, perS float64, targets []uint64) (admitted []float64) {
	tickMs := gossip.TickMs
	if len(f.ids) > quota.MaxUngroupedLimiters {
		tickMs = largeFleetTickMs
	}
	pending := 0.0
	for now := fromMs; now < toMs; now += tickMs {
		for pending += perS * tickMs / 1000; pending >= 1; pending-- {
			if _, ok := f.limiters[targets[f.rng.IntN(len(targets))]].Admit(now, tenantID); ok {
				admitted = append(admitted, now)
			}
		}
		for _, id := range f.ids {
			if !f.dead[id] {
				f.limiters[id].Tick(now, func(to uint64, m *gossip.Message) {
					if !f.dead[to] && !f.lost(id, to) {
						f.limiters[to].Receive(now, m)
					}
				})
			}
		}
	}
	return admitted
}

// partition is the set of links, by sender and receiver, on which all messages are lost.
type partition map[[2]uint64]bool

// randomPartition returns a random partition, a description of it, and the limiters that it
// separates.
func randomPartition(rng *rand.Rand, ids []uint64) (name string, p partition, separated []uint64) {
	p = partition{}
	oneWay := rng.IntN(2) == 0
	kind := rng.IntN(4)
	switch kind {
	case 0:
		separated = p.addRandomPairs(rng, ids, oneWay)
	case 1:
		separated = p.addIsolatedLimiters(rng, ids, oneWay)
	case 2: // separates two sets from each other; the rest receives from both
		a := randomSubset(rng, ids, 0.1+0.4*rng.Float64())
		b := randomSubset(rng, ids, 0.1+0.4*rng.Float64())
		p.separate(a, b, oneWay)
		separated = append(slices.Clone(a), b...)
	case 3:
		p.addLossyZones(rng, ids)
	}
	return fmt.Sprintf("kind %d, one way %v", kind, oneWay), p, separated
}

// randomSubset returns each of the ids with the given probability.
func randomSubset(rng *rand.Rand, ids []uint64, share float64) (out []uint64) {
	for _, id := range ids {
		if rng.Float64() < share {
			out = append(out, id)
		}
	}
	return out
}

// separate drops all messages from a to b, and also from b to a unless oneWay is set.
func (p partition) separate(a, b []uint64, oneWay bool) {
	for _, x := range a {
		for _, y := range b {
			if p[[2]uint64{x, y}] = true; !oneWay {
				p[[2]uint64{y, x}] = true
			}
		}
	}
}

// addRandomPairs separates random pairs of limiters.
func (p partition) addRandomPairs(rng *rand.Rand, ids []uint64, oneWay bool) (separated []uint64) {
	for range 1 + rng.IntN(len(ids)/3) {
		a, b := ids[rng.IntN(len(ids))], ids[rng.IntN(len(ids))]
		p.separate([]uint64{a}, []uint64{b}, oneWay)
		separated = append(separated, a, b)
	}
	return separated
}

// addIsolatedLimiters separates a few limiters from each other and from a random subset.
func (p partition) addIsolatedLimiters(rng *rand.Rand, ids []uint64, oneWay bool) (separated []uint64) {
	for range 1 + rng.IntN(3) {
		separated = append(separated, ids[rng.IntN(len(ids))])
	}
	rest := randomSubset(rng, ids, 0.2+0.6*rng.Float64())
	p.separate(separated, rest, oneWay)
	p.separate(separated, separated, false)
	return append(separated, rest[:min(2, len(rest))]...)
}

// addLossyZones drops the messages between most pairs of limiters of two zones, in one direction.
func (p partition) addLossyZones(rng *rand.Rand, ids []uint64) {
	from, to := zone(uint64(rng.IntN(3))), zone(uint64(rng.IntN(3)))
	for _, x := range ids {
		for _, y := range ids {
			if zone(x) == from && zone(y) == to && rng.IntN(3) > 0 {
				p[[2]uint64{x, y}] = true
			}
		}
	}
}

// In any partition, the total over all limiters stays within the quota: until the partition is
// detected, within the rule's bound plus the excess requests that arrive before the detection; after
// that, at most 3 % above the rate and burst. The same holds for a tenant whose requests only reach
// the partitioned limiters. Fails if groups share the quota with all limiters that their reporters
// receive from (1,201 requests admitted, 1,100 allowed, with 92 limiters).
func TestAnyPartitionHoldsTheQuota(t *testing.T) {
	t.Parallel()
	const detectionMs = quota.GroupedLivenessTimeoutMs + 800 // timeout, grace period, and gossip about it
	for _, c := range []struct{ n, partitions int }{{24, 8}, {92, 8}, {300, 1}} {
		for seed := range c.partitions {
			t.Run(fmt.Sprintf("%d limiters, seed %d", c.n, seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(uint64(seed), uint64(c.n)))
				p := quota.Plan{Rate: 200, Burst: 100}
				f := newFleet(c.n, p)
				all := f.ids
				f.runTraffic(0, 2000, 150, all)
				name, lostLinks, targets := randomPartition(rng, all)
				if len(targets) < 2 || rng.IntN(2) == 0 {
					targets = all
				}
				f.lost = func(a, b uint64) bool { return lostLinks[[2]uint64{a, b}] }
				const perS = 500
				at := f.runTraffic(2000, 9000, perS, targets)
				if n, limit := maxInWindow(at), bound(p)+detectionMs/1000*(perS-200); n > limit {
					t.Errorf("%d limiters, seed %d, %s: %d requests admitted in 5 s, want at most %d",
						c.n, seed, name, n, limit)
				}
				at = slices.DeleteFunc(at, func(ms float64) bool { return ms < 2000+detectionMs+500 })
				if n, limit := maxInWindow(at), int(1.03*(5*p.Rate+p.Burst)); n > limit {
					t.Errorf("%d limiters, seed %d, %s: %d requests admitted in 5 s after detection, want at most %d",
						c.n, seed, name, n, limit)
				}
			})
		}
	}
}

// Without faults, no more than a few percent of the quota are unused; in small and medium fleets,
// the quota also holds and is mostly used during a rolling restart.
func TestCalmFleetsUseTheQuota(t *testing.T) {
	t.Parallel()
	for _, n := range []int{24, 92, 300} {
		t.Run(fmt.Sprint(n, " limiters"), func(t *testing.T) {
			t.Parallel()
			p := quota.Plan{Rate: 400, Burst: 100}
			f := newFleet(n, p)
			f.runTraffic(0, 3000, 600, f.ids)
			steady := f.runTraffic(3000, 8000, 600, f.ids)
			if got := len(steady); float64(got) < 0.97*5*p.Rate || float64(got) > 1.02*5*p.Rate {
				t.Errorf("%d limiters: %d requests admitted in 5 s, want %.0f", n, got, 5*p.Rate)
			}
			if n > 92 {
				return
			}
			var admitted []float64
			now := 8000.0
			for k := range 10 {
				id := f.ids[k*n/10]
				f.dead[id] = true
				admitted = append(admitted, f.runTraffic(now, now+400, 600, f.ids)...)
				f.dead[id] = false
				f.limiters[id] = New(now+400, Config{Self: id, Incarnation: id + uint64(now), Zone: zone(id), Seed: id})
				f.updatePeers(now + 400)
				f.limiters[id].SetPlans(now+400, map[uint64]quota.Plan{tenantID: p})
				admitted = append(admitted, f.runTraffic(now+400, now+700, 600, f.ids)...)
				now += 700
			}
			if got, want := len(admitted), 7*p.Rate; float64(got) < 0.85*want || float64(got) > 1.05*want {
				t.Errorf("%d limiters: %d requests admitted during a rolling restart, want %.0f", n, got, want)
			}
			if got := maxInWindow(admitted); got > bound(p) {
				t.Errorf("%d limiters: %d requests admitted in 5 s during a rolling restart, want at most %d",
					n, got, bound(p))
			}
		})
	}
}
