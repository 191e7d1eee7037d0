package balance

import "testing"

// chosenInOwnZone returns how many of 30 requests stay in the limiter's zone.
func chosenInOwnZone(s *Set, now float64) (n int) {
	for range 30 {
		m, _ := s.Choose(now, Request{Service: "s", RemainingMs: 1e6})
		if m != nil && m.Zone == s.zone {
			n++
		}
	}
	return n
}

// finishAll finishes an attempt at each of the servers with the same result.
func finishAll(s *Set, now float64, r Result, tookMs float64, ids ...string) {
	for _, id := range ids {
		s.FinishAttempt(now, s.byID[id], r, tookMs)
	}
}

// TestZoneOutageIsDetectedAndEnds checks that a zone is ejected when several of its servers can't
// be reached, but not for a single server; that it returns on probation; and that it stays in use
// once its servers respond.
func TestZoneOutageIsDetectedAndEnds(t *testing.T) {
	s := newSet("z1", "z1", "z1", "z1", "z2", "z2", "z2")
	for range 10 { // one broken server
		finishAll(s, 0, NotSent, 300, "a")
	}
	if chosenInOwnZone(s, 1) == 0 {
		t.Fatal("a zone is ejected because of one broken server")
	}
	now := 20_000.0
	for range 300 { // lowers the baseline failure rate of the service
		finishAll(s, now, Success, 100, "e")
	}
	finishAll(s, now, NotSent, 300, "a", "b", "c", "a", "b", "c")
	if n := chosenInOwnZone(s, now+1); n > 0 || len(s.UnreachableZones(now+1)) != 1 {
		t.Errorf("%d of 30 requests stay in the zone; ejected zones: %v, want that zone", n, s.UnreachableZones(now+1))
	}
	now += 1500
	if chosenInOwnZone(s, now) == 0 {
		t.Error("the zone gets no requests on probation")
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
		t.Error("the zone is still ejected although its servers respond")
	}
}

// TestOnlyZoneIsNeverEjected checks that the only zone with servers stays in use when they fail.
func TestOnlyZoneIsNeverEjected(t *testing.T) {
	s := newSet("z1", "z1", "z1", "z1")
	finishAll(s, 0, NotSent, 300, "a", "b", "c", "a", "b", "c")
	if m, _ := s.Choose(1, Request{Service: "s", RemainingMs: 1e6}); m == nil || len(s.UnreachableZones(1)) != 0 {
		t.Error("the only zone is ejected")
	}
}
