package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestPausesGrowToAMaximum(t *testing.T) {
	b := New(50*time.Millisecond, time.Second, rand.New(rand.NewPCG(1, 1)))
	for round := range 2 {
		shortest := 50 * time.Millisecond
		for range 8 {
			if p := b.Next(); p < shortest || p >= shortest*3/2 {
				t.Errorf("round %d: pause %v, want at least %v and less than 1.5 times that", round, p, shortest)
			}
			shortest = min(2*shortest, time.Second)
		}
		b.Reset()
	}
}

func TestJitterMakesCallersDriftApart(t *testing.T) {
	const callers = 50
	seen := map[time.Duration]bool{}
	for seed := range uint64(callers) {
		rng := rand.New(rand.NewPCG(seed, 1))
		if d := Jitter(time.Second, rng); d < 0 || d >= time.Second {
			t.Errorf("jitter %v is outside the span", d)
		}
		seen[New(time.Second, time.Second, rng).Next()] = true
	}
	if len(seen) < 45 {
		t.Errorf("%d callers have only %d distinct pauses", callers, len(seen))
	}
}
