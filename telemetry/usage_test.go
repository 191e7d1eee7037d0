package telemetry

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// record records an allocation of 1,000 objects of 1 KB, and checks that it is seen and that
// there is one recording at a time.
func record(t *testing.T, dir, name string) {
	t.Helper()
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
	if u := ReadUsage().Since(r.start); u.Objects < 1000 || u.AllocMB < 1 || u.PeakMB < 1 || len(kept) == 0 {
		t.Errorf("of 1,000 objects of 1 KB it says %+v", u)
	}
}

// A recording leaves a profile and what was used; the report has the means of all in the
// folder, and says of how many.
func TestRecordings(t *testing.T) {
	dir := t.TempDir()
	record(t, dir, "a/gateway")
	record(t, dir, "b")
	profiles, err := filepath.Glob(filepath.Join(dir, "[ab]*.pprof"))
	if err != nil || len(profiles) != 2 {
		t.Errorf("profiles %v, %v", profiles, err)
	}
	for _, p := range profiles {
		if info, err := os.Stat(p); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", p, err)
		}
	}
	var report bytes.Buffer
	if err := WriteUsageReport(&report, dir); err != nil || !strings.HasPrefix(report.String(), "a process, of 2,") {
		t.Errorf("%v: %s", err, report.String())
	}
	if err := os.WriteFile(filepath.Join(dir, "z.json"), []byte("{"), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := WriteUsageReport(&report, dir); err == nil || !strings.Contains(err.Error(), "z.json") {
		t.Errorf("of a file that can't be read: %v", err)
	}
}

// A folder without recordings has no report, and one that isn't there takes no recording.
func TestRecordingsThatAreMissing(t *testing.T) {
	dir := t.TempDir()
	if err := WriteUsageReport(&bytes.Buffer{}, dir); err == nil {
		t.Error("a report of nothing")
	}
	if _, err := StartRecording(filepath.Join(dir, "none"), "a"); err == nil {
		t.Error("a profile went into a folder that isn't there")
	}
}
