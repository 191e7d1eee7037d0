package versioned

import "bytes"

// RowDiff is the difference between the rows of two successive versions.
type RowDiff struct {
	keys     []string // added, changed or removed
	checksum uint64   // XOR of the checksums of the old and new rows of these keys
}

// DiffRows compares the rows of a version with those of the previous version. It accesses no
// [Table], so it may run concurrently with the use of one.
func DiffRows(before, rows map[string][]byte) RowDiff {
	var d RowDiff
	removed := len(before) // rows of before not yet found in rows
	for key, value := range rows {
		old, ok := before[key]
		if ok {
			removed--
			if bytes.Equal(old, value) {
				continue
			}
			d.checksum ^= RowChecksum(key, old)
		}
		d.checksum ^= RowChecksum(key, value)
		d.keys = append(d.keys, key)
	}
	if removed == 0 {
		return d
	}
	for key, value := range before {
		if _, ok := rows[key]; !ok {
			d.checksum ^= RowChecksum(key, value)
			d.keys = append(d.keys, key)
		}
	}
	return d
}
