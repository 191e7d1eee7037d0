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
		s.Classes[i].AimMs *= 4
		s.Classes[i].DeadlineMs *= 4
	}
	s.Troubles = []scenario.Trouble{{Kind: "config", At: 0.5}, {Kind: "release", At: 1, Count: 1}, {Kind: "kill", At: 1.5, For: 1},
		{Kind: "lost_answers", At: 2, For: 2, Count: 4, X: 0.1}, {Kind: "stutter", At: 2.5, For: 2, Count: 4, X: 0.3}, {Kind: "bad_config", At: 3},
		{Kind: "grey", How: "errors", At: 3, For: 1, Count: 2, X: 0.4}, {Kind: "forget", At: 3.2, For: 1, Count: 3, X: 0.1},
		{Kind: "flap", At: 3.4, For: 1, Count: 1, X: 0.3}, {Kind: "drain_race", At: 3.6, Count: 1}, {Kind: "race", At: 4.6, For: 0.8}}
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
	if !r.Sound() || r.Served() < 0.5 || r.Missed > 0 {
		t.Errorf("sound %v, served %v, missed %d", r.Sound(), r.Served(), r.Missed)
	}
}
