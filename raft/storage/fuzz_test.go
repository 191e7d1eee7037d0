package storage

import (
	"errors"
	"testing"

	"github.com/syndtr/goleveldb/leveldb"

	"example.org/elmspan/raft"
)

// A record on disk is read as it was written, or known to be corrupt: one byte
// that differs is never taken for another value.
func FuzzRecord(f *testing.F) {
	f.Add([]byte("a configuration"), uint64(7), uint16(9), byte(1))
	f.Add([]byte{}, uint64(1<<63), uint16(0), byte(0x80))
	f.Fuzz(func(t *testing.T, data []byte, index uint64, at uint16, flip byte) {
		var raw raft.Entry
		if err := decode(data, &raw); err != nil && !errors.Is(err, ErrCorrupt) {
			t.Fatalf("%v is no ErrCorrupt", err)
		}
		var b leveldb.Batch
		record, err := encode([]byte("k"), raft.Entry{Index: index, Data: data})
		if err != nil {
			t.Fatal(err)
		}
		b.Put([]byte("k"), record)
		var got value
		if err := b.Replay(&got); err != nil {
			t.Fatal(err)
		}
		var e raft.Entry
		if err := decode(got, &e); err != nil || e.Index != index || string(e.Data) != string(data) {
			t.Fatalf("read %+v, %v", e, err)
		}
		if flip == 0 {
			return
		}
		got[int(at)%len(got)] ^= flip
		if err := decode(got, &e); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("byte %d turned by %x: %v", int(at)%len(got), flip, err)
		}
	})
}

// value takes a batch's one value.
type value []byte

func (v *value) Put(_, data []byte) { *v = append([]byte(nil), data...) }
func (v *value) Delete([]byte)      {}
