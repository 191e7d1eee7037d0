package versioned

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"testing"
)

// goldenRows returns the rows of two versions of a table, with one unchanged, one changed, one
// removed and one added row. With enough extra rows the encoded form is compressed.
func goldenRows(t testing.TB, extra int) (first, second map[string][]byte) {
	t.Helper()
	first = map[string][]byte{"stays": value(t, 1), "changes": value(t, "old"), "goes": value(t, []int{1, 2})}
	for i := range extra {
		first[fmt.Sprint("row-", i)] = value(t, fmt.Sprint("value of row ", i))
	}
	second = maps.Clone(first)
	second["changes"] = value(t, "new")
	second["comes"] = value(t, map[string]int{"a": 1})
	delete(second, "goes")
	for i := range extra / 2 {
		second[fmt.Sprint("row-", i)] = value(t, fmt.Sprint("another value of row ", i))
	}
	return first, second
}

// Deltas that were encoded by an earlier revision (f96d826) decode to the same rows, and the
// same table still encodes to the same bytes: complete tables and differences, uncompressed
// and compressed.
func TestGoldenDeltasKeepTheirBytes(t *testing.T) {
	const from, to = 5, 7
	for name, extra := range map[string]int{"small": 0, "compressed": 400} {
		first, second := goldenRows(t, extra)
		for kind, since := range map[string]uint64{"complete": 0, "difference": from} {
			t.Run(name+"-"+kind, func(t *testing.T) {
				data, err := os.ReadFile(filepath.Join("testdata", "golden", name+"-"+kind+".delta"))
				if err != nil {
					t.Fatal(err)
				}
				if compressed := data[0] == 1; compressed != (extra > 0) {
					t.Fatalf("first byte is %d; want 1 only for the compressed deltas", data[0])
				}
				r, err := OpenDelta(data)
				if err != nil {
					t.Fatal(err)
				}
				if r.From != since || r.To != to {
					t.Errorf("from %d to %d, want %d and %d", r.From, r.To, since, to)
				}
				rows, err := r.ApplyTo(from, first)
				if err != nil {
					t.Fatal(err)
				}
				if !maps.EqualFunc(rows, second, bytes.Equal) {
					t.Errorf("rows differ after applying the delta: %d rows, want %d", len(rows), len(second))
				}
				var table Table
				table.Replace(from, first)
				table.Replace(to, rows)
				if b, err := table.DeltaSince(since); err != nil || !bytes.Equal(b.Data, data) {
					t.Errorf("encoded delta differs: %d bytes (%v), want %d", len(b.Data), err, len(data))
				}
			})
		}
	}
}

// Row checksums enter the checksum in the delta header, so they are part of the wire format.
func TestGoldenRowChecksum(t *testing.T) {
	if got, want := RowChecksum("key", []byte("value")), uint64(0x710243b4fb44bb7f); got != want {
		t.Errorf("row checksum is %#x, want %#x", got, want)
	}
}
