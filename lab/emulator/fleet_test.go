package emulator

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"example.org/elmspan/lab/checker"
	"example.org/elmspan/lab/scenario"
)

// A small fleet of real processes serves a day with a lost process, a changed
// configuration, replaced servers, lost and repeated answers, grey servers, the leader
// lost in a drain and changes that race, and breaks no rule.
func TestFleet(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "elmspan")
	buildGateway(t, program)
	day := readPatientDay(t)
	day.LengthS, day.Keys = 6, true
	day.Faults = []scenario.Fault{
		{Kind: scenario.ChangeConfig, AtS: 0.5},
		{Kind: scenario.ReplaceServers, AtS: 1, Count: 1},
		{Kind: scenario.KillNodes, AtS: 1.5, ForS: 1},
		{Kind: scenario.LoseAnswers, AtS: 2, ForS: 2, Count: 4, Factor: 0.1},
		{Kind: scenario.RepeatAnswers, AtS: 2.5, ForS: 2, Count: 4, Factor: 0.3},
		{Kind: scenario.InvalidConfig, AtS: 3},
		{Kind: scenario.GreyServers, Mode: scenario.GreyErrors, AtS: 3, ForS: 1, Count: 2, Factor: 0.4},
		{Kind: scenario.ForgetConnections, AtS: 3.2, ForS: 1, Count: 3, Factor: 0.1},
		{Kind: scenario.FlapServers, AtS: 3.4, ForS: 1, Count: 1, Factor: 0.3},
		{Kind: scenario.LoseLeaderInDrain, AtS: 3.6, Count: 1},
		{Kind: scenario.RaceChanges, AtS: 4.6, ForS: 0.8},
	}
	f, err := NewFleet(day, []string{program, "gateway"}, filepath.Join(dir, "fleet"), os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	runSoundly(t, f)
}

// runSoundly plays the fleet's day to its end and requires that no rule broke, that half of
// the requests were served and that no change was missed.
func runSoundly(t *testing.T, f *Fleet) *checker.Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Minute)
	defer cancel()
	r, err := f.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Write(os.Stderr); err != nil {
		t.Error(err)
	}
	if !r.Passed() || r.Served() < 0.5 || r.MissedChanges > 0 {
		t.Errorf("passed %v, served %v, missed %d", r.Passed(), r.Served(), r.MissedChanges)
	}
	return r
}
