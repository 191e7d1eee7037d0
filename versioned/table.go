package versioned

import (
	"maps"
	"slices"
)

// Limits of a table's history and cache. A longer history lets receivers that are further
// behind get a delta instead of the complete table, at the cost of memory on the server.
const (
	maxHistory       = 64   // versions whose changed keys are stored
	maxHistoryKeys   = 8192 // changed keys in all stored versions together
	maxCurrentDeltas = 16   // cached deltas to the newest version
	maxRetiredDeltas = 4    // cached deltas to earlier versions
)

// MaxCachedBytes is the limit on the total size of the cached deltas to the newest version,
// and likewise on that of the cached deltas to earlier versions. A new delta to the newest
// version is cached whatever its size and evicts at most one other, so the total size of these
// can exceed the limit.
const MaxCachedBytes = 4 << 20

// Table is the newest version of a table with its recent change history. The zero value is an
// empty table of version 0. It is not safe for concurrent use.
type Table struct {
	version     uint64
	rows        map[string][]byte
	checksum    uint64         // XOR of the row checksums
	history     []changeSet    // oldest first
	historyKeys int            // total number of keys in history
	current     []EncodedDelta // cached deltas to the newest version, oldest first
	retired     []EncodedDelta // cached deltas to earlier versions, oldest first: receivers may still be fetching them
}

// changeSet is the set of keys that changed from one version to the next.
type changeSet struct {
	from uint64
	keys []string
}

// EncodedDelta is a delta in its wire format.
type EncodedDelta struct {
	From, To uint64 // as in [DeltaHeader]
	Data     []byte // must not be modified
}

// Version returns the newest version, or 0 if there is none yet.
func (t *Table) Version() uint64 { return t.version }

// Len returns the number of rows in the newest version.
func (t *Table) Len() int { return len(t.rows) }

// Rows returns the rows of the newest version. The caller must not modify them.
func (t *Table) Rows() map[string][]byte { return t.rows }

// CachedBytes returns the total size of the cached deltas.
func (t *Table) CachedBytes() int { return totalBytes(t.current) + totalBytes(t.retired) }

// Replace sets the version and rows of the table. It does nothing if version is not newer than
// the current one. The caller must not modify rows afterwards.
func (t *Table) Replace(version uint64, rows map[string][]byte) {
	if version > t.version {
		t.ReplaceWithDiff(version, rows, DiffRows(t.rows, rows))
	}
}

// ReplaceWithDiff is [Table.Replace] for a caller that has already compared rows with
// [Table.Rows] by [DiffRows], for example outside of the lock that guards the table.
func (t *Table) ReplaceWithDiff(version uint64, rows map[string][]byte, d RowDiff) {
	if version <= t.version {
		return
	}
	if t.version != 0 {
		t.appendHistory(changeSet{from: t.version, keys: d.keys})
	}
	t.checksum ^= d.checksum
	t.version, t.rows = version, rows
	t.retireDeltas()
}

// appendHistory adds a change set to the history and drops the oldest ones beyond the limits.
func (t *Table) appendHistory(c changeSet) {
	t.history = append(t.history, c)
	t.historyKeys += len(c.keys)
	for len(t.history) > maxHistory || len(t.history) > 0 && t.historyKeys > maxHistoryKeys {
		t.historyKeys -= len(t.history[0].keys)
		t.history = slices.Delete(t.history, 0, 1)
	}
}

// retireDeltas moves the cached deltas to what is now an earlier version into retired, and
// evicts the oldest ones beyond the limits.
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

// DeltaSince returns the delta from a version to the newest one. Unless from is an earlier
// version that is still in the history, the delta contains the complete table and its From is
// 0. It fails if a row cannot be encoded, which means that its value is not valid CBOR.
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

// encodeSince encodes the rows whose keys are in changes, or all rows if from is 0.
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
	sorted := slices.Sorted(maps.Keys(keys)) // places similar rows next to each other, which compresses better
	return encodeDelta(header, func(yield func(Row) bool) {
		for _, k := range sorted {
			if !yield(Row{Key: k, Value: t.rows[k]}) { // a removed key has a nil value, which makes a tombstone
				return
			}
		}
	})
}

// cache stores a delta to the newest version and evicts the oldest such delta if a limit is
// exceeded.
func (t *Table) cache(d EncodedDelta) {
	t.current = append(t.current, d)
	tooMany := len(t.current) > maxCurrentDeltas
	tooLarge := totalBytes(t.current) > MaxCachedBytes && len(t.current) > 1
	if tooMany || tooLarge {
		t.current = slices.Delete(t.current, 0, 1)
	}
}

// CachedDelta returns a delta that [Table.DeltaSince] returned recently, if it is still cached.
// Deltas to earlier versions are included, since a receiver that fetches a delta in chunks may
// not be done when a new version arrives.
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
