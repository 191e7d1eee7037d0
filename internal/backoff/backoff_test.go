package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestPausesGrowToABound(t *testing.T) {
	b := New(50*time.Millisecond, time.Second, rand.New(rand.NewPCG(1, 1)))
	for round := range 2 {
		least := 50 * time.Millisecond
		for range 8 {
			if p := b.Next(); p < least || p >= least*3/2 {
				t.Errorf("round %d: a pause of %v where the least is %v", round, p, least)
			}
			least = min(2*least, time.Second)
		}
		b.Reset()
	}
}

func TestCallersDriftApart(t *testing.T) {
	seen := map[time.Duration]bool{}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		if at := Jitter(time.Second, rng); at < 0 || at >= time.Second {
			t.Errorf("%v is not within the span", at)
		}
		seen[New(time.Second, time.Second, rng).Next()] = true
	}
	if len(seen) < 45 {
		t.Errorf("50 callers have %d pauses", len(seen))
	}
}
