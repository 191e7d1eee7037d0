package scenario

import "testing"

func TestFaults(t *testing.T) {
	s, err := Read("../docs/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Day){
		"no zones":         func(s *Day) { s.Zones = nil },
		"unknown service":  func(s *Day) { s.Classes[0].Service = "x" },
		"unknown trouble":  func(s *Day) { s.Troubles[0].Kind = "x" },
		"trouble too late": func(s *Day) { s.Troubles[0].At = 1e6 },
		"nobody asks":      func(s *Day) { s.Tenants = nil },
	} {
		s, err = Read("../docs/fleet.toml")
		if err != nil {
			t.Fatal(err)
		}
		spoil(s)
		if s.Check() == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
