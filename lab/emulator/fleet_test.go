package emulator

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"example.org/elmspan/lab/scenario"
)

// A small fleet of real processes serves a day with a lost process, a changed
// configuration, replaced servers, lost answers and stutters, servers that are ill,
// the leader lost in a drain and changes that race, and breaks no rule.
func TestFleet(t *testing.T) {
	dir := t.TempDir()
	bin := filepath.Join(dir, "elmspan")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/elmspan").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	s, err := scenario.Read("../../docs/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	s.LengthS, s.Keys = 6, true
	for i := range s.Classes { // clients wait as long as a busy machine needs
		s.Classes[i].TargetMs *= 4
		s.Classes[i].DeadlineMs *= 4
	}
	s.Faults = []scenario.Fault{{Kind: "config", AtS: 0.5}, {Kind: "release", AtS: 1, Count: 1}, {Kind: "kill", AtS: 1.5, ForS: 1},
		{Kind: "lost_answers", AtS: 2, ForS: 2, Count: 4, Factor: 0.1}, {Kind: "stutter", AtS: 2.5, ForS: 2, Count: 4, Factor: 0.3}, {Kind: "bad_config", AtS: 3},
		{Kind: "grey", Mode: "errors", AtS: 3, ForS: 1, Count: 2, Factor: 0.4}, {Kind: "forget", AtS: 3.2, ForS: 1, Count: 3, Factor: 0.1},
		{Kind: "flap", AtS: 3.4, ForS: 1, Count: 1, Factor: 0.3}, {Kind: "drain_race", AtS: 3.6, Count: 1}, {Kind: "race", AtS: 4.6, ForS: 0.8}}
	f, err := NewFleet(s, []string{bin, "gateway"}, filepath.Join(dir, "fleet"), os.Stderr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Minute)
	defer cancel()
	r, err := f.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	r.Write(os.Stderr)
	if !r.Passed() || r.Served() < 0.5 || r.MissedChanges > 0 {
		t.Errorf("sound %v, served %v, missed %d", r.Passed(), r.Served(), r.MissedChanges)
	}
}
