package limiter

import (
	"fmt"
	"testing"

	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

// playDelayed sends requests to all limiters alike. Gossip messages take delayMs.
func (f *fleet) playDelayed(fromMs, toMs, perS, delayMs float64) (at []float64) {
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
				f.at[to].Receive(now, &m)
			}
			inFlight = inFlight[1:]
		}
		for _, id := range f.ids {
			l := f.at[id]
			if f.dead[id] {
				continue
			}
			if f.rng.Float64() < perS*gossip.TickMs/1000/float64(len(f.ids)) {
				if _, ok := l.Admit(now, tenantID); ok {
					at = append(at, now)
				}
			}
			l.Tick(now, func(to uint64, m *gossip.Message) {
				inFlight = append(inFlight, datagram{now + delayMs, to, m.Append(nil)})
			})
		}
	}
	return at
}

// hotWithDelay has one tenant, calm for 3 s, send so many times its rate to all limiters
// alike, and requires that the worst 5 s stay in the bound.
func hotWithDelay(t *testing.T, n int, times, delayMs float64) {
	t.Helper()
	hotFor(t, n, quota.Plan{Rate: 459, Burst: 459}, times, delayMs, 6000)
}

// hotFor is hotWithDelay for a tenant with a plan that is hot for a time.
func hotFor(t *testing.T, n int, p quota.Plan, times, delayMs, hotMs float64) {
	t.Helper()
	t.Run(fmt.Sprint(n, " limiters, ", p.Rate, " a second, ", times, " x, ", delayMs, " ms"), func(t *testing.T) {
		t.Parallel()
		f := newFleet(n, p)
		at := f.playDelayed(0, 3000, 0.6*p.Rate, delayMs)
		at = append(at, f.playDelayed(3000, 3000+hotMs, times*p.Rate, delayMs)...)
		if got := maxInWindow(at); got > bound(p) {
			t.Errorf("%d in 5 s, %d at most", got, bound(p))
		}
	})
}

// A tenant that is hot all of a sudden stays in its quota where each message takes 20 ms.
func TestQuotaWhereMessagesTakeTime(t *testing.T) {
	t.Parallel()
	for _, n := range []int{90, 300} {
		for _, times := range []float64{4, 7.5} {
			hotWithDelay(t, n, times, 20)
		}
	}
}

// The same where each message takes 120 ms, as behind downloads on a full link.
func TestQuotaWhereLinksAreFull(t *testing.T) {
	t.Parallel()
	for _, n := range []int{90, 300} {
		hotWithDelay(t, n, 7.5, 120)
	}
}
