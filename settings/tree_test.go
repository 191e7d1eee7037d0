package settings

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// hasNoSource reports whether a folder is passed over: hidden ones, build outputs, records.
func hasNoSource(folder string) bool {
	return strings.HasPrefix(folder, ".") || slices.Contains([]string{"target", "journal", "testdata"}, folder)
}

// The tree at the head of docs/design.md names every folder with Go source, and
// no other.
func TestTreeOfTheDesignIsTrue(t *testing.T) {
	page, err := os.ReadFile("../docs/design.md")
	if err != nil {
		t.Fatal(err)
	}
	head, _, _ := strings.Cut(string(page), "\n## ")
	var named, found []string
	for _, m := range regexp.MustCompile(`(?m)^    ([a-z0-9/-]+) +\S`).FindAllStringSubmatch(head, -1) {
		named = append(named, m[1])
	}
	err = filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && path != ".." && hasNoSource(d.Name()):
			return fs.SkipDir
		case strings.HasSuffix(path, ".go"):
			found = append(found, filepath.ToSlash(filepath.Dir(strings.TrimPrefix(path, "../"))))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(found)
	found = slices.Compact(found)
	slices.Sort(named)
	if !slices.Equal(named, found) {
		t.Errorf("docs/design.md names\n%v\nthere are\n%v", named, found)
	}
}
