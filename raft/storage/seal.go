package storage

import (
	"encoding/binary"
	"errors"
	"io"
	"os"
	"syscall"

	"github.com/cespare/xxhash/v2"
)

// seal is a small file next to the database that holds the last acknowledged batch.
// Without it, a database that lost the batches at the end of its write-ahead log could not
// be told from one in which they were never written.
//
// The file has two slots, which are overwritten alternately in place. The valid slot with
// the higher sequence number is current. The file is never extended or renamed, so one
// fdatasync makes a slot durable, and a torn write damages only the slot that is not yet
// current.
//
// A slot has four fields of eight bytes in big-endian order: a magic number, the sequence
// number and the digest of the batch, and the xxhash64 of these three fields.
type seal struct {
	file    file
	current int     // index of the current slot
	batch   batchID // in the current slot
}

const (
	sealName  = "SEAL"
	sealMagic = 0x656c6d5345414c31 // "elmSEAL1"

	sealSlots       = 2
	sealSlotSize    = 32   // bytes
	sealSlotSpacing = 4096 // bytes; the slots are in different sectors and pages

	// Offsets of the fields in a slot, in bytes.
	sealSequenceAt = 8
	sealDigestAt   = 16
	sealChecksumAt = 24
)

// createSeal durably creates a seal file that holds the given batch, or replaces an existing
// one.
func createSeal(fs fileSystem, dir, path string, first batchID) error {
	f, err := fs.Create(path)
	if err != nil {
		return err
	}
	var content [sealSlots * sealSlotSpacing]byte // the final size, as the file must not grow later
	copy(content[:], encodeSealSlot(first))
	_, err = f.Write(content[:])
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return fs.SyncDir(dir)
}

// openSeal opens a seal file. It fails with errNoValidSealSlot if neither slot is valid, and
// with os.ErrNotExist if there is no file, see [isSealUnusable].
func openSeal(fs fileSystem, path string) (*seal, error) {
	f, err := fs.OpenInPlace(path)
	if err != nil {
		return nil, err
	}
	s := &seal{file: f, current: -1}
	for slot := range sealSlots {
		batch, ok, err := readSealSlot(f, slot)
		if err != nil {
			closeQuietly(f)
			return nil, err
		}
		if ok && (s.current < 0 || batch.Sequence > s.batch.Sequence) {
			s.current, s.batch = slot, batch
		}
	}
	if s.current < 0 {
		closeQuietly(f)
		return nil, errNoValidSealSlot
	}
	return s, nil
}

// readSealSlot reads a slot. ok is false if the slot is torn, truncated, or in a block that
// the device can't read.
func readSealSlot(f file, slot int) (batch batchID, ok bool, err error) {
	var content [sealSlotSize]byte
	n, err := f.ReadAt(content[:], int64(slot*sealSlotSpacing))
	if n == sealSlotSize {
		batch, ok = decodeSealSlot(content[:])
		return batch, ok, nil
	}
	if errors.Is(err, io.EOF) || errors.Is(err, syscall.EIO) {
		err = nil
	}
	return batch, false, err
}

// rewrite writes and syncs the current slot again, unchanged. After a failed sync the slot
// may exist only in the page cache, and must be durable before the other slot is
// overwritten.
func (s *seal) rewrite() error { return s.writeSlot(s.current, s.batch) }

// advance writes a newer batch to the other slot, which then becomes the current one.
func (s *seal) advance(batch batchID) error {
	other := 1 - s.current
	if err := s.writeSlot(other, batch); err != nil {
		return err
	}
	s.current, s.batch = other, batch
	return nil
}

func (s *seal) writeSlot(slot int, batch batchID) error {
	if _, err := s.file.WriteAt(encodeSealSlot(batch), int64(slot*sealSlotSpacing)); err != nil {
		return err
	}
	return s.file.Sync()
}

func encodeSealSlot(batch batchID) []byte {
	slot := make([]byte, 0, sealSlotSize)
	slot = binary.BigEndian.AppendUint64(slot, sealMagic)
	slot = binary.BigEndian.AppendUint64(slot, batch.Sequence)
	slot = binary.BigEndian.AppendUint64(slot, batch.Digest)
	return binary.BigEndian.AppendUint64(slot, xxhash.Sum64(slot))
}

func decodeSealSlot(slot []byte) (batch batchID, ok bool) {
	if binary.BigEndian.Uint64(slot) != sealMagic ||
		binary.BigEndian.Uint64(slot[sealChecksumAt:]) != xxhash.Sum64(slot[:sealChecksumAt]) {
		return batchID{}, false
	}
	return batchID{
		Sequence: binary.BigEndian.Uint64(slot[sealSequenceAt:]),
		Digest:   binary.BigEndian.Uint64(slot[sealDigestAt:]),
	}, true
}

// isSealUnusable reports whether an error of openSeal means that the seal file is missing or
// invalid. Other errors say nothing about its contents.
func isSealUnusable(err error) bool {
	return errors.Is(err, errNoValidSealSlot) || errors.Is(err, os.ErrNotExist)
}
