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

// tree is what the repository holds.
type tree struct {
	paths []string            // of files and folders, from the root on, with slashes
	tests map[string][]string // names of tests, fuzz targets and benchmarks, by folder
}

var testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w*)\(`)

func readTree(t *testing.T) *tree {
	t.Helper()
	all := &tree{tests: map[string][]string{}}
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
		all.paths = append(all.paths, name)
		if !strings.HasSuffix(name, "_test.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range testFunction.FindAllSubmatch(source, -1) {
			folder := filepath.ToSlash(filepath.Dir(relative))
			all.tests[folder] = append(all.tests[folder], string(m[1]))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	all.paths = append(all.paths, "journal")
	return all
}

var testName = regexp.MustCompile(`^(?:([\w/-]+)\.)?((?:Test|Fuzz|Benchmark)[A-Z]\w*)(\.\.\.)?$`)

// hasTest reports whether a word names a test that is there; words that name none count
// as such. A package before the name is the end of its folder's path, and three dots
// after it stand for all tests that begin so.
func (all *tree) hasTest(word string) bool {
	m := testName.FindStringSubmatch(word)
	if m == nil {
		return true
	}
	in, name, begins := m[1], m[2], m[3] != ""
	for folder, tests := range all.tests {
		if in != "" && folder != in && !strings.HasSuffix(folder, "/"+in) {
			continue
		}
		if slices.ContainsFunc(tests, func(test string) bool {
			return test == name || begins && strings.HasPrefix(test, name)
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

// built are the folders that the deploy files' builds write into.
var built = []string{"bin", "target"}

// numbered are folders of docs whose pages are named by their numbers.
var numbered = []string{"decisions", "incidents"}

// pageNumber is a path of a page up to its number.
var pageNumber = regexp.MustCompile(`(^|/)(decisions|incidents)/\d{4}$`)

// isPath reports whether a word is the path of something in the repository: it begins
// with a top-level entry of it, or is that of a source file in a folder.
func (all *tree) isPath(word string) bool {
	if !pathName.MatchString(word) || testName.MatchString(word) || strings.HasPrefix(word, "_") {
		return false // _test.go is the end of a name
	}
	first, rest, folders := strings.Cut(word, "/")
	if slices.Contains(built, first) || first == ".." { // ../given is not the repository's
		return false
	}
	if !folders {
		return strings.HasSuffix(word, ".go")
	}
	return slices.Contains(all.paths, first) || rest != "" && sourceFile.MatchString(word) ||
		slices.Contains(numbered, first)
}

// hasPath reports whether a path exists. Of a page's name its number is enough; capitals
// stand for any name.
func (all *tree) hasPath(path string) bool {
	pattern := strings.TrimSuffix(path, "/")
	if pageNumber.MatchString(pattern) {
		pattern += "*"
	}
	if !strings.HasSuffix(pattern, ".md") { // pages have names in capitals
		pattern = placeholder.ReplaceAllString(pattern, "*")
	}
	return slices.ContainsFunc(all.paths, func(known string) bool {
		// A path may begin at any folder: dataplane/quota, quota/share.go, share.go.
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

// Every path and every test that a page names is there.
func TestPagesNameWhatIsThere(t *testing.T) {
	all := readTree(t)
	mentions, err := Read(root)
	if err != nil {
		t.Fatal(err)
	}
	if len(mentions) < 1000 {
		t.Fatalf("only %d names were found on the pages", len(mentions))
	}
	checked := 0
	for _, m := range mentions {
		for _, word := range m.Fields() {
			word = strings.TrimSuffix(strings.TrimPrefix(strings.Trim(word, ",;:()"), "./"), "/...")
			if !all.hasTest(word) {
				t.Errorf("%v: no test %s", m, word)
			}
			if all.isPath(word) {
				checked++
				if !all.hasPath(word) {
					t.Errorf("%v: no path %s", m, word)
				}
			}
		}
	}
	if checked < 300 {
		t.Errorf("only %d paths were checked", checked)
	}
}

// The check finds what is not there, and takes nothing for a path that is none.
func TestWhatIsNotThereIsFound(t *testing.T) {
	all := readTree(t)
	for _, word := range []string{
		"raft/nowhere.go", "nowhere.go", "docs/nowhere.md", "agreement/node.go", "decisions/0999",
		"docs/days/nowhere/NAME.toml",
	} {
		if !all.isPath(word) || all.hasPath(word) {
			t.Errorf("%s passes", word)
		}
	}
	for _, word := range []string{
		"docs/design.md", "pages.go", "decisions/0008", "docs/incidents/0018", "docs/days/mixed/NAME.toml",
		"docs/incidents/",
	} {
		if !all.isPath(word) || !all.hasPath(word) {
			t.Errorf("%s does not pass", word)
		}
	}
	for _, word := range []string{
		"elmspan.Control/Watch", "data_dir/log", "target/elmspan", "/v1/Status", "node.toml",
	} {
		if all.isPath(word) {
			t.Errorf("%s is taken for a path", word)
		}
	}
	for word, there := range map[string]bool{
		"TestNowhere":                     false,
		"raft.TestWhatIsNotThereIsFound":  false,
		"pages.TestWhatIsNotThereIsFound": true,
		"internal/pages.TestWhat...":      true,
		"Testing":                         true,
	} {
		if all.hasTest(word) != there {
			t.Errorf("%s: found %v", word, !there)
		}
	}
}
