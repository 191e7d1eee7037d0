package quota

import (
	"math"
	"testing"
)

// Lateness is the delay of a message beyond that of the fastest one, whatever the clock offset.
// Clock drift does not accumulate as lateness.
func TestLatenessIsTimeBeyondTheQuickestMessage(t *testing.T) {
	var l lateness
	const clockAhead = 7000.0 // offset of the receiver's clock
	for _, m := range []struct{ sentAt, tookMs, want float64 }{
		{1000, 5, 0}, {1100, 25, 20}, {1200, 2, 0}, {1300, 2, 0}, {1400, 402, 400},
	} {
		if got := l.observe(m.sentAt+m.tookMs+clockAhead, m.sentAt); math.Abs(got-m.want) > 0.5 {
			t.Errorf("sent at %v, took %v ms: lateness %v, want %v", m.sentAt, m.tookMs, got, m.want)
		}
	}
	drifting := lateness{}
	for sentAt := 0.0; sentAt < 3_600_000; sentAt += 200 {
		if got := drifting.observe(sentAt*(1+50e-6)+clockAhead, sentAt); got > 1 {
			t.Fatalf("after %v ms, a clock drift of 50 ppm counts as %v ms of lateness", sentAt, got)
		}
	}
}

// The lateness that a limiter returns is the highest one among its live peers.
func TestLatenessOfLivePeers(t *testing.T) {
	f := newFleet(3, Plan{Rate: 10, Burst: 10})
	e := f.limiters[0]
	for now := 1000.0; now <= 2000; now += 100 {
		e.ReceiveUsage(now, 2, 5, now, 0, nil)
		e.ReceiveUsage(now, 3, 5, now-300*math.Mod(now/100, 2), 0, nil)
	}
	if got := e.LatenessMs(2000); got > 1 {
		t.Errorf("lateness %v, want 0", got)
	}
	e.ReceiveUsage(2100, 3, 5, 1800, 0, nil)
	if got := e.LatenessMs(2100); math.Abs(got-300) > 1 {
		t.Errorf("lateness %v, want 300", got)
	}
	if got := e.LatenessMs(2101 + LivenessTimeoutMs); got != 0 {
		t.Errorf("lateness %v although no peer is live", got)
	}
}

// The counters distinguish the reasons for rejections, and units that were drawn from units that
// were forgiven.
func TestCountersOfDecisions(t *testing.T) {
	f := newFleet(2, Plan{Rate: 10, Burst: 10})
	e := f.limiters[0]
	liveSet := fingerprint(1) ^ fingerprint(2)
	e.ReceiveUsage(1, 2, 5, 0, liveSet, nil)
	for range 20 {
		e.Admit(1, tenantID)
	}
	admitted := e.Counters().Admitted
	if c := e.Counters(); c.Admitted+c.RejectedEmpty+c.RejectedPaced != 20 || admitted < 4 || admitted > 10 {
		t.Errorf("%+v", c)
	}
	e.ReceiveUsage(2, 2, 5, 1, liveSet, []Usage{{Tenant: tenantID, Units: 1000}})
	if c := e.Counters(); c.Drawn+c.Forgiven != 1000 || c.Drawn < 10 || c.Forgiven < 900 {
		t.Errorf("%+v", c)
	}
}
