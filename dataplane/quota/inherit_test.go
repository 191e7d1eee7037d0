package quota

import "testing"

// started returns a limiter that starts at a time beside a peer that has run for long, and a function by which the peer
// reports a fill level.
func started(at float64, p Plan) (e *Enforcer, report func(now float64, units uint64, level uint8)) {
	e = New(at, Member{ID: 1})
	e.SetMembers(at, []Member{{ID: 2}})
	e.SetPlans(at, map[uint64]Plan{tenantID: p})
	liveSet := fingerprint(1) ^ fingerprint(2)
	return e, func(now float64, units uint64, level uint8) {
		e.ReceiveUsage(now, 2, 5, now, liveSet, []Usage{{Tenant: tenantID, Units: units, FillLevel: level}})
	}
}

// As long as peers report an empty bucket, which may be far below zero, a limiter that has just started admits nothing;
// then it has what they report.
func TestStartedLimiterAdmitsNothingWhilePeersOwe(t *testing.T) {
	p := Plan{Rate: 100, Burst: 100}
	e, report := started(10_000, p)
	for now := 10_010.0; now < 16_000; now += 10 {
		if int(now)%250 == 0 {
			report(now, 50, 0)
		}
		if _, ok := e.Admit(now, tenantID); ok && now > 10_250 {
			t.Fatalf("admitted after %v ms, while the bucket is reported empty", now-10_000)
		}
	}
	report(16_000, 50, fullLevel/5)
	if got := e.Balance(16_000, tenantID); got < 19 || got > 21 {
		t.Errorf("balance %v where a peer reports 20", got)
	}
	if _, ok := e.Admit(16_000, tenantID); !ok {
		t.Error("refused with 20 in the bucket")
	}
}

// Where nobody reports any more that the bucket is empty, it is filled again as usual. Reports of limiters that started
// at the same time count for nothing.
func TestStartedLimiterGoesOnAlone(t *testing.T) {
	p := Plan{Rate: 100, Burst: 100}
	e, report := started(10_000, p)
	report(10_100, 50, 0)
	if _, ok := e.Admit(10_100+lowReportMs+1, tenantID); !ok {
		t.Error("refused although nobody reports an empty bucket")
	}
	young, _ := started(10_000, p)
	young.ReceiveUsage(10_300, 2, 5, 200, fingerprint(1)^fingerprint(2), []Usage{{Tenant: tenantID, Units: 1}})
	if _, ok := young.Admit(10_300, tenantID); !ok {
		t.Error("refused by the report of a limiter that has just started")
	}
}

// A limiter goes on to report a bucket that is low although nobody has new units, so that one that has just started
// receives it; not one that is well filled.
func TestLowBucketIsReportedRepeatedly(t *testing.T) {
	for _, c := range []struct {
		units  int
		wanted bool
	}{{20, true}, {3, false}} {
		e := New(0, Member{ID: 1})
		e.SetPlans(0, map[uint64]Plan{tenantID: {Rate: 0.1, Burst: 20}})
		for range c.units {
			e.Admit(1, tenantID)
		}
		reports := 0
		for now := 2000.0; now < 4000; now += 20 {
			reports += len(e.ReportUsage(now, nil))
		}
		if (reports > 4) != c.wanted {
			t.Errorf("%d units of 20: %d reports in 2 s without new units", c.units, reports)
		}
	}
}

// An introduction has the totals of tenants in use, and is bounded.
func TestIntroductionHasTenantsInUse(t *testing.T) {
	e := New(0, Member{ID: 1})
	plans := map[uint64]Plan{}
	for id := range uint64(200) {
		plans[id] = Plan{Rate: 10, Burst: 10}
	}
	e.SetPlans(0, plans)
	e.Admit(1, 7)
	e.ReportUsage(100, nil)
	got := e.UsageSnapshot(200, false, nil)
	if len(got) != 1 || got[0].Tenant != 7 || got[0].Units != 1 || got[0].FillLevel == 0 {
		t.Errorf("%v", got)
	}
	for id := range uint64(200) {
		e.Admit(300, id)
	}
	e.ReportUsage(400, nil)
	if got := e.UsageSnapshot(500, false, nil); len(got) != maxIntroduced {
		t.Errorf("%d tenants", len(got))
	}
	if got := e.UsageSnapshot(500+introducedAgeMs, false, nil); len(got) != 0 {
		t.Errorf("%d tenants that are not in use any more", len(got))
	}
}
