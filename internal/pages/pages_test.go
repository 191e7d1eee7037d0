package pages

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const root = "../.."

func TestParseFindsSpansAndCodeBlocks(t *testing.T) {
	page := "Run `a b` and `c\nd`.\n\n    e f\n\n```\ng\n```\n"
	var got []string
	for _, m := range Parse("p.md", page) {
		got = append(got, m.String())
	}
	want := []string{"p.md:4: `e f`", "p.md:7: `g`", "p.md:1: `a b`", "p.md:1: `c d`"}
	if !slices.Equal(got, want) {
		t.Errorf("found %q, want %q", got, want)
	}
}

// tree lists the paths and the tests of the repository.
type tree struct {
	paths []string            // of files and directories, slash-separated, relative to the root
	tests map[string][]string // names of tests, fuzz targets and benchmarks by directory
}

var testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w*)\(`)

func readTree(t *testing.T) *tree {
	t.Helper()
	repo := &tree{tests: map[string][]string{}}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.Name() == ".git" || entry.Name() == "journal" && entry.IsDir() {
			return fs.SkipDir
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		name := filepath.ToSlash(relative)
		repo.paths = append(repo.paths, name)
		if !strings.HasSuffix(name, "_test.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range testFunction.FindAllSubmatch(source, -1) {
			dir := filepath.ToSlash(filepath.Dir(relative))
			repo.tests[dir] = append(repo.tests[dir], string(m[1]))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	repo.paths = append(repo.paths, "journal")
	return repo
}

var testName = regexp.MustCompile(`^(?:([\w/-]+)\.)?((?:Test|Fuzz|Benchmark)[A-Z]\w*)(\.\.\.)?$`)

// hasTest reports whether the test that a word names exists, and returns true for a word
// that is not a test name. A package prefix matches the end of a directory path, and a
// trailing "..." matches any test whose name starts with the given one.
func (repo *tree) hasTest(word string) bool {
	m := testName.FindStringSubmatch(word)
	if m == nil {
		return true
	}
	packagePath, name, isPrefix := m[1], m[2], m[3] != ""
	for dir, tests := range repo.tests {
		if packagePath != "" && dir != packagePath && !strings.HasSuffix(dir, "/"+packagePath) {
			continue
		}
		if slices.ContainsFunc(tests, func(test string) bool {
			return test == name || isPrefix && strings.HasPrefix(test, name)
		}) {
			return true
		}
	}
	return false
}

var (
	pathName    = regexp.MustCompile(`^\.?[\w*.-]+(/[\w*.-]+)*/?$`)
	sourceFile  = regexp.MustCompile(`\.(go|md|toml|tsv|sh|mod|yml)$`)
	placeholder = regexp.MustCompile(`\b[A-Z]{2,}\b`)
)

// buildDirs are the output directories of the builds in the deployment files.
var buildDirs = []string{"bin", "target"}

// numberedDirs are the directories under docs whose page names start with a number.
var numberedDirs = []string{"decisions", "incidents"}

// numberedPage matches a page path that is cut off after the page number.
var numberedPage = regexp.MustCompile(`(^|/)(decisions|incidents)/\d{4}$`)

// isPath reports whether a word has the form of a repository path: it is a Go file name,
// or it contains a slash and starts with a top-level entry or a numbered directory or
// has the extension of a source file.
func (repo *tree) isPath(word string) bool {
	if !pathName.MatchString(word) || testName.MatchString(word) || strings.HasPrefix(word, "_") {
		return false // _test.go is a file name suffix
	}
	first, rest, hasSlash := strings.Cut(word, "/")
	if slices.Contains(buildDirs, first) || first == ".." { // ../given is outside the repository
		return false
	}
	if !hasSlash {
		return strings.HasSuffix(word, ".go")
	}
	return slices.Contains(repo.paths, first) || rest != "" && sourceFile.MatchString(word) ||
		slices.Contains(numberedDirs, first)
}

// hasPath reports whether a path exists. A numbered page may be given by its number
// alone, and a word in capitals is a placeholder that matches any name.
func (repo *tree) hasPath(path string) bool {
	pattern := strings.TrimSuffix(path, "/")
	if numberedPage.MatchString(pattern) {
		pattern += "*"
	}
	if !strings.HasSuffix(pattern, ".md") { // page names such as README.md are not placeholders
		pattern = placeholder.ReplaceAllString(pattern, "*")
	}
	return slices.ContainsFunc(repo.paths, func(known string) bool {
		// A path may be relative to any directory: dataplane/quota, quota/share.go, share.go.
		for {
			if ok, err := filepath.Match(pattern, known); ok && err == nil {
				return true
			}
			_, rest, more := strings.Cut(known, "/")
			if !more {
				return false
			}
			known = rest
		}
	})
}

// Every path and every test that a page mentions exists.
func TestPagesNameWhatIsThere(t *testing.T) {
	repo := readTree(t)
	mentions, err := Read(root)
	if err != nil {
		t.Fatal(err)
	}
	if len(mentions) < 1000 {
		t.Fatalf("found only %d mentions on the pages, want at least 1000", len(mentions))
	}
	checked := 0
	for _, m := range mentions {
		for _, word := range m.Fields() {
			word = strings.TrimSuffix(strings.TrimPrefix(strings.Trim(word, ",;:()"), "./"), "/...")
			if !repo.hasTest(word) {
				t.Errorf("%v: test %s does not exist", m, word)
			}
			if repo.isPath(word) {
				checked++
				if !repo.hasPath(word) {
					t.Errorf("%v: path %s does not exist", m, word)
				}
			}
		}
	}
	if checked < 300 {
		t.Errorf("checked only %d paths, want at least 300", checked)
	}
}

// The check reports paths and tests that do not exist, and does not treat other words
// as paths.
func TestWhatIsNotThereIsFound(t *testing.T) {
	repo := readTree(t)
	for _, word := range []string{
		"raft/nowhere.go", "nowhere.go", "docs/nowhere.md", "agreement/node.go", "decisions/0999",
		"docs/days/nowhere/NAME.toml",
	} {
		if !repo.isPath(word) || repo.hasPath(word) {
			t.Errorf("%s: missing path was not reported", word)
		}
	}
	for _, word := range []string{
		"docs/design.md", "pages.go", "decisions/0008", "docs/incidents/0018", "docs/days/mixed/NAME.toml",
		"docs/incidents/",
	} {
		if !repo.isPath(word) || !repo.hasPath(word) {
			t.Errorf("%s: existing path was not recognized", word)
		}
	}
	for _, word := range []string{
		"elmspan.Control/Watch", "data_dir/log", "target/elmspan", "/v1/Status", "node.toml",
	} {
		if repo.isPath(word) {
			t.Errorf("%s: treated as a path", word)
		}
	}
	for word, want := range map[string]bool{
		"TestNowhere":                     false,
		"raft.TestWhatIsNotThereIsFound":  false,
		"pages.TestWhatIsNotThereIsFound": true,
		"internal/pages.TestWhat...":      true,
		"Testing":                         true,
	} {
		if repo.hasTest(word) != want {
			t.Errorf("%s: hasTest returned %v", word, !want)
		}
	}
}
