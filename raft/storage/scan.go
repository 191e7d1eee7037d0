package storage

import (
	"bytes"
	"fmt"

	"github.com/syndtr/goleveldb/leveldb"
)

// scanDatabase summarizes everything that is stored, and checks it against the digest that
// the last batch carried.
func scanDatabase(db *leveldb.DB) (contents, error) {
	var s scan
	it := db.NewIterator(nil, nil)
	defer it.Release()
	for it.Next() {
		if err := s.add(it.Key(), it.Value()); err != nil {
			return contents{}, err
		}
	}
	if err := it.Error(); err != nil {
		return contents{}, err
	}
	return s.finish()
}

// scan collects records. They come in the order of their keys: the batch, the entries, the
// hard state, the identity, the snapshot.
type scan struct {
	found contents
	batch *batchID // the one that is stored, nil for none

	// Of the last run of entries without a gap: the index of the first, and the index
	// before it that is missing, 0 for none.
	firstEntry   uint64
	missingEntry uint64
}

func (s *scan) add(key, record []byte) error {
	body, err := recordBody(record)
	if err != nil {
		return err
	}
	hash := recordHash(key, record)
	if index, ok := entryIndex(key); ok {
		s.addEntry(index, hash)
		return nil
	}
	switch {
	case bytes.Equal(key, keyBatch):
		s.batch = &batchID{}
		return decodeBody(body, s.batch)
	case bytes.Equal(key, keyIdentity):
		s.found.identity = hash
	case bytes.Equal(key, keyHardState):
		s.found.hardState = hash
	case bytes.Equal(key, keySnapshot):
		s.found.snapshot = hash
		return s.readSnapshotIndex(body)
	default:
		return fmt.Errorf("%w: a record with the unknown key %q", ErrCorrupt, key)
	}
	return nil
}

// readSnapshotIndex reads the index of a snapshot without its data.
func (s *scan) readSnapshotIndex(body []byte) error {
	var snapshot struct {
		Index uint64 `cbor:"1,keyasint"` // as in raft.Snapshot
	}
	err := decodeBody(body, &snapshot)
	s.found.snapshotIndex = snapshot.Index
	return err
}

func (s *scan) addEntry(index, hash uint64) {
	next := s.firstEntry + uint64(len(s.found.entries))
	if index != next { // the first of all, or the first after a gap
		s.firstEntry, s.missingEntry, s.found.entries = index, next, nil
	}
	s.found.entries = append(s.found.entries, hash)
}

func (s *scan) finish() (contents, error) {
	if err := s.joinEntries(); err != nil {
		return s.found, err
	}
	if s.batch == nil { // a store from before the seal, or an empty one
		return s.found, nil
	}
	s.found.sequence = s.batch.Sequence
	if s.found.sequence == 0 || s.found.batchID() != *s.batch {
		return s.found, fmt.Errorf("%w: the contents are not those of batch %d", ErrCorrupt, s.found.sequence)
	}
	return s.found, nil
}

// joinEntries keeps the entries after the snapshot, which must follow it without a gap.
// Entries that the snapshot stands for may be left over, where damage took the batch that
// deleted them: nothing reads them.
func (s *scan) joinEntries() error {
	count := uint64(len(s.found.entries))
	if count == 0 {
		return nil
	}
	next := s.found.snapshotIndex + 1
	if s.firstEntry > next || s.missingEntry > next {
		return fmt.Errorf("%w: entry %d is missing", ErrCorrupt, max(s.missingEntry, next))
	}
	s.found.entries = s.found.entries[min(count, next-s.firstEntry):]
	return nil
}
