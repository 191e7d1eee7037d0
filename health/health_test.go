package health

import (
	"math/rand/v2"
	"testing"
)

// play sends a server so many requests a second for some time, of which a share fails. It
// returns when the server was first ejected, 0 for never, and for which part of the time it was.
func play(
	r *Detector, u *Baseline, seed uint64, from, forMs, perS, share float64,
) (first, off float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for now := from; now < from+forMs; now += 1000 / perS {
		if r.Ejected(now) {
			off += 1000 / perS / forMs
			continue
		}
		if rng.Float64() >= share {
			r.ObserveSuccess(now, u)
		} else if r.ObserveFailure(now, 1, u, true) && first == 0 {
			first = now - from
		}
	}
	return first, off
}

// A server that fails a part of its requests is ejected within a second at seven
// requests a second, whatever it did before, and most of the time from then on.
func TestPartiallyFailingServerIsEjected(t *testing.T) {
	for _, share := range []float64{0.4, 0.6, 1} {
		late, used := 0, 0.0
		for seed := range uint64(100) {
			var r Detector
			u := &Baseline{rate: 0.03}
			play(&r, u, seed, 0, 20_000, 7, 0.005)
			first, off := play(&r, u, seed+1000, 20_000, 7000, 7, share)
			if first == 0 || first > 2500 {
				late++
			}
			used += (1 - off) / 100
		}
		if late > 10 || used > 0.5 {
			t.Errorf("failing %.0f %%: %d of 100 not ejected within 2.5 s, %.2f of the time in use",
				100*share, late, used)
		}
	}
}

// A server that fails as others do, now and then, is used.
func TestServerThatFailsAsOthersDoIsNotEjected(t *testing.T) {
	for _, c := range []struct{ share, baseline, maxEjected float64 }{
		{0.01, 0.01, 0.02},
		{0.03, 0.03, 0.06},
		{0.3, 0.3, 0.25},
	} {
		mean := 0.0
		for seed := range uint64(50) {
			var r Detector
			_, off := play(&r, &Baseline{rate: c.baseline}, seed, 0, 30_000, 7, c.share)
			mean += off / 50
		}
		if mean > c.maxEjected {
			t.Errorf("failing %.0f %% as all do: ejected %.3f of the time", 100*c.share, mean)
		}
	}
}

// A server that returns is on probation: one failure ejects it for twice as long.
// After a long time without a failure the count of ejections begins again.
func TestServerOnProbationIsEjectedForTwiceAsLong(t *testing.T) {
	var r Detector
	u := &Baseline{}
	r.ObserveFailure(0, ConclusiveWeight, u, true)
	if !r.ObserveFailure(1, ConclusiveWeight, u, true) || !r.Ejected(baseEjectionMs) || r.Ejected(baseEjectionMs+2) {
		t.Fatal("two failed connects eject a server for a while")
	}
	back := baseEjectionMs + 2
	end := back + 2*baseEjectionMs
	if !r.ObserveFailure(back, 1, u, true) || !r.Ejected(end-1) || r.Ejected(end) {
		t.Error("a failure on probation ejects it for twice as long")
	}
	now := 3*baseEjectionMs + 2
	for ; now < 3*baseEjectionMs+forgiveAfterMs+10; now += 100 {
		r.ObserveSuccess(now, u)
	}
	r.ObserveFailure(now, ConclusiveWeight, u, true)
	if !r.ObserveFailure(now+1, ConclusiveWeight, u, true) || r.Ejected(now+1+baseEjectionMs) {
		t.Error("after a long time the count begins again")
	}
}

// A server that its service can't do without is used however it fails; failures that
// peers report weigh less.
func TestIrreplaceableServerIsNotEjected(t *testing.T) {
	var r Detector
	u := &Baseline{}
	for now := range 50 {
		if r.ObserveFailure(float64(now), 1, u, false) || r.Ejected(float64(now)) {
			t.Fatal("an irreplaceable server is ejected")
		}
	}
	if r.Suspicion(50) < 0.9 {
		t.Errorf("a suspicion of %v", r.Suspicion(50))
	}
	var reported Detector
	for now := range 3 {
		if reported.ObserveFailure(float64(now), 0.3, u, true) {
			t.Fatal("three reported failures are enough")
		}
	}
	if d := reported.Suspicion(3); d < 0.3 || d > 0.9 {
		t.Errorf("a suspicion of %v", d)
	}
}
