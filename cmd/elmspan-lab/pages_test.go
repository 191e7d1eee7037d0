package main

import (
	"testing"

	"github.com/alecthomas/kong"

	"example.org/elmspan/internal/pages"
)

// Every command and flag of this program that a page names is there.
func TestPagesNameCommandsThatAreThere(t *testing.T) {
	parser := kong.Must(&commands{}, parserOptions()...)
	mentions, err := pages.Read("../..")
	if err != nil {
		t.Fatal(err)
	}
	uses := pages.Commands(mentions, "elmspan-lab")
	if len(uses) < 15 {
		t.Fatalf("only %d commands were found on the pages", len(uses))
	}
	for _, use := range uses {
		if err := use.Check(parser.Model); err != nil {
			t.Error(err)
		}
	}
	for _, args := range [][]string{{"simulat"}, {"core", "--nowhere"}} {
		if (pages.Command{Args: args}).Check(parser.Model) == nil {
			t.Errorf("%v passes", args)
		}
	}
}
