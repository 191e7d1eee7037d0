package balance

import "testing"

// A zone whose servers can't be reached is passed over once a few of them were tried
// in vain, and not for one that is broken; it is tried again, and taken back.
func TestZoneGoesDark(t *testing.T) {
	s := newSet("z1", "z1", "z1", "z1", "z2", "z2", "z2")
	in := func(now float64, zone string) (n int) {
		for range 30 {
			m, _ := s.Choose(now, Request{Service: "s", RemainingMs: 1e6})
			if m != nil && m.Zone == zone {
				n++
			}
		}
		return n
	}
	for range 10 { // one broken server
		s.FinishAttempt(0, s.byID["a"], NotSent, 300)
	}
	if in(1, "z1") == 0 {
		t.Fatal("a zone is dark for one broken server")
	}
	now := 20_000.0
	for range 300 { // what fails is rare
		s.FinishAttempt(now, s.byID["e"], Success, 100)
	}
	for _, id := range []string{"a", "b", "c", "a", "b", "c"} {
		s.FinishAttempt(now, s.byID[id], NotSent, 300)
	}
	if n := in(now+1, "z1"); n > 0 || len(s.UnreachableZones(now+1)) != 1 {
		t.Errorf("%d of 30 requests go to a dark zone; dark: %v", n, s.UnreachableZones(now+1))
	}
	now += 1500
	if in(now, "z1") == 0 {
		t.Error("it is never tried again")
	}
	for _, id := range []string{"b", "c", "a", "b"} {
		s.FinishAttempt(now, s.byID[id], NotSent, 300)
	}
	if n := in(now+1, "z1"); n > 0 {
		t.Errorf("%d of 30 requests go to a zone that failed its trial", n)
	}
	now += 5000
	for range 20 {
		s.FinishAttempt(now, s.byID["b"], Success, 100)
	}
	if len(s.UnreachableZones(now)) != 0 || in(now, "z1") == 0 {
		t.Error("it is not taken back")
	}
}

// Where there is no other zone, the only one is used however it fails.
func TestOnlyZone(t *testing.T) {
	s := newSet("z1", "z1", "z1", "z1")
	for _, id := range []string{"a", "b", "c", "a", "b", "c"} {
		s.FinishAttempt(0, s.byID[id], NotSent, 300)
	}
	if m, _ := s.Choose(1, Request{Service: "s", RemainingMs: 1e6}); m == nil || len(s.UnreachableZones(1)) != 0 {
		t.Error("there is nowhere else to go")
	}
}
