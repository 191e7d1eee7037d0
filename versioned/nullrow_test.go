package versioned

import "testing"

// A row whose value is CBOR's null is a row: a receiver that took it for a tombstone could never
// reach the table's checksum.
func TestNullValueIsNoTombstone(t *testing.T) {
	null := []byte{0xf6}
	var table Table
	table.Replace(1, map[string][]byte{"l": null, "a": {0x01}})
	table.Replace(2, map[string][]byte{"l": null, "b": {0x02}})
	for _, from := range []uint64{0, 1} {
		d, err := table.DeltaSince(from)
		if err != nil {
			t.Fatal(err)
		}
		r, err := OpenDelta(d.Data)
		if err != nil {
			t.Fatal(err)
		}
		rows, err := r.ApplyTo(from, map[string][]byte{"l": null, "a": {0x01}})
		if err != nil || len(rows) != 2 || string(rows["l"]) != string(null) {
			t.Errorf("from %d: %q, %v", from, rows, err)
		}
	}
}
