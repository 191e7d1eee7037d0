package storage

import (
	"encoding/binary"
	"errors"
	"io"
	"os"
	"syscall"

	"github.com/cespare/xxhash/v2"
)

// seal is a small file beside the database that holds the last acknowledged batch.
// Without it, a database that has lost the end of its log looks like one that never got
// there.
//
// The file has two slots that are written in turn, in place. It neither grows nor is it
// renamed, so one fdatasync makes a slot durable, and a torn write spoils only the slot
// that is not in force yet. The valid slot with the higher number is in force.
//
// A slot has four fields of eight bytes, big-endian: a magic number, the sequence number
// and the digest of the batch, and the xxhash64 of these three.
type seal struct {
	file    file
	current int     // the slot in force
	batch   batchID // what it holds
}

const (
	sealName  = "SEAL"
	sealMagic = 0x656c6d5345414c31 // "elmSEAL1"

	sealSlots       = 2
	sealSlotSize    = 32   // bytes
	sealSlotSpacing = 4096 // bytes: no sector and no page holds both slots

	// The offsets of the fields in a slot.
	sealSequenceAt = 8
	sealDigestAt   = 16
	sealChecksumAt = 24
)

// createSeal makes the seal file of a store, durable, over an old one if there is one.
func createSeal(fs fileSystem, dir, path string, first batchID) error {
	f, err := fs.Create(path)
	if err != nil {
		return err
	}
	var content [sealSlots * sealSlotSpacing]byte // the full size from the start
	copy(content[:], encodeSealSlot(first))
	_, err = f.Write(content[:])
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return fs.SyncDir(dir)
}

// openSeal opens a seal file. It fails with errNoSeal if neither slot can be read, and
// with os.ErrNotExist if there is no file, see [isNoSeal].
func openSeal(fs fileSystem, path string) (*seal, error) {
	f, err := fs.OpenInPlace(path)
	if err != nil {
		return nil, err
	}
	s := &seal{file: f, current: -1}
	for slot := range sealSlots {
		batch, ok, err := readSealSlot(f, slot)
		if err != nil {
			closeUnwritten(f)
			return nil, err
		}
		if ok && (s.current < 0 || batch.Sequence > s.batch.Sequence) {
			s.current, s.batch = slot, batch
		}
	}
	if s.current < 0 {
		closeUnwritten(f)
		return nil, errNoSeal
	}
	return s, nil
}

// readSealSlot reads a slot. It is not ok if the slot is torn, cut off, or on a block that
// the medium can't read.
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

// rewrite writes the slot in force again as it is. After a failed sync it may be in the
// page cache only, and must be durable before the other slot is written over.
func (s *seal) rewrite() error { return s.writeSlot(s.current, s.batch) }

// advance writes a newer batch into the slot that is not in force, which then is.
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

// isNoSeal reports whether a seal is missing or unreadable, as opposed to a failure to look at it.
func isNoSeal(err error) bool { return errors.Is(err, errNoSeal) || errors.Is(err, os.ErrNotExist) }
