package balance

import "testing"

// chosenInOwnZone counts how many of 30 requests stay in the zone of the limiter.
func chosenInOwnZone(s *Set, now float64) (n int) {
	for range 30 {
		m, _ := s.Choose(now, Request{Service: "s", RemainingMs: 1e6})
		if m != nil && m.Zone == s.zone {
			n++
		}
	}
	return n
}

// finishAll has an attempt at each of the servers end with a result.
func finishAll(s *Set, now float64, r Result, tookMs float64, ids ...string) {
	for _, id := range ids {
		s.FinishAttempt(now, s.byID[id], r, tookMs)
	}
}

// A zone whose servers can't be reached is ejected once a few of them have failed, and not
// for a single one; it returns on probation, and for good once its servers answer.
func TestZoneOutageIsDetectedAndEnds(t *testing.T) {
	s := newSet("z1", "z1", "z1", "z1", "z2", "z2", "z2")
	for range 10 { // one broken server
		finishAll(s, 0, NotSent, 300, "a")
	}
	if chosenInOwnZone(s, 1) == 0 {
		t.Fatal("a zone is ejected for one broken server")
	}
	now := 20_000.0
	for range 300 { // failures are rare
		finishAll(s, now, Success, 100, "e")
	}
	finishAll(s, now, NotSent, 300, "a", "b", "c", "a", "b", "c")
	if n := chosenInOwnZone(s, now+1); n > 0 || len(s.UnreachableZones(now+1)) != 1 {
		t.Errorf("%d of 30 requests go to an ejected zone; ejected: %v", n, s.UnreachableZones(now+1))
	}
	now += 1500
	if chosenInOwnZone(s, now) == 0 {
		t.Error("the zone does not return on probation")
	}
	finishAll(s, now, NotSent, 300, "b", "c", "a", "b")
	if n := chosenInOwnZone(s, now+1); n > 0 {
		t.Errorf("%d of 30 requests go to a zone that failed on probation", n)
	}
	now += 5000
	for range 20 {
		finishAll(s, now, Success, 100, "b")
	}
	if len(s.UnreachableZones(now)) != 0 || chosenInOwnZone(s, now) == 0 {
		t.Error("the zone is still ejected though its servers answer")
	}
}

// Where there is no other zone, the only one is used however it fails.
func TestOnlyZoneIsNeverEjected(t *testing.T) {
	s := newSet("z1", "z1", "z1", "z1")
	finishAll(s, 0, NotSent, 300, "a", "b", "c", "a", "b", "c")
	if m, _ := s.Choose(1, Request{Service: "s", RemainingMs: 1e6}); m == nil || len(s.UnreachableZones(1)) != 0 {
		t.Error("the only zone is ejected")
	}
}
