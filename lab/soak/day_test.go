package soak

import (
	"reflect"
	"testing"

	"example.org/elmspan/lab/scenario"
)

var shape = Shape{Machines: 9, LengthS: 20}

// A seed is a day: what it found can be played again. Another seed is another day.
func TestDayIsDrawnByItsSeed(t *testing.T) {
	if !reflect.DeepEqual(Day(7, shape), Day(7, shape)) {
		t.Error("seed 7 gives two days")
	}
	if reflect.DeepEqual(Day(7, shape).Faults, Day(8, shape).Faults) {
		t.Error("seeds 7 and 8 give one day")
	}
}

// Every day can be emulated and has what a soak is for: machines that restart, reload and get new configurations in
// series, servers that are slow, tenants that ask for more than their limits, which change, and clients that leave.
// Over the seeds everything that the emulator can play strikes.
func TestDaysHaveEverything(t *testing.T) {
	always := []scenario.FaultKind{
		scenario.LeavingClients, scenario.RestartNodes, scenario.ReloadNodes, scenario.SlowServers,
		scenario.ChangeQuota, scenario.HotTenant,
	}
	seen := map[scenario.FaultKind]bool{}
	for seed := range uint64(200) {
		day := Day(seed, shape)
		if err := day.Validate(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		here := map[scenario.FaultKind]bool{}
		for _, f := range day.Faults {
			here[f.Kind], seen[f.Kind] = true, true
			if !f.Emulated() {
				t.Errorf("seed %d: %s can't be emulated", seed, f.Kind)
			}
		}
		for _, kind := range always {
			if !here[kind] {
				t.Errorf("seed %d: no %s", seed, kind)
			}
		}
	}
	for _, kind := range scenario.FaultKinds() {
		if wanted := (&scenario.Fault{Kind: kind}).Emulated(); seen[kind] != wanted {
			t.Errorf("%s strikes: %v, want %v", kind, seen[kind], wanted)
		}
	}
}

// Series overlap on most days: while one goes on, another begins.
func TestSeriesOverlap(t *testing.T) {
	overlapping := 0
	const seeds = 200
	for seed := range uint64(seeds) {
		var last float64
		overlaps := false
		for _, f := range Day(seed, shape).Faults[1:] { // the first lasts all day
			overlaps = overlaps || f.AtS < last
			last = max(last, f.AtS+f.ForS)
		}
		if overlaps {
			overlapping++
		}
	}
	if overlapping < seeds*9/10 {
		t.Errorf("on %d of %d days faults overlap", overlapping, seeds)
	}
}

// On most days some tenants ask for more than their limits all day: only then is the rule on quotas near its bound.
func TestTenantsExceedTheirLimits(t *testing.T) {
	const seeds = 200
	days := 0
	for seed := range uint64(seeds) {
		beyond := 0
		for _, tenant := range Day(seed, shape).Tenants {
			if tenant.QuotaFactor < 0.8 {
				beyond++
			}
		}
		if beyond >= 2 {
			days++
		}
	}
	if days < seeds*8/10 {
		t.Errorf("on %d of %d days two tenants ask for more than their limits", days, seeds)
	}
}

// On many days clients keep more requests unanswered than a limiter forwards at once while machines restart: only then
// does a drain have to end the reading of a connection.
func TestPipeliningClientsMeetRestarts(t *testing.T) {
	const (
		seeds           = 200
		forwardedAtOnce = 8 // requests of one connection
	)
	days := 0
	for seed := range uint64(seeds) {
		var clients scenario.Fault
		met := false
		for _, f := range Day(seed, shape).Faults {
			switch {
			case f.Kind == scenario.PipeliningClients && f.Factor > forwardedAtOnce:
				clients = f
			case f.Kind == scenario.RestartNodes && f.AtS < clients.AtS+clients.ForS:
				met = true
			}
		}
		if met {
			days++
		}
	}
	if days < seeds/3 {
		t.Errorf("on %d of %d days clients with many unanswered requests meet restarts", days, seeds)
	}
}
