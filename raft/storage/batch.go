package storage

import (
	"fmt"
	"slices"

	"github.com/syndtr/goleveldb/leveldb"

	"example.org/elmspan/raft"
)

// writeBatch collects changes that are written atomically. err holds the first error,
// which Store.write returns.
type writeBatch struct {
	records leveldb.Batch
	after   contents // of the store once the batch is written
	err     error
}

// newBatch returns an empty batch, to be applied to the current contents of the store.
func (s *Store) newBatch() *writeBatch {
	b := &writeBatch{after: s.contents}
	b.after.entries = slices.Clip(s.contents.entries) // so that append copies the slice of the store
	b.after.sequence++
	return b
}

// put adds a record and returns its hash.
func (b *writeBatch) put(key []byte, value any) (hash uint64) {
	record, err := encodeRecord(key, value)
	if err != nil {
		b.fail(err)
		return 0
	}
	b.records.Put(key, record)
	return recordHash(key, record)
}

func (b *writeBatch) fail(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *writeBatch) putIdentity(id raft.ID) { b.after.identity = b.put(keyIdentity, id) }

func (b *writeBatch) putHardState(state raft.HardState) {
	b.after.hardState = b.put(keyHardState, state)
}

// putSnapshot replaces the snapshot. The caller ensures that the remaining entries follow it
// without a gap.
func (b *writeBatch) putSnapshot(snapshot raft.Snapshot) {
	b.after.snapshot = b.put(keySnapshot, snapshot)
	b.after.snapshotIndex = snapshot.Index
}

// compactTo deletes the entries up to and including index.
func (b *writeBatch) compactTo(index uint64) {
	compacted := index - min(index, b.after.snapshotIndex)
	compacted = min(compacted, uint64(len(b.after.entries)))
	for i := range compacted {
		b.records.Delete(entryKey(b.after.snapshotIndex + 1 + i))
	}
	b.after.snapshotIndex, b.after.entries = index, b.after.entries[compacted:]
}

// truncateFrom deletes the entries at and after index.
func (b *writeBatch) truncateFrom(index uint64) {
	for i := index; i <= b.after.lastIndex(); i++ {
		b.records.Delete(entryKey(i))
	}
	kept := min(uint64(len(b.after.entries)), index-b.after.snapshotIndex-1)
	b.after.entries = b.after.entries[:kept]
}

// putEntries replaces the end of the log, starting at the index of the first given entry.
// Entries that the snapshot covers are skipped.
func (b *writeBatch) putEntries(entries []raft.Entry) {
	for len(entries) > 0 && entries[0].Index <= b.after.snapshotIndex {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	b.truncateFrom(entries[0].Index)
	b.after.entries = slices.Clip(b.after.entries)
	for _, entry := range entries {
		if next := b.after.lastIndex() + 1; entry.Index != next {
			b.fail(fmt.Errorf("storage: entries are not consecutive: got %d, want %d", entry.Index, next))
		}
		b.after.entries = append(b.after.entries, b.put(entryKey(entry.Index), entry))
	}
}
