package pages

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// maxRenames bounds how often one test may have been renamed.
const maxRenames = 10

var testWord = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)\w*`)

// readRenames returns the present names of renamed tests by the old ones, from the lists
// in docs/renames. A test that was split has several.
func readRenames(t *testing.T) map[string][]string {
	t.Helper()
	lists, err := filepath.Glob(filepath.Join(root, filepath.FromSlash(renames), "*.tsv"))
	if err != nil || len(lists) == 0 {
		t.Fatalf("%d lists of old names, %v", len(lists), err)
	}
	present := map[string][]string{}
	for _, list := range lists {
		data, err := os.ReadFile(list)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(data)) {
			columns := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
			if len(columns) != 3 {
				t.Errorf("%s: %q has %d columns, not 3", list, line, len(columns))
				continue
			}
			if columns[0] == "test" {
				old := testWord.FindString(columns[1])
				present[old] = append(present[old], testWord.FindAllString(columns[2], -1)...)
			}
		}
	}
	return present
}

// survives reports whether a test is there, under its name or the ones that it was given.
func survives(name string, tests map[string]bool, present map[string][]string, depth int) bool {
	if tests[name] {
		return true
	}
	if depth == 0 || len(present[name]) == 0 {
		return false
	}
	for _, next := range present[name] {
		if next == name || !survives(next, tests, present, depth-1) {
			return false
		}
	}
	return true
}

// No test of commit f96d826 was dropped: each is there, or docs/renames leads from its
// name to tests that are.
func TestNoTestWasDropped(t *testing.T) {
	data, err := os.ReadFile("testdata/tests-f96d826.txt")
	if err != nil {
		t.Fatal(err)
	}
	tests, count := map[string]bool{}, 0
	for _, names := range readTree(t).tests {
		for _, name := range names {
			tests[name] = true
			count++
		}
	}
	present, before := readRenames(t), 0
	for line := range strings.Lines(string(data)) {
		folder, name, ok := strings.Cut(strings.TrimSpace(line), "\t")
		if !ok {
			t.Fatalf("%q is no folder and test", line)
		}
		before++
		if !survives(name, tests, present, maxRenames) {
			t.Errorf("%s of %s is not there, and docs/renames does not say what became of it", name, folder)
		}
	}
	if before < 400 || count < before {
		t.Errorf("%d test functions, there were %d", count, before)
	}
}

func TestSurvivesFollowsEveryRename(t *testing.T) {
	tests := map[string]bool{"TestA": true, "TestB": true}
	present := map[string][]string{
		"TestOnce":  {"TestA"},
		"TestTwice": {"TestOnce"},
		"TestSplit": {"TestA", "TestB"},
		"TestHalf":  {"TestA", "TestGone"},
		"TestRound": {"TestRound"},
	}
	for name, want := range map[string]bool{
		"TestA": true, "TestOnce": true, "TestTwice": true, "TestSplit": true,
		"TestHalf": false, "TestRound": false, "TestGone": false,
	} {
		if survives(name, tests, present, maxRenames) != want {
			t.Errorf("%s: %v", name, !want)
		}
	}
}
