package telemetry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// What an earlier release wrote of a process is read, written again to the same bytes, and
// reported in the same words.
func TestGoldenRecordings(t *testing.T) {
	for name, wall := range map[string]float64{"a.1.json": 10.5, "b.2.json": 11.5} {
		golden := readGolden(t, name)
		var s Usage
		if err := json.Unmarshal(golden, &s); err != nil {
			t.Fatal(err)
		}
		if s.WallS != wall || s.PeakMB != 20.25 || s.Objects != 210000 {
			t.Errorf("%s is read as %+v", name, s)
		}
		if got, err := json.Marshal(s); err != nil || !bytes.Equal(got, golden) {
			t.Errorf("%s is written as %s, %v, want %s", name, got, err, golden)
		}
	}
	var report bytes.Buffer
	if err := WriteUsageReport(&report, filepath.Join("testdata", "golden")); err != nil {
		t.Fatal(err)
	}
	if want := readGolden(t, "report.txt"); !bytes.Equal(report.Bytes(), want) {
		t.Errorf("%s, want %s", report.Bytes(), want)
	}
}

// Metrics are exposed as by an earlier release: names, labels, bounds, and the series that
// takes what is beyond the limit of series.
func TestGoldenExposition(t *testing.T) {
	m := New()
	m.Count("elmspan_requests_total", 2, Label{"route", `a"b`}, Label{"code", "200"})
	m.Observe("elmspan_request_duration_seconds", 120*time.Millisecond, Label{"route", "r"})
	m.Gauge("elmspan_peers", func() float64 { return 7 })
	for i := range 2050 {
		m.Count("elmspan_many", 1, Label{"route", fmt.Sprint(i)})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- m.Serve(t.Context(), l) }()
	t.Cleanup(func() { // the test's context has ended
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	resp, err := http.Get("http://" + l.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	exposed, err := io.ReadAll(resp.Body)
	if err = errors.Join(err, resp.Body.Close()); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for line := range strings.Lines(string(exposed)) {
		if strings.HasPrefix(line, "elmspan_") && (!strings.HasPrefix(line, "elmspan_many") || strings.Contains(line, `"other"`)) {
			got.WriteString(line)
		}
	}
	if want := readGolden(t, "metrics.txt"); got.String() != string(want) {
		t.Errorf("exposed\n%s, want\n%s", got.String(), want)
	}
}
