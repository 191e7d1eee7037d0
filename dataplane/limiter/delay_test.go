package limiter

import (
	"fmt"
	"testing"

	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/quota"
)

// askDelayed has the fleet asked, words taking so long on their way.
func (f *fleet) askDelayed(fromMs, toMs, perS, delayMs float64) (at []float64) {
	type letter struct {
		due float64
		to  uint64
		b   []byte
	}
	var onWay []letter
	for now := fromMs; now < toMs; now += gossip.TickMs {
		for len(onWay) > 0 && onWay[0].due <= now {
			var w gossip.Message
			if err := w.Decode(onWay[0].b); err != nil {
				panic(err)
			}
			f.at[onWay[0].to].Receive(now, &w)
			onWay = onWay[1:]
		}
		for _, id := range f.ids {
			l := f.at[id]
			if f.rng.Float64() < perS*gossip.TickMs/1000/float64(len(f.ids)) {
				if _, ok := l.Admit(now, tenantID); ok {
					at = append(at, now)
				}
			}
			l.Tick(now, func(to uint64, w *gossip.Message) {
				onWay = append(onWay, letter{now + delayMs, to, w.Append(nil)})
			})
		}
	}
	return at
}

// hotWithDelay has one tenant, calm for 3 s, ask for so many times its rate at all
// limiters alike, and tells how many were let through in the worst 5 s.
func hotWithDelay(t *testing.T, n int, times, delayMs float64) {
	t.Run(fmt.Sprint(n, " limiters, ", times, " x, ", delayMs, " ms"), func(t *testing.T) {
		t.Parallel()
		p := quota.Plan{Rate: 459, Burst: 459}
		f := newFleet(n, p)
		at := f.askDelayed(0, 3000, 0.6*p.Rate, delayMs)
		at = append(at, f.askDelayed(3000, 9000, times*p.Rate, delayMs)...)
		if got := most(at, 5000); got > bound(p) {
			t.Errorf("%d in 5 s, %d at most", got, bound(p))
		}
	})
}

// A tenant that is hot all of a sudden stays in its quota where each word is 20 ms on its way.
func TestQuotaWhereWordsTakeTime(t *testing.T) {
	t.Parallel()
	for _, n := range []int{90, 300} {
		for _, times := range []float64{4, 7.5} {
			hotWithDelay(t, n, times, 20)
		}
	}
}

// The same where each is 120 ms on its way, as behind long answers on a full link.
func TestQuotaWhereLinksAreFull(t *testing.T) {
	t.Parallel()
	for _, n := range []int{90, 300} {
		hotWithDelay(t, n, 7.5, 120)
	}
}
