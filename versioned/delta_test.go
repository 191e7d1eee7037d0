package versioned

import (
	"errors"
	"testing"
)

// OpenDelta and Next must accept or reject any input without panicking or hanging.
func FuzzOpen(f *testing.F) {
	var table Table
	table.Replace(1, map[string][]byte{"a": value(f, 1)})
	table.Replace(2, map[string][]byte{"b": value(f, make([]int, 1000))})
	for _, from := range []uint64{0, 1} {
		b, err := table.DeltaSince(from)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b.Data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		r, err := OpenDelta(data)
		if err != nil {
			return
		}
		for range 1000 {
			if _, err := r.Next(); err != nil {
				return
			}
		}
	})
}

// A truncated delta is malformed: the end of the data is not mistaken for the end of the rows.
func TestIncompleteDeltaIsMalformed(t *testing.T) {
	var table Table
	table.Replace(1, map[string][]byte{"a": value(t, 1), "b": value(t, 2)})
	d, err := table.DeltaSince(0)
	if err != nil {
		t.Fatal(err)
	}
	for n := range d.Data {
		r, err := OpenDelta(d.Data[:n])
		if err == nil {
			_, err = r.ApplyTo(0, nil)
		}
		if !errors.Is(err, ErrMalformed) {
			t.Errorf("%d of %d bytes: %v", n, len(d.Data), err)
		}
	}
}

// A delta for another version or for other rows is rejected by its version or its checksum.
func TestDeltaThatDoesNotFit(t *testing.T) {
	var table Table
	first := map[string][]byte{"a": value(t, 1)}
	table.Replace(1, first)
	table.Replace(3, map[string][]byte{"a": value(t, 2)})
	d, err := table.DeltaSince(1)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		version uint64
		rows    map[string][]byte
		want    error
	}{
		{"fits", 1, first, nil},
		{"has another base version", 2, first, ErrVersion},
		{"has the receiver's version as its target", 3, first, ErrVersion},
		{"other rows", 1, map[string][]byte{"b": value(t, 1)}, ErrChecksum},
	} {
		r, err := OpenDelta(d.Data)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := r.ApplyTo(c.version, c.rows); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}
