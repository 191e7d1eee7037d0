package quota

import (
	"math"
	"testing"
)

// An infinite rate or burst made the balance of a bucket NaN, which limits nothing and never ends
// (docs/incidents/0027). Whatever numbers an operator sets, balances stay finite, and a plan that
// can be counted limits.
func TestPlansOfAnyNumbers(t *testing.T) {
	numbers := []float64{
		math.NaN(), math.Inf(-1), -1, 0, math.SmallestNonzeroFloat64, 1e-9, 1, 100, 1e9, 1e12, 1e300,
		math.MaxFloat64, math.Inf(1),
	}
	for _, rate := range numbers {
		for _, burst := range numbers {
			plan := NewPlan(rate, burst)
			e := New(0, Member{ID: 1})
			e.SetPlans(0, map[uint64]Plan{7: plan})
			admitted := 0
			for i := range 2000 {
				if _, ok := e.Admit(float64(i), 7); ok {
					admitted++
				}
			}
			balance := e.Balance(2000, 7)
			if math.IsNaN(balance) || math.IsInf(balance, 0) {
				t.Errorf("rate %v, burst %v: the balance is %v", rate, burst, balance)
			}
			limited := rate > 0 && rate <= 100 && burst <= 100
			if limited && admitted > 301 || !limited && !(rate > 0) && admitted != 2000 {
				t.Errorf("rate %v, burst %v: %d of 2000 admitted in 2 s", rate, burst, admitted)
			}
		}
	}
}

// A plan with a rate and no burst admitted nothing: its bucket could not hold a unit
// (docs/incidents/0029). It admits its rate, and stays within the quota rule without a burst.
func TestPlanWithoutABurstAdmitsItsRate(t *testing.T) {
	for _, limiters := range []int{1, 6} {
		for _, rate := range []float64{5, 100, 1000} {
			f := newFleet(limiters, NewPlan(rate, 0))
			at := f.run(0, 20_000, 4*rate)
			if n := maxInWindow(at); n > bound(Plan{Rate: rate}) {
				t.Errorf("%d limiters, %v a second: %d requests in 5 s, want at most %d", limiters, rate, n,
					bound(Plan{Rate: rate}))
			}
			if n := float64(len(at)); n < 0.8*20*min(rate, 100*float64(limiters)) {
				t.Errorf("%d limiters, %v a second: %v requests admitted in 20 s", limiters, rate, n)
			}
		}
	}
}
