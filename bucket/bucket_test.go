package bucket

import (
	"testing"

	"pgregory.net/rapid"
)

// In any order of refills and requests, a balance is never above the burst, and the admitted
// units never exceed the burst plus the refill.
func TestAdmittedUnitsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 1000).Draw(t, "rate")
		burst := rapid.Float64Range(0, 1000).Draw(t, "burst")
		balance, elapsed, admitted := burst, 0.0, 0.0
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			s := rapid.Float64Range(0, 3).Draw(t, "seconds")
			elapsed += s
			if balance = Refill(balance, s, rate, burst); balance > burst {
				t.Fatalf("balance %v above the burst of %v", balance, burst)
			}
			if units := rapid.Float64Range(0, 50).Draw(t, "units"); Wait(balance, units, rate) <= 0 {
				balance, admitted = balance-units, admitted+units
			}
		}
		if admitted > (burst+rate*elapsed)*(1+1e-9)+1e-6 {
			t.Fatalf("admitted %v, more than the burst %v + refill %v", admitted, burst, rate*elapsed)
		}
	})
}

// Draw may make the balance negative, but does not lower it below the floor.
func TestDraw(t *testing.T) {
	for _, c := range []struct{ balance, units, floor, want float64 }{
		{10, 4, -5, 6},
		{10, 14, -5, -4},
		{10, 40, -5, -5},
		{-8, 1, -5, -8},
	} {
		if got := Draw(c.balance, c.units, c.floor); got != c.want {
			t.Errorf("Draw(%v, %v, %v) = %v, want %v", c.balance, c.units, c.floor, got, c.want)
		}
	}
}
