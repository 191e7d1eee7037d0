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
