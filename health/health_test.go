package health

import (
	"math/rand/v2"
	"testing"
)

// simulate sends perS requests per second to a server for forMs milliseconds; the fraction
// failureShare of them fails. It returns the time from the start to the first ejection (0: none),
// and the fraction of the time for which the server was ejected.
func simulate(
	d *Detector, b *Baseline, seed uint64, from, forMs, perS, failureShare float64,
) (firstEjection, ejectedShare float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for now := from; now < from+forMs; now += 1000 / perS {
		if d.Ejected(now) {
			ejectedShare += 1000 / perS / forMs
			continue
		}
		if rng.Float64() >= failureShare {
			d.ObserveSuccess(now, b)
		} else if d.ObserveFailure(now, 1, b, true) && firstEjection == 0 {
			firstEjection = now - from
		}
	}
	return firstEjection, ejectedShare
}

// A server that starts to fail a part of its requests, at seven requests per second, is ejected
// within 2.5 s in nine of ten runs, and is in use at most half of the time from then on.
func TestPartiallyFailingServerIsEjected(t *testing.T) {
	for _, share := range []float64{0.4, 0.6, 1} {
		notEjected, inUse := 0, 0.0
		for seed := range uint64(100) {
			var d Detector
			b := &Baseline{rate: 0.03}
			simulate(&d, b, seed, 0, 20_000, 7, 0.005)
			first, ejectedShare := simulate(&d, b, seed+1000, 20_000, 7000, 7, share)
			if first == 0 || first > 2500 {
				notEjected++
			}
			inUse += (1 - ejectedShare) / 100
		}
		if notEjected > 10 || inUse > 0.5 {
			t.Errorf("failing %.0f %%: in %d of 100 runs not ejected within 2.5 s, in use %.2f of the time",
				100*share, notEjected, inUse)
		}
	}
}

// A server that fails as often as the others of its service is rarely ejected.
func TestServerThatFailsAsOthersDoIsNotEjected(t *testing.T) {
	for _, c := range []struct{ share, baseline, maxEjected float64 }{
		{0.01, 0.01, 0.02},
		{0.03, 0.03, 0.06},
		{0.3, 0.3, 0.25},
	} {
		mean := 0.0
		for seed := range uint64(50) {
			var d Detector
			_, ejectedShare := simulate(&d, &Baseline{rate: c.baseline}, seed, 0, 30_000, 7, c.share)
			mean += ejectedShare / 50
		}
		if mean > c.maxEjected {
			t.Errorf("failing %.0f %%, as all servers: ejected %.3f of the time", 100*c.share, mean)
		}
	}
}

// A server that returns from ejection is on probation: one failure ejects it for twice as long.
// After ejectionResetMs without a failure, the next ejection counts as the first one again.
func TestServerOnProbationIsEjectedForTwiceAsLong(t *testing.T) {
	var d Detector
	b := &Baseline{}
	d.ObserveFailure(0, ConclusiveWeight, b, true)
	if !d.ObserveFailure(1, ConclusiveWeight, b, true) || !d.Ejected(baseEjectionMs) || d.Ejected(baseEjectionMs+2) {
		t.Fatal("not ejected for baseEjectionMs after two conclusive failures")
	}
	returnsAt := baseEjectionMs + 2
	ejectedUntil := returnsAt + 2*baseEjectionMs
	if !d.ObserveFailure(returnsAt, 1, b, true) || !d.Ejected(ejectedUntil-1) || d.Ejected(ejectedUntil) {
		t.Error("not ejected for twice as long after a failure on probation")
	}
	now := 3*baseEjectionMs + 2
	for ; now < 3*baseEjectionMs+ejectionResetMs+10; now += 100 {
		d.ObserveSuccess(now, b)
	}
	d.ObserveFailure(now, ConclusiveWeight, b, true)
	if !d.ObserveFailure(now+1, ConclusiveWeight, b, true) || d.Ejected(now+1+baseEjectionMs) {
		t.Error("ejections not reset after a long time without a failure")
	}
}

// A server that its service cannot do without is never ejected. Failures that peers report have a
// lower weight.
func TestIrreplaceableServerIsNotEjected(t *testing.T) {
	var d Detector
	b := &Baseline{}
	for now := range 50 {
		if d.ObserveFailure(float64(now), 1, b, false) || d.Ejected(float64(now)) {
			t.Fatal("irreplaceable server ejected")
		}
	}
	if d.Suspicion(50) < 0.9 {
		t.Errorf("suspicion of an always failing server: %v, want at least 0.9", d.Suspicion(50))
	}
	var reported Detector
	for now := range 3 {
		if reported.ObserveFailure(float64(now), 0.3, b, true) {
			t.Fatal("ejected after three failures reported by peers")
		}
	}
	if suspicion := reported.Suspicion(3); suspicion < 0.3 || suspicion > 0.9 {
		t.Errorf("suspicion after three failures reported by peers: %v, want 0.3 to 0.9", suspicion)
	}
}
