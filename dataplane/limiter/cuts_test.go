package limiter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

// step is how often limiters of a large fleet tick, in milliseconds.
const step = 20.0

// ask has some of the fleet asked in turn, for so many requests a second in all,
// and returns when requests were admitted.
func (f *fleet) ask(fromMs, toMs, perS float64, of []uint64) (at []float64) {
	every := gossip.TickMs
	if len(f.ids) > quota.MaxUngroupedLimiters {
		every = step
	}
	owed := 0.0
	for now := fromMs; now < toMs; now += every {
		for owed += perS * every / 1000; owed >= 1; owed-- {
			if _, ok := f.at[of[f.rng.IntN(len(of))]].Admit(now, tenantID); ok {
				at = append(at, now)
			}
		}
		for _, id := range f.ids {
			if !f.dead[id] {
				f.at[id].Tick(now, func(to uint64, w *gossip.Message) {
					if !f.dead[to] && !f.lost(id, to) {
						f.at[to].Receive(now, w)
					}
				})
			}
		}
	}
	return at
}

// cut is a pattern of who does not hear whom.
type cut map[[2]uint64]bool

// cutAtRandom draws a pattern: pairs, one way or both; machines cut off from some
// of the others; two sets cut from each other while the rest hears both.
func cutAtRandom(rng *rand.Rand, ids []uint64) (name string, c cut, apart []uint64) {
	c = cut{}
	some := func(share float64) (out []uint64) {
		for _, id := range ids {
			if rng.Float64() < share {
				out = append(out, id)
			}
		}
		return out
	}
	between := func(a, b []uint64, oneWay bool) {
		for _, x := range a {
			for _, y := range b {
				if c[[2]uint64{x, y}] = true; !oneWay {
					c[[2]uint64{y, x}] = true
				}
			}
		}
	}
	oneWay := rng.IntN(2) == 0
	kind := rng.IntN(4)
	switch kind {
	case 0:
		for range 1 + rng.IntN(len(ids)/3) {
			a, b := ids[rng.IntN(len(ids))], ids[rng.IntN(len(ids))]
			between([]uint64{a}, []uint64{b}, oneWay)
			apart = append(apart, a, b)
		}
	case 1:
		for range 1 + rng.IntN(3) {
			apart = append(apart, ids[rng.IntN(len(ids))])
		}
		rest := some(0.2 + 0.6*rng.Float64())
		between(apart, rest, oneWay)
		between(apart, apart, false)
		apart = append(apart, rest[:min(2, len(rest))]...)
	case 2:
		a, b := some(0.1+0.4*rng.Float64()), some(0.1+0.4*rng.Float64())
		between(a, b, oneWay)
		apart = append(slices.Clone(a), b...)
	case 3:
		za, zb := zone(uint64(rng.IntN(3))), zone(uint64(rng.IntN(3)))
		for _, x := range ids {
			for _, y := range ids {
				if zone(x) == za && zone(y) == zb && rng.IntN(3) > 0 {
					c[[2]uint64{x, y}] = true
				}
			}
		}
	}
	return fmt.Sprintf("kind %d, one way %v", kind, oneWay), c, apart
}

// Whoever hears whom, the sum over all limiters stays in the quota: while a cut is
// noticed within the rule's bound and what comes in until then, and after that to
// the letter; a tenant that is asked for at those alone that are cut off from each
// other is no exception. Fails where groups share with all that their reporters hear (1,201
// of 1,100 with 92 limiters).
func TestAnyCutHoldsTheQuota(t *testing.T) {
	t.Parallel()
	const noticedMs = quota.GroupedLivenessTimeoutMs + 800 // silence, grace, and word of it
	for _, c := range []struct{ n, patterns int }{{24, 8}, {92, 8}, {300, 1}} {
		for seed := range c.patterns {
			t.Run(fmt.Sprintf("%d limiters, seed %d", c.n, seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(uint64(seed), uint64(c.n)))
				p := quota.Plan{Rate: 200, Burst: 100}
				f := newFleet(c.n, p)
				all := f.ids
				f.ask(0, 2000, 150, all)
				name, pattern, asked := cutAtRandom(rng, all)
				if len(asked) < 2 || rng.IntN(2) == 0 {
					asked = all
				}
				f.lost = func(a, b uint64) bool { return pattern[[2]uint64{a, b}] }
				const perS = 500
				at := f.ask(2000, 9000, perS, asked)
				if n, limit := most(at, 5000), bound(p)+noticedMs/1000*(perS-200); n > limit {
					t.Errorf("%d limiters, seed %d, %s: %d in 5 s, %d at most", c.n, seed, name, n, limit)
				}
				at = slices.DeleteFunc(at, func(ms float64) bool { return ms < 2000+noticedMs+500 })
				if n, limit := most(at, 5000), int(1.03*(5*p.Rate+p.Burst)); n > limit {
					t.Errorf("%d limiters, seed %d, %s: %d in 5 s once it is noticed, %d at most", c.n, seed, name, n, limit)
				}
			})
		}
	}
}

// On a calm day no more than a few percent of a quota lie idle, also while limiters
// are restarted one after the other.
func TestCalmFleetsUseTheQuota(t *testing.T) {
	t.Parallel()
	for _, n := range []int{24, 92, 300} {
		t.Run(fmt.Sprint(n, " limiters"), func(t *testing.T) {
			t.Parallel()
			p := quota.Plan{Rate: 400, Burst: 100}
			f := newFleet(n, p)
			f.ask(0, 3000, 600, f.ids)
			calm := f.ask(3000, 8000, 600, f.ids)
			if got := len(calm); float64(got) < 0.97*5*p.Rate || float64(got) > 1.02*5*p.Rate {
				t.Errorf("%d limiters: %d of %.0f in 5 s", n, got, 5*p.Rate)
			}
			if n > 92 {
				return
			}
			var rolled []float64
			now := 8000.0
			for k := range 10 {
				id := f.ids[k*n/10]
				f.dead[id] = true
				rolled = append(rolled, f.ask(now, now+400, 600, f.ids)...)
				f.dead[id] = false
				f.at[id] = New(now+400, Config{Self: id, Incarnation: id + uint64(now), Zone: zone(id), Seed: id})
				f.know(now + 400)
				f.at[id].SetPlans(now+400, map[uint64]quota.Plan{tenantID: p})
				rolled = append(rolled, f.ask(now+400, now+700, 600, f.ids)...)
				now += 700
			}
			if got, want := len(rolled), 7*p.Rate; float64(got) < 0.85*want || float64(got) > 1.05*want {
				t.Errorf("%d limiters: %d of %.0f while one after the other is restarted", n, got, want)
			}
			if got := most(rolled, 5000); got > bound(p) {
				t.Errorf("%d limiters: %d in 5 s while one after the other is restarted, %d at most", n, got, bound(p))
			}
		})
	}
}
