package model

import (
	"errors"
	"flag"
	"testing"

	"example.org/elmspan/lab/modelcheck"
)

// minStates is the minimum number of states of an exploration whose result is meaningful.
const minStates = 1000

// smallWorlds are bounds, by name, within which the model is explored in seconds. docs/model.md lists
// larger ones.
var smallWorlds = map[string]Bounds{
	"values":    {Members: 3, Elections: 1, Values: 1, Heartbeats: 1, InFlight: 1},
	"elections": {Members: 3, Elections: 2, InFlight: 1},
	"crashes":   {Members: 3, Elections: 2, Candidates: 2, Crashes: 1, InFlight: 1},
	"changes":   {Members: 2, Elections: 2, Candidates: 2, Changes: 1, InFlight: 1},
	"swaps":     {Members: 2, Elections: 2, Candidates: 2, Swaps: 1, InFlight: 1},

	"values and elections": {Members: 3, Elections: 2, Candidates: 2, Values: 1, InFlight: 1},

	"late":      {Members: 2, Elections: 1, Values: 1, Heartbeats: 1, Duplicates: 1, InFlight: 2},
	"snapshots": {Members: 2, Elections: 2, Values: 1, Snapshots: 1, Crashes: 1, InFlight: 1},
	"chunks":    {Members: 3, Elections: 1, Heartbeats: 2, Snapshots: 1, Chunks: 2, InFlight: 1},
	"trailing":  {Members: 3, Elections: 1, Values: 1, Heartbeats: 1, Snapshots: 1, TrailingEntries: 1, InFlight: 1},
	"damage":    {Members: 3, Elections: 1, Heartbeats: 2, Snapshots: 1, Chunks: 2, CorruptedChunks: 1, InFlight: 1},
}

// deepWorlds are bounds, by name, that are needed to find the violations of some mutants. They are too
// large to be explored in each test run. To explore one:
//
//	go test ./raft/model -run TestInvariantsHoldInDeepWorld -world NAME -timeout 0
var deepWorlds = map[string]Bounds{
	"three elections":   {Members: 3, Elections: 3, Candidates: 2, InFlight: 1},
	"leaps":             {Members: 3, Elections: 2, Candidates: 2, Changes: 1, Heartbeats: 1, InFlight: 1},
	"old terms":         {Members: 3, Elections: 4, Candidates: 2, Heartbeats: 1, MaxEntries: 1, InFlight: 1},
	"duplicated chunks": {Members: 3, Elections: 1, Heartbeats: 2, Snapshots: 1, Chunks: 2, Duplicates: 1, InFlight: 1},
	"two snapshots": {Members: 3, Elections: 1, Values: 1, Heartbeats: 1, Snapshots: 2, Chunks: 2, Duplicates: 1,
		InFlight: 1},
	"swaps of three": {Members: 3, Elections: 1, Candidates: 2, Swaps: 1, LeaderAtStart: true, InFlight: 1},
	"swaps at large": {Members: 3, Elections: 2, Candidates: 2, Swaps: 1, InFlight: 1},
	"rounds":         {Members: 3, Elections: 2, Candidates: 2, Heartbeats: 2, InFlight: 2},
}

var (
	slow      = flag.Bool("slow", false, "also test the mutants whose violation takes minutes to find")
	deepWorld = flag.String("world", "", "name of the deep world to explore")
)

// In every reachable state of the small worlds the invariants hold: a term has one leader, the members
// apply the same entries, and a leader that confirms a read index has every entry committed before the
// request.
func TestInvariantsHoldInSmallWorlds(t *testing.T) {
	for name, bounds := range smallWorlds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report, err := modelcheck.Explore(t.Context(), New(bounds), 0, 2)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(bounds, ":", report)
			if report.States < minStates {
				t.Errorf("%v are too few for a meaningful result", report)
			}
		})
	}
}

func TestInvariantsHoldInDeepWorld(t *testing.T) {
	bounds, found := deepWorlds[*deepWorld]
	if !found {
		t.Skip("no -world")
	}
	report, err := modelcheck.Explore(t.Context(), New(bounds), 0, 4)
	t.Log(bounds, ":", report)
	if err != nil {
		t.Fatal(err)
	}
}

func TestExplorationStopsAtStateLimit(t *testing.T) {
	_, err := modelcheck.Explore(t.Context(), New(smallWorlds["elections"]), 100, 1)
	if !errors.Is(err, modelcheck.ErrBound) {
		t.Errorf("with a limit of 100 states: got error %v, want ErrBound", err)
	}
}
