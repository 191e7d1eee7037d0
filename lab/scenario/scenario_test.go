package scenario

import "testing"

func readFleet(t *testing.T) *Day {
	t.Helper()
	day, err := Read("../../docs/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	return day
}

func TestValidateFindsEachFault(t *testing.T) {
	for name, spoil := range map[string]func(*Day){
		"no zones":        func(d *Day) { d.Zones = nil },
		"unknown service": func(d *Day) { d.Classes[0].Service = "x" },
		"unknown fault":   func(d *Day) { d.Faults[0].Kind = "x" },
		"fault too late":  func(d *Day) { d.Faults[0].AtS = 1e6 },
		"unknown tenant":  func(d *Day) { d.Faults[0].Tenant = "x" },
		"nobody asks":     func(d *Day) { d.Tenants = nil },
	} {
		day := readFleet(t)
		spoil(day)
		if day.Validate() == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// What stands for many is divided: servers, requests and shares stay the same in all.
func TestCopiesDivide(t *testing.T) {
	d := Day{
		Services: []Service{{Name: "s", Servers: 10, Slots: 1, Copies: 3}, {Name: "o", Servers: 4, Slots: 1}},
		Classes:  []Class{{Name: "c", Service: "s", PerS: 30}, {Name: "p", Service: "o", PerS: 5}},
		Tenants:  []Tenant{{Name: "t", Share: 8, Copies: 4}, {Name: "u", Share: 1}},
	}
	perS, shares := d.PerS(), d.Shares()
	if err := d.expandCopies(); err != nil {
		t.Fatal(err)
	}
	servers := 0
	for _, s := range d.Services {
		servers += s.Servers
	}
	if servers != 14 || len(d.Services) != 4 || len(d.Classes) != 4 || len(d.Tenants) != 5 {
		t.Errorf("%d servers: %+v", servers, d)
	}
	if d.PerS() != perS || d.Shares() != shares {
		t.Errorf("%v requests a second and %v shares, had %v and %v", d.PerS(), d.Shares(), perS, shares)
	}
	if d.Classes[0].Service != "s-1" || d.Classes[3].Name != "p" || d.Tenant("t-4") == nil {
		t.Errorf("names: %+v %+v", d.Classes, d.Tenants)
	}
	for _, bad := range []Day{
		{Services: []Service{{Name: "s", Servers: 1, Copies: 2}}},
		{Tenants: []Tenant{{Copies: -1}}},
	} {
		if bad.expandCopies() == nil {
			t.Errorf("taken: %+v", bad)
		}
	}
}
