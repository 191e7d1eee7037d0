package storage

import (
	"errors"
	"testing"

	"github.com/syndtr/goleveldb/leveldb"

	"example.org/elmspan/raft"
)

// A record must decode to the value that was written, or fail with ErrCorrupt if any of its
// bytes was changed.
func FuzzRecordIsReadAsWrittenOrCorrupt(f *testing.F) {
	f.Add([]byte("a configuration"), uint64(7), uint16(9), byte(1))
	f.Add([]byte{}, uint64(1<<63), uint16(0), byte(0x80))
	f.Fuzz(func(t *testing.T, data []byte, index uint64, at uint16, flip byte) {
		var arbitrary raft.Entry
		if err := decodeRecord(data, &arbitrary); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("got error %v, want ErrCorrupt", err)
		}
		var b leveldb.Batch
		record, err := encodeRecord([]byte("k"), raft.Entry{Index: index, Data: data})
		if err != nil {
			t.Fatal(err)
		}
		b.Put([]byte("k"), record)
		var stored batchValue
		if err := b.Replay(&stored); err != nil {
			t.Fatal(err)
		}
		var e raft.Entry
		if err := decodeRecord(stored, &e); err != nil || e.Index != index || string(e.Data) != string(data) {
			t.Fatalf("decoded %+v, %v", e, err)
		}
		if flip == 0 {
			return
		}
		flipped := int(at) % len(stored)
		stored[flipped] ^= flip
		if err := decodeRecord(stored, &e); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("byte %d XORed with %x: got error %v, want ErrCorrupt", flipped, flip, err)
		}
	})
}

// batchValue receives the only value of a batch. It implements leveldb.BatchReplay.
type batchValue []byte

func (v *batchValue) Put(_, data []byte) { *v = append([]byte(nil), data...) }
func (v *batchValue) Delete([]byte)      {}
