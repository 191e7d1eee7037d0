package storage

import (
	"encoding/binary"
	"fmt"
	"io"
)

// The footer at the end of a table, in LevelDB's format: the handles of two blocks (the
// metaindex and the index), each an offset and a length as varints, padding, and a magic
// number. Sizes are in bytes.
const (
	tableFooterSize    = 48
	tableMagicSize     = 8
	tableFooterHandles = 2
	blockTrailerSize   = 5 // compression type and checksum, after each block
)

// checkTableFooter fails, with an error that counts as damage, if a handle points out of
// the table. The footer has no checksum: goleveldb would allocate as much memory as a
// flipped length says. The file is left at its start.
func checkTableFooter(table file) error {
	size, err := table.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	if size < tableFooterSize {
		return fmt.Errorf("the table is cut short: %w", io.EOF)
	}
	var footer [tableFooterSize]byte
	if _, err := table.ReadAt(footer[:], size-tableFooterSize); err != nil {
		return err
	}
	if err := checkHandles(footer[:tableFooterSize-tableMagicSize], uint64(size)); err != nil {
		return err
	}
	_, err = table.Seek(0, io.SeekStart)
	return err
}

func checkHandles(handles []byte, size uint64) error {
	for range tableFooterHandles {
		offset, n := binary.Uvarint(handles)
		length, m := binary.Uvarint(handles[max(0, n):])
		readable := n > 0 && m > 0
		// The first two comparisons keep the sum from overflowing.
		inside := offset <= size && length <= size && offset+length+blockTrailerSize <= size-tableFooterSize
		if !readable || !inside {
			return fmt.Errorf("a block of %d bytes at %d in a table of %d: %w", length, offset, size, io.EOF)
		}
		handles = handles[n+m:]
	}
	return nil
}
