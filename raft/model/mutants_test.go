package model

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// mutant is a guard of the agreement taken out.
type mutant struct {
	guard, file, has, becomes string
	world                     string // in which that is found
	slow                      bool   // that takes minutes
}

// mutants are the guards of docs/invariants.md that keep the log. The worlds have
// no clocks, so that pre-votes and calm, which only keep the peace, are not among them.
// A vote that is on disk before it is given is the host's part; that changes of voters
// follow on each other takes five members to break (raft.TestOneChangeAtATime).
var mutants = []mutant{
	{"one vote a term", "step.go", "(n.hard.Vote == 0 || n.hard.Vote == m.From) && n.leader == 0", "n.leader == 0 || true", "elections", false},
	{"a candidate's log must be up to date", "step.go", "return m.LogTerm > t || m.LogTerm == t && m.Index >= n.last()", "return t >= 0", "values and elections", false},
	{"a majority agrees", "node.go", "return vs[(len(vs)-1)/2]", "return vs[len(vs)-1]", "elections", false},
	{"a leader agrees on entries of its own term", "node.go", "at > n.commit && n.term(at) == n.hard.Term", "at > n.commit", "old terms", true},
	{"rounds are echoed", "node.go", "p.round = max(p.round, min(round, rounds))", "p.round = rounds", "rounds", false},
	{"a snapshot that is whole and wrong is not installed", "snapshot.go", "if xxhash.Sum64(a.snap.Data) != a.sum {", "if false {", "damage", false},
	{"late messages cut nothing off", "step.go", "if n.term(e.Index) != e.Term { // keep", "if true { // keep", "late", false},
	{"entries fit on what is before them", "step.go", "case m.Index > n.last() || n.term(m.Index) != m.LogTerm:", "case m.Index > n.last():", "three elections", false},
	{"one voter at a time, unless by a joint change", "node.go", "joint := added+taken > 1", "joint := false", "swaps of three", true},
	{"a joint change is agreed on by both sets", "node.go", "least = min(least, majority(vs))", "if least == math.MaxUint64 { least = majority(vs) }", "swaps of three", false},
	{"a joint change lets both sets elect", "node.go", "won = won && 2*yes > all", "won = 2*yes > all", "swaps of three", false},
	{"a joint change is left once it is agreed", "node.go", "n.since <= n.commit && n.HasCommittedInTerm()", "n.HasCommittedInTerm()", "swaps of three", true},
}

// Each guard is needed: with any one of them taken out, a walk comes to a state that
// should not be. The real source is compiled with that one line changed.
func TestEveryGuardIsNeeded(t *testing.T) {
	if raced {
		t.Skip("what runs here is a process of its own, and not a raced one")
	}
	for _, m := range mutants {
		t.Run(m.guard, func(t *testing.T) {
			if m.slow && !*slow {
				t.Skip("no -slow")
			}
			t.Parallel()
			file, err := filepath.Abs(filepath.Join("..", m.file))
			if err != nil {
				t.Fatal(err)
			}
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if n := strings.Count(string(source), m.has); n != 1 {
				t.Fatalf("%s has %q %d times", m.file, m.has, n)
			}
			dir := t.TempDir()
			changed, overlay := filepath.Join(dir, m.file), filepath.Join(dir, "overlay.json")
			if err := os.WriteFile(changed, []byte(strings.Replace(string(source), m.has, m.becomes, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			text, err := json.Marshal(map[string]map[string]string{"Replace": {file: changed}})
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(overlay, text, 0o600); err != nil {
				t.Fatal(err)
			}
			run := "TestSmallWorlds/^" + strings.ReplaceAll(m.world, " ", "_") + "$"
			if _, is := deep[m.world]; is {
				run = "TestDeepWorlds"
			}
			out, err := exec.CommandContext(t.Context(), "go", "test", "-overlay", overlay, "-count=1", "-run", run, ".", "-world", m.world).CombinedOutput()
			if err == nil || !strings.Contains(string(out), " events:\n") {
				t.Errorf("not found: %v\n%s", err, out)
			}
		})
	}
}
