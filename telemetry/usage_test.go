package telemetry

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A recording leaves a profile and what was spent; the report is of the means of all in
// the folder, and says of how many. A folder without any is an error, and so is one that
// isn't there.
func TestRecordings(t *testing.T) {
	dir := t.TempDir()
	if err := WriteUsageReport(&bytes.Buffer{}, dir); err == nil {
		t.Error("a report of nothing")
	}
	if _, err := StartRecording(filepath.Join(dir, "none"), "a"); err == nil {
		t.Error("a profile went into a folder that isn't there")
	}
	for _, name := range []string{"a/gateway", "b"} {
		r, err := StartRecording(dir, name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := StartRecording(dir, "meanwhile"); err == nil {
			t.Error("two profiles at the same time")
		}
		kept := make([][]byte, 1000)
		for i := range kept {
			kept[i] = make([]byte, 1000)
		}
		if err := r.Close(); err != nil {
			t.Fatal(err)
		}
		if s := ReadUsage().Since(r.start); s.Objects < 1000 || s.AllocMB < 1 || s.PeakMB < 1 || len(kept) == 0 {
			t.Errorf("of 1,000 objects of 1 KB it says %+v", s)
		}
	}
	profiles, _ := filepath.Glob(filepath.Join(dir, "[ab]*.pprof"))
	for _, p := range profiles {
		if info, err := os.Stat(p); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", p, err)
		}
	}
	var out bytes.Buffer
	if err := WriteUsageReport(&out, dir); err != nil || len(profiles) != 2 || !strings.HasPrefix(out.String(), "a process, of 2,") {
		t.Errorf("%d profiles, %v: %s", len(profiles), err, out.String())
	}
	if err := os.WriteFile(filepath.Join(dir, "z.json"), []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := WriteUsageReport(&out, dir); err == nil || !strings.Contains(err.Error(), "z.json") {
		t.Errorf("of a file that can't be read: %v", err)
	}
}
