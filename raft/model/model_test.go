package model

import (
	"errors"
	"flag"
	"testing"

	"example.org/elmspan/lab/modelcheck"
)

// small are worlds that can be walked through in seconds. docs/model.md names larger ones.
var small = map[string]Bounds{
	"values":               {Members: 3, Elections: 1, Values: 1, Beats: 1, InFlight: 1},
	"elections":            {Members: 3, Elections: 2, InFlight: 1},
	"crashes":              {Members: 3, Elections: 2, Candidates: 2, Crashes: 1, InFlight: 1},
	"changes":              {Members: 2, Elections: 2, Candidates: 2, Changes: 1, InFlight: 1},
	"swaps":                {Members: 2, Elections: 2, Candidates: 2, Swaps: 1, InFlight: 1},
	"values and elections": {Members: 3, Elections: 2, Candidates: 2, Values: 1, InFlight: 1},
	"late":                 {Members: 2, Elections: 1, Values: 1, Beats: 1, Doubled: 1, InFlight: 2},
	"snapshots":            {Members: 2, Elections: 2, Values: 1, Snapshots: 1, Crashes: 1, InFlight: 1},
	"pieces":               {Members: 3, Elections: 1, Beats: 2, Snapshots: 1, Pieces: 2, InFlight: 1},
	"tails":                {Members: 3, Elections: 1, Values: 1, Beats: 1, Snapshots: 1, Tail: 1, InFlight: 1},
	"damage":               {Members: 3, Elections: 1, Beats: 2, Snapshots: 1, Pieces: 2, Damaged: 1, InFlight: 1},
}

// deep are worlds in which some guards are needed, too large to be walked through each
// time: go test ./raft/model -run TestDeepWorlds -world NAME -timeout 0.
var deep = map[string]Bounds{
	"three elections": {Members: 3, Elections: 3, Candidates: 2, InFlight: 1},
	"leaps":           {Members: 3, Elections: 2, Candidates: 2, Changes: 1, Beats: 1, InFlight: 1},
	"old terms":       {Members: 3, Elections: 4, Candidates: 2, Beats: 1, Entries: 1, InFlight: 1},
	"doubled pieces":  {Members: 3, Elections: 1, Beats: 2, Snapshots: 1, Pieces: 2, Doubled: 1, InFlight: 1},
	"two snapshots":   {Members: 3, Elections: 1, Values: 1, Beats: 1, Snapshots: 2, Pieces: 2, Doubled: 1, InFlight: 1},
	"swaps of three":  {Members: 3, Elections: 1, Candidates: 2, Swaps: 1, Led: true, InFlight: 1},
	"swaps at large":  {Members: 3, Elections: 2, Candidates: 2, Swaps: 1, InFlight: 1},
	"rounds":          {Members: 3, Elections: 2, Candidates: 2, Beats: 2, InFlight: 2},
}

var (
	slow        = flag.Bool("slow", false, "also the guards that take minutes to be missed")
	walkedWorld = flag.String("world", "", "the deep world to be walked through")
)

// Everything that can happen in these worlds leaves one leader a term, one history
// of the log, and leaders that know all that was agreed before they confirmed that
// they lead.
func TestSmallWorlds(t *testing.T) {
	for name, b := range small {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := modelcheck.Walk(t.Context(), New(b), 0, 2)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(b, ":", r)
			if r.States < 1000 {
				t.Errorf("%v are too few to say anything", r)
			}
		})
	}
}

func TestDeepWorlds(t *testing.T) {
	b, is := deep[*walkedWorld]
	if !is {
		t.Skip("no -world")
	}
	r, err := modelcheck.Walk(t.Context(), New(b), 0, 4)
	t.Log(b, ":", r)
	if err != nil {
		t.Fatal(err)
	}
}

// A walk finds what is wrong, and how the world came to it.
func TestWalksEnd(t *testing.T) {
	if _, err := modelcheck.Walk(t.Context(), New(small["elections"]), 100, 1); !errors.Is(err, modelcheck.ErrBound) {
		t.Errorf("with a bound of 100: %v", err)
	}
}
