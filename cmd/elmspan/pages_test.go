package main

import (
	"testing"

	"example.org/elmspan/internal/pages"
)

// Every command and flag of this program that a page names is there.
func TestPagesNameCommandsThatAreThere(t *testing.T) {
	parser := newParser()
	mentions, err := pages.Read("../..")
	if err != nil {
		t.Fatal(err)
	}
	uses := pages.Commands(mentions, "elmspan")
	if len(uses) < 30 {
		t.Fatalf("only %d commands were found on the pages", len(uses))
	}
	for _, use := range uses {
		if err := use.Check(parser.Model); err != nil {
			t.Error(err)
		}
	}
	for _, args := range [][]string{{"emulat"}, {"config", "past"}, {"gateway", "--nowhere"}} {
		if (pages.Command{Args: args}).Check(parser.Model) == nil {
			t.Errorf("%v passes", args)
		}
	}
}
