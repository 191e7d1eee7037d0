package versioned

import (
	"maps"
	"slices"
)

// Bounds of a table. More history lets receivers that are further behind get a delta in place
// of the complete table, for memory at the server.
const (
	maxHistory       = 64   // versions whose changes are remembered
	maxHistoryKeys   = 8192 // keys in all of them
	maxCurrentDeltas = 16   // encoded deltas that lead to the newest version
	maxRetiredDeltas = 4    // encoded deltas that lead to earlier versions
)

// MaxCachedBytes bounds the encoded deltas that lead to the newest version, and those that
// lead to earlier ones, in bytes each. One delta is kept whatever its size.
const MaxCachedBytes = 4 << 20

// Table is the newest version of a table with its recent changes. The zero value is an
// empty table of version 0. It is not safe for concurrent use.
type Table struct {
	version     uint64
	rows        map[string][]byte
	checksum    uint64         // the exclusive or of the rows' checksums
	history     []changeSet    // oldest first
	historyKeys int            // keys in history
	current     []EncodedDelta // that lead to version
	retired     []EncodedDelta // that lead to earlier versions, the latest last: receivers may still be fetching them
}

// changeSet has the keys that changed from one version to the next.
type changeSet struct {
	from uint64
	keys []string
}

// EncodedDelta is a delta as it is sent.
type EncodedDelta struct {
	From, To uint64 // as in the [DeltaHeader]
	Data     []byte // must not be changed
}

// Version is the newest version. 0: there is none yet.
func (t *Table) Version() uint64 { return t.version }

// Len is the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// Rows returns the rows of the newest version. They must not be changed.
func (t *Table) Rows() map[string][]byte { return t.rows }

// CachedBytes is how many bytes of encoded deltas are kept.
func (t *Table) CachedBytes() int { return totalBytes(t.current) + totalBytes(t.retired) }

// Replace sets the rows of a newer version. A version that is not newer is ignored. The rows
// are the table's from then on.
func (t *Table) Replace(version uint64, rows map[string][]byte) {
	if version > t.version {
		t.ReplaceWithDiff(version, rows, DiffRows(t.rows, rows))
	}
}

// ReplaceWithDiff is [Table.Replace] for a caller that has compared the rows with
// [Table.Rows] before, for example without a lock that guards the table.
func (t *Table) ReplaceWithDiff(version uint64, rows map[string][]byte, d RowDiff) {
	if version <= t.version {
		return
	}
	if t.version != 0 {
		t.remember(changeSet{from: t.version, keys: d.keys})
	}
	t.checksum ^= d.checksum
	t.version, t.rows = version, rows
	t.retireDeltas()
}

// remember appends to the history, within its bounds.
func (t *Table) remember(c changeSet) {
	t.history = append(t.history, c)
	t.historyKeys += len(c.keys)
	for len(t.history) > maxHistory || len(t.history) > 0 && t.historyKeys > maxHistoryKeys {
		t.historyKeys -= len(t.history[0].keys)
		t.history = slices.Delete(t.history, 0, 1)
	}
}

// retireDeltas keeps a few of the deltas to the version that was the newest so far.
func (t *Table) retireDeltas() {
	t.retired = append(t.retired, t.current...)
	t.current = nil
	if excess := len(t.retired) - maxRetiredDeltas; excess > 0 {
		t.retired = slices.Delete(t.retired, 0, excess)
	}
	for totalBytes(t.retired) > MaxCachedBytes {
		t.retired = slices.Delete(t.retired, 0, 1)
	}
}

func totalBytes(deltas []EncodedDelta) int {
	n := 0
	for _, d := range deltas {
		n += len(d.Data)
	}
	return n
}

// DeltaSince returns the delta from a version to the newest one. Where the changes since then
// are not in the history, or from is 0, it is the complete table (From is 0). The error is
// that of an encoder: a row's value is not CBOR.
func (t *Table) DeltaSince(from uint64) (EncodedDelta, error) {
	first := slices.IndexFunc(t.history, func(c changeSet) bool { return c.from == from })
	if first < 0 || from == 0 {
		from, first = 0, len(t.history)
	}
	cached := slices.IndexFunc(t.current, func(d EncodedDelta) bool { return d.From == from })
	if cached >= 0 {
		return t.current[cached], nil
	}
	data, err := t.encodeSince(from, t.history[first:])
	if err != nil {
		return EncodedDelta{}, err
	}
	d := EncodedDelta{From: from, To: t.version, Data: data}
	t.cache(d)
	return d, nil
}

// encodeSince encodes the rows of the changes, or all rows where from is 0.
func (t *Table) encodeSince(from uint64, changes []changeSet) ([]byte, error) {
	keys := map[string]bool{}
	if from == 0 {
		for k := range t.rows {
			keys[k] = true
		}
	}
	for _, c := range changes {
		for _, k := range c.keys {
			keys[k] = true
		}
	}
	header := DeltaHeader{From: from, To: t.version, Checksum: t.checksum, RowCount: len(keys)}
	sorted := slices.Sorted(maps.Keys(keys)) // similar rows stand together, which compresses better
	return encodeDelta(header, func(yield func(Row) bool) {
		for _, k := range sorted {
			if !yield(Row{Key: k, Value: t.rows[k]}) { // a removed key has no value: a tombstone
				return
			}
		}
	})
}

// cache keeps a delta to the newest version, in place of the oldest one if there are too many.
func (t *Table) cache(d EncodedDelta) {
	t.current = append(t.current, d)
	tooMany := len(t.current) > maxCurrentDeltas
	tooLarge := totalBytes(t.current) > MaxCachedBytes && len(t.current) > 1
	if tooMany || tooLarge {
		t.current = slices.Delete(t.current, 0, 1)
	}
}

// CachedDelta returns a delta that [Table.DeltaSince] returned a short time ago, also one to
// an earlier version: a receiver fetches it in chunks.
func (t *Table) CachedDelta(from, to uint64) (EncodedDelta, bool) {
	for _, deltas := range [][]EncodedDelta{t.current, t.retired} {
		for _, d := range deltas {
			if d.From == from && d.To == to {
				return d, true
			}
		}
	}
	return EncodedDelta{}, false
}
