package limiter

import (
	"fmt"
	"testing"

	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

// runWithDelay sends perS requests per second in total, distributed evenly over all limiters, with a
// gossip delay of delayMs. Requests to dead limiters are lost. It returns the times at which
// requests were admitted.
func (f *fleet) runWithDelay(fromMs, toMs, perS, delayMs float64) (admitted []float64) {
	type datagram struct {
		due   float64
		to    uint64
		bytes []byte
	}
	var inFlight []datagram
	for now := fromMs; now < toMs; now += gossip.TickMs {
		for len(inFlight) > 0 && inFlight[0].due <= now {
			var m gossip.Message
			if err := m.Decode(inFlight[0].bytes); err != nil {
				panic(err)
			}
			if to := inFlight[0].to; !f.dead[to] {
				f.limiters[to].Receive(now, &m)
			}
			inFlight = inFlight[1:]
		}
		for _, id := range f.ids {
			l := f.limiters[id]
			if f.dead[id] {
				continue
			}
			if f.rng.Float64() < perS*gossip.TickMs/1000/float64(len(f.ids)) {
				if _, ok := l.Admit(now, tenantID); ok {
					admitted = append(admitted, now)
				}
			}
			l.Tick(now, func(to uint64, m *gossip.Message) {
				inFlight = append(inFlight, datagram{now + delayMs, to, m.Append(nil)})
			})
		}
	}
	return admitted
}

// testSurge checks that a tenant that stays below its quota for 3 s and then sends rateFactor times
// its rate, distributed evenly over all limiters, does not exceed the bound in any window of 5 s.
func testSurge(t *testing.T, n int, rateFactor, delayMs float64) {
	t.Helper()
	testSurgeWithPlan(t, n, quota.Plan{Rate: 459, Burst: 459}, rateFactor, delayMs, 6000)
}

// testSurgeWithPlan is testSurge with a given plan and duration of the surge.
func testSurgeWithPlan(t *testing.T, n int, p quota.Plan, rateFactor, delayMs, surgeMs float64) {
	t.Helper()
	t.Run(fmt.Sprint(n, " limiters, ", p.Rate, " a second, ", rateFactor, " x, ", delayMs, " ms"), func(t *testing.T) {
		t.Parallel()
		f := newFleet(n, p)
		at := f.runWithDelay(0, 3000, 0.6*p.Rate, delayMs)
		at = append(at, f.runWithDelay(3000, 3000+surgeMs, rateFactor*p.Rate, delayMs)...)
		if got := maxInWindow(at); got > bound(p) {
			t.Errorf("%d requests admitted in 5 s, want at most %d", got, bound(p))
		}
	})
}

// A tenant with a sudden surge stays within its quota if gossip messages are delayed by 20 ms.
func TestQuotaWhereMessagesTakeTime(t *testing.T) {
	t.Parallel()
	for _, n := range []int{90, 300} {
		for _, times := range []float64{4, 7.5} {
			testSurge(t, n, times, 20)
		}
	}
}

// The same if gossip messages are delayed by 120 ms, as behind downloads on a saturated link.
func TestQuotaWhereLinksAreFull(t *testing.T) {
	t.Parallel()
	for _, n := range []int{90, 300} {
		testSurge(t, n, 7.5, 120)
	}
}
