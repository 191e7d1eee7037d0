package versioned

import (
	"bytes"
	"maps"
	"slices"
)

const (
	mostSteps      = 64      // versions whose changes are remembered
	mostChanged    = 8192    // keys in all of them
	mostBlobs      = 16      // encoded differences kept for the newest version ...
	keptBlobs      = 4       // ... and of those before, for who is still fetching one ...
	MaxCachedBytes = 4 << 20 // ... in bytes, of each kind
)

// Table is the newest version of a table with its latest changes. The zero
// value is an empty table of version 0. It is not safe for concurrent use.
type Table struct {
	version uint64
	rows    map[string][]byte
	sum     uint64
	steps   []step         // oldest first
	changed int            // keys in steps
	blobs   []EncodedDelta // of the newest version
	retired []EncodedDelta // the latest last
}

// step is what changed from one version to the next.
type step struct {
	from uint64
	keys []string
}

// Blob is an encoded difference.
type EncodedDelta struct {
	From, To uint64
	Data     []byte
}

// Version is the newest version, 0 if there is none yet.
func (t *Table) Version() uint64 { return t.version }

// Len is the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// Rows returns the rows. They are not to be changed.
func (t *Table) Rows() map[string][]byte { return t.rows }

// Delta is how the rows of one version differ from those of the one before.
type RowDiff struct {
	keys []string
	sum  uint64 // the exclusive or of the marks that come and go
}

// Compare returns how rows differ from those before. It touches no table, so it may
// run beside one that is in use.
func DiffRows(before, rows map[string][]byte) (d RowDiff) {
	left := len(before) // rows of before that are not found in rows
	for k, v := range rows {
		old, had := before[k]
		if had {
			left--
		}
		if had && bytes.Equal(old, v) {
			continue
		}
		if had {
			d.sum ^= RowChecksum(k, old)
		}
		d.sum ^= RowChecksum(k, v)
		d.keys = append(d.keys, k)
	}
	if left == 0 {
		return d
	}
	for k, v := range before {
		if _, is := rows[k]; !is {
			d.sum ^= RowChecksum(k, v)
			d.keys = append(d.keys, k)
		}
	}
	return d
}

// Replace takes in the rows of a newer version; older and equal ones are passed
// over. The rows are the table's from then on.
func (t *Table) Replace(version uint64, rows map[string][]byte) {
	if version > t.version {
		t.ReplaceWithDiff(version, rows, DiffRows(t.rows, rows))
	}
}

// Apply is Replace with rows that were compared to [Table.Rows] before.
func (t *Table) ReplaceWithDiff(version uint64, rows map[string][]byte, d RowDiff) {
	if version <= t.version {
		return
	}
	t.sum ^= d.sum
	if t.version != 0 {
		t.steps = append(t.steps, step{t.version, d.keys})
		t.changed += len(d.keys)
	}
	for len(t.steps) > mostSteps || len(t.steps) > 0 && t.changed > mostChanged {
		t.changed -= len(t.steps[0].keys)
		t.steps = slices.Delete(t.steps, 0, 1)
	}
	t.version, t.rows = version, rows
	t.retired = append(t.retired, t.blobs...)
	if k := len(t.retired) - keptBlobs; k > 0 {
		t.retired = slices.Delete(t.retired, 0, k)
	}
	for size(t.retired) > MaxCachedBytes {
		t.retired = slices.Delete(t.retired, 0, 1)
	}
	t.blobs = nil
}

func size(blobs []EncodedDelta) (n int) {
	for _, b := range blobs {
		n += len(b.Data)
	}
	return n
}

// Since returns the difference from a version to the newest one, encoded. Where
// the changes since then are not known any more, or from is 0, it is the whole.
func (t *Table) DeltaSince(from uint64) (EncodedDelta, error) {
	i := slices.IndexFunc(t.steps, func(s step) bool { return s.from == from })
	if i < 0 || from == 0 {
		from, i = 0, len(t.steps)
	}
	if k := slices.IndexFunc(t.blobs, func(b EncodedDelta) bool { return b.From == from }); k >= 0 {
		return t.blobs[k], nil
	}
	keys := map[string]bool{}
	if from == 0 {
		for k := range t.rows {
			keys[k] = true
		}
	}
	for _, s := range t.steps[i:] {
		for _, k := range s.keys {
			keys[k] = true
		}
	}
	data, err := encode(DeltaHeader{From: from, To: t.version, Checksum: t.sum, RowCount: len(keys)}, func(yield func(Row) bool) {
		for _, k := range slices.Sorted(maps.Keys(keys)) { // so that rows alike stand together
			if !yield(Row{k, t.rows[k]}) {
				return
			}
		}
	})
	if err != nil {
		return EncodedDelta{}, err
	}
	b := EncodedDelta{from, t.version, data}
	if t.blobs = append(t.blobs, b); len(t.blobs) > mostBlobs || size(t.blobs) > MaxCachedBytes && len(t.blobs) > 1 {
		t.blobs = slices.Delete(t.blobs, 0, 1)
	}
	return b, nil
}

// Blob returns a difference that [Table.Since] gave out a short time ago.
func (t *Table) CachedDelta(from, to uint64) (EncodedDelta, bool) {
	for _, bs := range [][]EncodedDelta{t.blobs, t.retired} {
		for _, b := range bs {
			if b.From == from && b.To == to {
				return b, true
			}
		}
	}
	return EncodedDelta{}, false
}

// Held is how many bytes of encoded differences are kept.
func (t *Table) CachedBytes() int { return size(t.blobs) + size(t.retired) }
