package pages

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// maxRenames bounds the number of successive renames of a test, so that a cycle in the
// lists ends the search.
const maxRenames = 10

var testWord = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)\w*`)

// readRenames maps the old name of each renamed test to its new names, as listed in
// docs/renames. A test that was split has several new names.
func readRenames(t *testing.T) map[string][]string {
	t.Helper()
	lists, err := filepath.Glob(filepath.Join(root, filepath.FromSlash(renamesDir), "*.tsv"))
	if err != nil || len(lists) == 0 {
		t.Fatalf("found %d lists of renamed identifiers, error %v", len(lists), err)
	}
	newNames := map[string][]string{}
	for _, list := range lists {
		data, err := os.ReadFile(list)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(data)) {
			columns := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
			if len(columns) != 3 {
				t.Errorf("%s: %q has %d columns, want 3", list, line, len(columns))
				continue
			}
			if columns[0] == "test" {
				old := testWord.FindString(columns[1])
				newNames[old] = append(newNames[old], testWord.FindAllString(columns[2], -1)...)
			}
		}
	}
	return newNames
}

// testExists reports whether a test exists under its own name, or whether all tests that
// it was renamed to or split into exist. It follows at most depth successive renames.
func testExists(name string, tests map[string]bool, newNames map[string][]string, depth int) bool {
	if tests[name] {
		return true
	}
	if depth == 0 || len(newNames[name]) == 0 {
		return false
	}
	for _, next := range newNames[name] {
		if next == name || !testExists(next, tests, newNames, depth-1) {
			return false
		}
	}
	return true
}

// Every test of commit f96d826 still exists, under its own name or under the names that
// docs/renames gives for it.
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
	newNames, listed := readRenames(t), 0
	for line := range strings.Lines(string(data)) {
		dir, name, ok := strings.Cut(strings.TrimSpace(line), "\t")
		if !ok {
			t.Fatalf("%q: want a directory and a test name, separated by a tab", line)
		}
		listed++
		if !testExists(name, tests, newNames, maxRenames) {
			t.Errorf("test %s of %s does not exist, and docs/renames does not lead to existing tests", name, dir)
		}
	}
	if listed < 400 || count < listed {
		t.Errorf("%d test functions now, %d listed for f96d826 (want at least 400, and no fewer now)", count, listed)
	}
}

func TestTestExistsFollowsEveryRename(t *testing.T) {
	tests := map[string]bool{"TestA": true, "TestB": true}
	newNames := map[string][]string{
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
		if testExists(name, tests, newNames, maxRenames) != want {
			t.Errorf("%s: testExists returned %v", name, !want)
		}
	}
}
