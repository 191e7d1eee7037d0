package storage

import (
	"encoding/binary"
	"errors"
	"io"
	"os"
	"syscall"

	"github.com/cespare/xxhash/v2"
)

// A seal is a small file beside the database that says how far the database has
// got: the number of the last batch that was promised, and the digest of all that
// was stored with it. Without it a database that has lost its end looks like one
// that never got there.
//
// Two slots are written in turn, in place: the file neither grows nor is renamed,
// so that one fdatasync makes a slot last, and a write that is torn spoils only
// the slot that doesn't count yet. A slot: magic, number, digest, xxhash64 of the
// three, each 8 bytes, big-endian.
type seal struct {
	f    file
	at   int // the slot that counts
	mark mark
}

// mark is a number of a batch, and the digest of all that is stored after it.
type mark struct{ Sequence, Digest uint64 }

const (
	sealMagic = 0x656c6d5345414c31 // "elmSEAL1"
	slotSize  = 32
	slotEvery = 4096 // apart: no sector and no page holds both
)

var errNoSeal = errors.New("no slot of the seal can be read")

// makeSeal makes a seal, to last, that says where the database begins. An old
// one is written over.
func makeSeal(fs fileSystem, dir, path string, m mark) error {
	f, err := fs.Create(path)
	if err != nil {
		return err
	}
	var b [2 * slotEvery]byte // its full size from the start
	copy(b[:], slot(m))
	_, err = f.Write(b[:])
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return fs.SyncDir(dir)
}

// openSeal reads a seal. It is errNoSeal, or os.ErrNotExist, where it says nothing.
func openSeal(fs fileSystem, path string) (*seal, error) {
	f, err := fs.Update(path)
	if err != nil {
		return nil, err
	}
	s := &seal{f: f, at: -1}
	for i := range 2 {
		var b [slotSize]byte
		if n, err := f.ReadAt(b[:], int64(i*slotEvery)); n < slotSize {
			if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.EIO) {
				f.Close()
				return nil, err
			}
			continue
		}
		m, ok := unslot(b[:])
		if ok && (s.at < 0 || m.Sequence > s.mark.Sequence) {
			s.at, s.mark = i, m
		}
	}
	if s.at < 0 {
		f.Close()
		return nil, errNoSeal
	}
	return s, nil
}

// renew writes the slot that counts again as it is. After a failed sync it may
// be in memory only, and must last before the other one is written over.
func (s *seal) renew() error { return s.put(s.at, s.mark) }

// advance writes a higher number into the slot that doesn't count.
func (s *seal) advance(m mark) error {
	if err := s.put(1-s.at, m); err != nil {
		return err
	}
	s.at, s.mark = 1-s.at, m
	return nil
}

func (s *seal) put(at int, m mark) error {
	if _, err := s.f.WriteAt(slot(m), int64(at*slotEvery)); err != nil {
		return err
	}
	return s.f.Sync()
}

func slot(m mark) []byte {
	b := make([]byte, 0, slotSize)
	b = binary.BigEndian.AppendUint64(b, sealMagic)
	b = binary.BigEndian.AppendUint64(b, m.Sequence)
	b = binary.BigEndian.AppendUint64(b, m.Digest)
	return binary.BigEndian.AppendUint64(b, xxhash.Sum64(b))
}

func unslot(b []byte) (mark, bool) {
	ok := binary.BigEndian.Uint64(b) == sealMagic && binary.BigEndian.Uint64(b[24:]) == xxhash.Sum64(b[:24])
	return mark{binary.BigEndian.Uint64(b[8:]), binary.BigEndian.Uint64(b[16:])}, ok
}

// unsealed tells a seal that is missing or says nothing from one that can't be
// looked at.
func unsealed(err error) bool { return errors.Is(err, errNoSeal) || errors.Is(err, os.ErrNotExist) }
