package telemetry

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Usage files of an earlier release are decoded, are encoded to the same bytes, and result in the
// same report.
func TestGoldenRecordings(t *testing.T) {
	for name, wall := range map[string]float64{"a.1.json": 10.5, "b.2.json": 11.5} {
		golden := readGolden(t, name)
		var s Usage
		if err := json.Unmarshal(golden, &s); err != nil {
			t.Fatal(err)
		}
		if s.WallS != wall || s.PeakMB != 20.25 || s.Objects != 210000 {
			t.Errorf("%s is decoded as %+v", name, s)
		}
		if got, err := json.Marshal(s); err != nil || !bytes.Equal(got, golden) {
			t.Errorf("%s is encoded as %s, %v, want %s", name, got, err, golden)
		}
	}
	var report bytes.Buffer
	if err := WriteUsageReport(&report, filepath.Join("testdata", "golden")); err != nil {
		t.Fatal(err)
	}
	if want := readGolden(t, "report.txt"); !bytes.Equal(report.Bytes(), want) {
		t.Errorf("report\n%s, want\n%s", report.Bytes(), want)
	}
}

// Metrics are exposed as in an earlier release: names, labels, bucket bounds, and the series
// that aggregates those beyond the limit.
func TestGoldenExposition(t *testing.T) {
	exposed := expose(t, fillMetrics(2050))
	var got strings.Builder
	for line := range strings.Lines(exposed) {
		unaggregated := strings.HasPrefix(line, "elmspan_many") && !strings.Contains(line, `"other"`)
		if strings.HasPrefix(line, "elmspan_") && !unaggregated {
			got.WriteString(line)
		}
	}
	if want := readGolden(t, "metrics.txt"); got.String() != string(want) {
		t.Errorf("exposed\n%s, want\n%s", got.String(), want)
	}
}
