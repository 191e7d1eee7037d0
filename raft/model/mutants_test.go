package model

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// mutant is the source of package raft with one guard, a check that safety depends on, removed.
type mutant struct {
	guard, file       string
	original, mutated string // source text, and its replacement
	world             string // the bounds within which a violation is found
	slow              bool   // finding the violation takes minutes
}

// mutants remove the guards of docs/invariants.md that keep the log safe. The model has no clocks, so
// pre-vote and check quorum, which only prevent disruption, are not among them. Storing a vote
// before it is sent is the responsibility of the host. Without the check that no other membership
// change is pending, an invariant is violated only with five members, more than any world has;
// raft.TestSecondMembershipChangeIsRefused covers that check instead.
var mutants = []mutant{
	{
		guard:    "one vote a term",
		file:     "election.go",
		original: "(n.hardState.Vote == 0 || n.hardState.Vote == m.From) && n.leader == 0",
		mutated:  "(n.leader == 0 || true)",
		world:    "elections",
	},
	{
		guard:    "a candidate's log must be up to date",
		file:     "log.go",
		original: "return term > lastTerm || term == lastTerm && index >= l.lastIndex()",
		mutated:  "return lastTerm >= 0",
		world:    "values and elections",
	},
	{
		guard:    "a majority commits",
		file:     "quorum.go",
		original: "return values[(len(values)-1)/2]",
		mutated:  "return values[len(values)-1]",
		world:    "elections",
	},
	{
		guard:    "a leader commits entries of its own term",
		file:     "replication.go",
		original: "index > n.log.committed && n.log.term(index) == n.hardState.Term",
		mutated:  "index > n.log.committed",
		world:    "old terms",
		slow:     true,
	},
	{
		guard:    "heartbeat rounds are copied into replies",
		file:     "progress.go",
		original: "p.acknowledgedRound = max(p.acknowledgedRound, min(round, latest))",
		mutated:  "p.acknowledgedRound = latest",
		world:    "rounds",
	},
	{
		guard:    "a complete snapshot with a wrong checksum is not installed",
		file:     "snapshot_receive.go",
		original: "if xxhash.Sum64(a.snapshot.Data) != a.checksum {",
		mutated:  "if false {",
		world:    "damage",
	},
	{
		guard:    "late messages cut off no entries",
		file:     "replication.go",
		original: "if n.log.term(e.Index) == e.Term {\n\t\t\tcontinue\n\t\t}\n\t\tif e.Index <= n.log.committed {",
		mutated:  "if n.log.term(e.Index) != e.Term && e.Index <= n.log.committed {",
		world:    "late",
	},
	{
		guard:    "entries match the entry before them",
		file:     "replication.go",
		original: "case m.Index > n.log.lastIndex() || n.log.term(m.Index) != m.LogTerm:",
		mutated:  "case m.Index > n.log.lastIndex():",
		world:    "three elections",
	},
	{
		guard:    "one voter at a time, unless by a joint change",
		file:     "membership.go",
		original: "joint := change.added+change.removed > 1",
		mutated:  "joint := false",
		world:    "swaps of three",
		slow:     true,
	},
	{
		guard:    "both sets commit a joint change",
		file:     "quorum.go",
		original: "lowest = min(lowest, majorityValue(values))",
		mutated:  "if lowest == math.MaxUint64 { lowest = majorityValue(values) }",
		world:    "swaps of three",
	},
	{
		guard:    "both sets elect during a joint change",
		file:     "election.go",
		original: "won = won && 2*granted > len(set)",
		mutated:  "won = 2*granted > len(set)",
		world:    "swaps of three",
	},
	{
		guard:    "a joint change is left once it is committed",
		file:     "membership.go",
		original: "n.membersIndex <= n.log.committed && n.HasCommittedInTerm()",
		mutated:  "n.HasCommittedInTerm()",
		world:    "swaps of three",
		slow:     true,
	},
}

// With any one guard removed, the model checker finds a violation: each guard is needed, and the model
// is able to detect its absence. Each mutant is compiled from the real source with that text replaced.
func TestEveryGuardIsNeeded(t *testing.T) {
	if raceEnabled {
		t.Skip("the exploration runs in a separate process, which the race detector does not cover")
	}
	for _, m := range mutants {
		t.Run(m.guard, func(t *testing.T) {
			if m.slow && !*slow {
				t.Skip("no -slow")
			}
			t.Parallel()
			overlay := m.overlay(t)
			run := "TestInvariantsHoldInSmallWorlds/^" + strings.ReplaceAll(m.world, " ", "_") + "$"
			if _, isDeep := deepWorlds[m.world]; isDeep {
				run = "TestInvariantsHoldInDeepWorld"
			}
			command := exec.CommandContext(t.Context(), "go", "test", "-overlay", overlay, "-count=1", "-run", run, ".",
				"-world", m.world)
			output, err := command.CombinedOutput()
			if err == nil || !strings.Contains(string(output), violationMarker) {
				t.Errorf("no violation found: %v\n%s", err, output)
			}
		})
	}
}

// violationMarker occurs in the report of a violation, but not in the output of a failed compilation.
const violationMarker = " events:\n"

// overlay writes the mutated source, and returns the name of an overlay file that makes the go command
// compile it in place of the original.
func (m *mutant) overlay(t *testing.T) string {
	t.Helper()
	file, err := filepath.Abs(filepath.Join("..", m.file))
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(source), m.original); n != 1 {
		t.Fatalf("%s contains %q %d times, want once", m.file, m.original, n)
	}
	dir := t.TempDir()
	mutated, overlay := filepath.Join(dir, m.file), filepath.Join(dir, "overlay.json")
	text := strings.Replace(string(source), m.original, m.mutated, 1)
	if err := os.WriteFile(mutated, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	replace, err := json.Marshal(map[string]map[string]string{"Replace": {file: mutated}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(overlay, replace, 0o600); err != nil {
		t.Fatal(err)
	}
	return overlay
}
