package quota

import "testing"

// runOn sends requests at a rate to the limiters with indices from first to last-1 only, and
// returns how many were sent and admitted.
func (f *fleet) runOn(first, last int, fromMs, toMs, perS float64) (requested, admitted int) {
	for now := fromMs; now < toMs; now += 10 {
		for i, l := range f.limiters {
			if i >= first && i < last && f.rng.Float64() < perS/100/float64(last-first) {
				requested++
				if _, ok := l.Admit(now, tenantID); ok {
					admitted++
				}
			}
			reports := l.ReportUsage(now, nil)
			for j, other := range f.limiters {
				if j != i {
					other.ReceiveUsage(now, uint64(i+1), uint64(100+i), now, l.LiveSet(now), reports)
				}
			}
		}
	}
	return requested, admitted
}

// Once its bucket was exhausted, a limiter admits little more than its fraction of the refill, also
// while it receives no usage from the others.
func TestLimiterTakesItsPartOfTheRefill(t *testing.T) {
	p := Plan{Rate: 100, Burst: 100}
	f := newFleet(10, p)
	f.runOn(0, 10, 0, 5000, 600)
	alone := f.limiters[0]
	admitted := 0
	for now := 5000.0; now < 5200; now++ { // until the bucket is a fifth full
		if _, ok := alone.Admit(now, tenantID); ok {
			admitted++
		}
	}
	refill := p.Rate * 0.2
	if fair := refill / 10; float64(admitted) > 3*fair {
		t.Errorf("%d admitted of a refill of %.0f, its fraction is %.0f", admitted, refill, fair)
	}
}

// Once the bucket has refilled, no request of a tenant below its quota is rejected, whichever
// limiter receives it.
func TestPacingEndsWhenTheBucketIsFilled(t *testing.T) {
	p := Plan{Rate: 100, Burst: 100}
	f := newFleet(10, p)
	f.runOn(0, 10, 0, 5000, 600)
	f.runOn(0, 10, 5000, 7000, 0)
	if requested, admitted := f.runOn(9, 10, 7000, 12000, 0.8*p.Rate); admitted < requested {
		t.Errorf("%d of %d requests admitted", admitted, requested)
	}
}

// A tenant beyond its quota whose requests move to limiters that had none of them before still gets
// its quota.
func TestUsageMovesWhilePaced(t *testing.T) {
	p := Plan{Rate: 100, Burst: 100}
	f := newFleet(10, p)
	f.runOn(0, 5, 0, 5000, 300)
	f.runOn(5, 10, 5000, 7000, 300)
	if _, admitted := f.runOn(5, 10, 7000, 12000, 300); float64(admitted) < 0.9*5*p.Rate {
		t.Errorf("%d admitted of a refill of %.0f", admitted, 5*p.Rate)
	}
}
