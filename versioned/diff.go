package versioned

import "bytes"

// RowDiff is how the rows of one version differ from those of the version before.
type RowDiff struct {
	keys     []string // added, changed or removed
	checksum uint64   // the exclusive or of the checksums of the rows that come and go
}

// DiffRows compares the rows of a version with those of the version before. It touches no
// table, so it may run beside the use of one.
func DiffRows(before, rows map[string][]byte) RowDiff {
	var d RowDiff
	removed := len(before) // rows of before that have not been found in rows
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
