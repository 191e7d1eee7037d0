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

// hasNoSource reports whether the walk skips a folder: hidden folders, build output, the journal and
// test data.
func hasNoSource(folder string) bool {
	return strings.HasPrefix(folder, ".") || slices.Contains([]string{"target", "journal", "testdata"}, folder)
}

// The tree at the head of docs/design.md lists exactly the folders with Go source.
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
		t.Errorf("folders in docs/design.md\n%v\nfolders with Go source\n%v", named, found)
	}
}
