package storage

import (
	"encoding/binary"
	"testing"
)

// Block handles that point outside the table must be rejected, because goleveldb allocates
// as much memory as they say.
func TestTableFooterHandlesLieWithinTheTable(t *testing.T) {
	for _, c := range []struct {
		handles []uint64 // nil for unterminated varints
		ok      bool
	}{
		{[]uint64{0, 10, 15, 20}, true},
		{[]uint64{0, 1 << 33, 15, 20}, false},
		{[]uint64{0, 10, 15, 1 << 62}, false},
		{[]uint64{1 << 63, 1 << 63, 15, 20}, false},
		{[]uint64{90, 20, 0, 5}, false},
		{nil, false},
	} {
		data := make([]byte, 100+tableFooterSize)
		footer := data[100:100]
		for _, v := range c.handles {
			footer = binary.AppendUvarint(footer, v)
		}
		if c.handles == nil {
			for range tableFooterSize - tableMagicSize {
				footer = append(footer, 0xff)
			}
		}
		table := &diskHandle{disk: newFaultDisk(), file: &diskFile{visible: data}}
		if err := checkTableFooter(table); (err == nil) != c.ok {
			t.Errorf("handles %v: got error %v", c.handles, err)
		}
	}
}
