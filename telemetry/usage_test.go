package telemetry

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// record makes a recording while 1,000 objects of 1 KB are allocated, and checks that the usage
// includes them and that a second concurrent recording is rejected.
func record(t *testing.T, dir, name string) {
	t.Helper()
	r, err := StartRecording(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := StartRecording(dir, "meanwhile"); err == nil {
		t.Error("a second recording was started concurrently")
	}
	kept := make([][]byte, 1000)
	for i := range kept {
		kept[i] = make([]byte, 1000)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	if u := ReadUsage().Since(r.start); u.Objects < 1000 || u.AllocMB < 1 || u.PeakMB < 1 || len(kept) == 0 {
		t.Errorf("usage %+v after allocating 1,000 objects of 1 KB", u)
	}
}

// A recording writes a profile and a usage file. The report has the means over all usage files
// in the directory and their number.
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
		t.Errorf("error for a malformed usage file: %v", err)
	}
}

// A report on a directory without recordings and a recording into a missing directory both fail.
func TestRecordingsThatAreMissing(t *testing.T) {
	dir := t.TempDir()
	if err := WriteUsageReport(&bytes.Buffer{}, dir); err == nil {
		t.Error("a report was written without any usage files")
	}
	if _, err := StartRecording(filepath.Join(dir, "none"), "a"); err == nil {
		t.Error("a recording was started in a missing directory")
	}
}
