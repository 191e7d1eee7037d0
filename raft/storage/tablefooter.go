package storage

import (
	"encoding/binary"
	"fmt"
	"io"
)

// The footer of a table in LevelDB's format has the handles of two blocks (the metaindex
// and the index), each an offset and a length as varints, then padding and a magic number.
// Sizes are in bytes.
const (
	tableFooterSize    = 48
	tableMagicSize     = 8
	tableFooterHandles = 2
	blockTrailerSize   = 5 // compression type and checksum at the end of each block
)

// checkTableFooter fails, with an error that counts as damage (see isDamage), if a block
// handle is invalid or points outside the table. The footer has no checksum, and goleveldb
// would allocate as much memory as a corrupted length says. The file offset is reset to the
// start.
func checkTableFooter(table file) error {
	size, err := table.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	if size < tableFooterSize {
		return fmt.Errorf("table truncated, shorter than its footer: %w", io.EOF)
	}
	var footer [tableFooterSize]byte
	if _, err := table.ReadAt(footer[:], size-tableFooterSize); err != nil {
		return err
	}
	if err := checkBlockHandles(footer[:tableFooterSize-tableMagicSize], uint64(size)); err != nil {
		return err
	}
	_, err = table.Seek(0, io.SeekStart)
	return err
}

func checkBlockHandles(handles []byte, size uint64) error {
	for range tableFooterHandles {
		offset, n := binary.Uvarint(handles)
		length, m := binary.Uvarint(handles[max(0, n):])
		readable := n > 0 && m > 0
		// The first two comparisons rule out an overflow of the sum.
		inside := offset <= size && length <= size && offset+length+blockTrailerSize <= size-tableFooterSize
		if !readable || !inside {
			return fmt.Errorf("table footer: invalid block handle: %d bytes at offset %d in a table of %d bytes: %w",
				length, offset, size, io.EOF)
		}
		handles = handles[n+m:]
	}
	return nil
}
