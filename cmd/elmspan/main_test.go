package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Each broken file says what fault it has; that one is named, in one line.
func TestCheckNamesTheFault(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*")
	if err != nil || len(files) < 20 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	said := regexp.MustCompile(`(?:# want: |"_want": ?")([^"\n]*)`)
	for _, path := range files {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		want := said.FindSubmatch(data)
		if want == nil {
			t.Fatalf("%s does not say what is wrong with it", path)
		}
		err = checkFile(path)
		if err == nil || !strings.Contains(err.Error(), string(want[1])) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v; want one line with %q", path, err, want[1])
		}
	}
}

func TestCheckPassesTheSound(t *testing.T) {
	for _, path := range []string{"testdata/sound/node.toml", "testdata/sound/config.json", "../../docs/fleet.toml"} {
		if err := checkFile(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
	if err := (&checkCmd{Files: []string{"testdata/broken/node-ip.toml"}}).Run(); err == nil {
		t.Error("a fault is no error")
	}
}
