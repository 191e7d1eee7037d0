package storage

import (
	"bytes"
	"fmt"

	"github.com/syndtr/goleveldb/leveldb"
)

// scanDatabase summarizes the contents of the database and checks them against the digest
// of the last batch.
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

// scan summarizes the records of a database. They are added in key order: the batch, the
// entries, the hard state, the identity, the snapshot.
type scan struct {
	found contents
	batch *batchID // the stored batch, nil if there is none

	// The last run of consecutive entries: the index of its first entry, and the index at
	// which the gap before it begins, 0 if there is no gap.
	firstIndex   uint64
	missingIndex uint64
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
		return fmt.Errorf("%w: record with unknown key %q", ErrCorrupt, key)
	}
	return nil
}

// readSnapshotIndex decodes only the index of a snapshot.
func (s *scan) readSnapshotIndex(body []byte) error {
	var snapshot struct {
		Index uint64 `cbor:"1,keyasint"` // as in raft.Snapshot
	}
	err := decodeBody(body, &snapshot)
	s.found.snapshotIndex = snapshot.Index
	return err
}

func (s *scan) addEntry(index, hash uint64) {
	next := s.firstIndex + uint64(len(s.found.entries))
	if index != next { // the first entry, or the first after a gap
		s.firstIndex, s.missingIndex, s.found.entries = index, next, nil
	}
	s.found.entries = append(s.found.entries, hash)
}

func (s *scan) finish() (contents, error) {
	if err := s.keepEntriesAfterSnapshot(); err != nil {
		return s.found, err
	}
	if s.batch == nil { // the store predates the seal or is empty
		return s.found, nil
	}
	s.found.sequence = s.batch.Sequence
	if s.found.sequence == 0 || s.found.batchID() != *s.batch {
		return s.found, fmt.Errorf("%w: the contents don't match the digest of batch %d", ErrCorrupt, s.found.sequence)
	}
	return s.found, nil
}

// keepEntriesAfterSnapshot drops the entries that the snapshot covers. The others must
// follow it without a gap. Covered entries are present if the batch that deleted them was
// damaged; they are never read.
func (s *scan) keepEntriesAfterSnapshot() error {
	count := uint64(len(s.found.entries))
	if count == 0 {
		return nil
	}
	next := s.found.snapshotIndex + 1
	if s.firstIndex > next || s.missingIndex > next {
		return fmt.Errorf("%w: entry %d is missing", ErrCorrupt, max(s.missingIndex, next))
	}
	s.found.entries = s.found.entries[min(count, next-s.firstIndex):]
	return nil
}
