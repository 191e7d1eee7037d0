package storage

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"example.org/elmspan/raft"
)

const (
	lockName = "LOCK"
	// reopenInterval is the least time between two attempts to open a store again whose
	// disk takes no writes.
	reopenInterval = 200 * time.Millisecond
)

// Store is an open store. Its methods may be called concurrently: each waits for the one
// before it, and for the disk. A Store is made by [Open] or [Reset].
type Store struct {
	// Set once, when the store is made.
	fs             fileSystem
	dir            string
	reopenInterval time.Duration

	mu sync.Mutex // guards all that follows, and is held while the disk is waited for

	lock io.Closer // the lock on the folder; nil once the store is closed
	// lostMarker reports that the marker file of a lost store is beside the folder. It is
	// removed once the new member is initialized.
	lostMarker bool

	db    *leveldb.DB // nil where it could not be opened
	files *dbFiles    // the files of db
	seal  *seal       // nil where there is none

	contents contents // what was read, or written since
	// acknowledged is the last batch that this process has acknowledged, or has found
	// sealed; zero before that.
	acknowledged batchID

	// writeErr gives the reason why nothing can be written until the store was opened again; nil
	// while all is well. ErrCorrupt and errClosed are final.
	writeErr   error
	lastReopen time.Time // when it was last tried to open the store again
}

// Open opens the store in a folder, which is made if it is missing. It fails with
// [ErrCorrupt] if something acknowledged is missing, and with [ErrNewerFormat] if a newer
// program wrote what this one can't read. A disk that can be read but takes no writes is
// no error: the store can be read, and Save fails until the disk takes writes again. Any
// other error says nothing about what is on the disk.
func Open(dir string) (*Store, error) { return openStore(osFileSystem{}, dir) }

// Reset removes what is in a folder and opens it empty, for a new member under another
// identity. Until [Store.Initialize] has returned, the folder counts as corrupt, whatever
// a crash leaves in it: it is never taken for one that was never used.
func Reset(dir string) (*Store, error) { return resetStore(osFileSystem{}, dir) }

// Close closes the store. It does nothing on a closed store.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock == nil {
		return nil
	}
	s.closeFiles()
	err := s.lock.Close()
	s.lock, s.writeErr, s.lastReopen = nil, errClosed, time.Now()
	return err
}

// closeFiles closes the database and the seal.
func (s *Store) closeFiles() {
	s.closeDatabase()
	if s.seal != nil {
		closeUnwritten(s.seal.file) // each write to it was synced, or has failed
		s.seal = nil
	}
}

// closeDatabase closes the database. Nothing is written to its files from then on.
func (s *Store) closeDatabase() {
	if s.files != nil {
		s.files.shutDown()
	}
	if s.db != nil {
		closeUnwritten(s.db) // each write to it was synced, or has failed
	}
	s.db, s.files = nil, nil
}

// Identity returns the identity of the member, 0 if the disk has none yet.
func (s *Store) Identity() (id raft.ID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return id, s.readRecord(keyIdentity, s.contents.identity, &id)
}

// Initialize writes the identity and the first snapshot of a new member.
func (s *Store) Initialize(id raft.ID, first raft.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ensureWritable(); err != nil {
		return err
	}
	b := s.newBatch()
	b.truncateFrom(b.after.snapshotIndex + 1)
	b.putIdentity(id)
	b.putSnapshot(first)
	if err := s.write(b); err != nil || !s.lostMarker {
		return err
	}
	// Only now: while the marker is there, a half-removed store can't be taken for one
	// that was never used.
	if err := removeLostMarker(s.fs, s.dir); err != nil {
		return fmt.Errorf("storage: removing the marker of the lost store: %w", err)
	}
	s.lostMarker = false
	return nil
}

// Load reads everything that is stored. It fails with [ErrCorrupt] if it is not as it was
// written.
func (s *Store) Load() (stored raft.PersistentState, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err = s.readRecord(keyHardState, s.contents.hardState, &stored.HardState); err != nil {
		return stored, err
	}
	if err = s.readRecord(keySnapshot, s.contents.snapshot, &stored.Snapshot); err != nil {
		return stored, err
	}
	stored.Entries, err = s.readEntries()
	return stored, err
}

// readEntries reads the log after the snapshot.
func (s *Store) readEntries() (entries []raft.Entry, err error) {
	if len(s.contents.entries) == 0 {
		return nil, nil
	}
	first := s.contents.snapshotIndex + 1
	// One pass: a look-up of each entry would read the block of the snapshot each time.
	it := s.db.NewIterator(&util.Range{Start: entryKey(first), Limit: entryKey(s.contents.lastIndex() + 1)}, nil)
	defer it.Release()
	for it.Next() {
		entry, err := s.checkEntry(first+uint64(len(entries)), it.Key(), it.Value())
		if err != nil {
			return entries, err
		}
		entries = append(entries, entry)
	}
	if err := it.Error(); err != nil {
		return entries, fmt.Errorf("storage: reading the log: %w", s.classify(err))
	}
	if len(entries) < len(s.contents.entries) {
		return entries, fmt.Errorf("%w: entry %d is missing", ErrCorrupt, first+uint64(len(entries)))
	}
	return entries, nil
}

// checkEntry decodes the record that was found where the entry of an index should be.
func (s *Store) checkEntry(index uint64, key, record []byte) (entry raft.Entry, err error) {
	found, ok := entryIndex(key)
	if !ok || found != index || index > s.contents.lastIndex() ||
		recordHash(key, record) != s.contents.entries[index-s.contents.snapshotIndex-1] {
		return entry, fmt.Errorf("%w: entry %d is not as it was written", ErrCorrupt, index)
	}
	if err := decodeRecord(record, &entry); err != nil {
		return entry, err
	}
	if entry.Index != index {
		return entry, fmt.Errorf("%w: entry %d in place of %d", ErrCorrupt, entry.Index, index)
	}
	return entry, nil
}

// Save writes the hard state, snapshot and entries of a [raft.Ready], and waits until
// they are on disk. The rest of the Ready is not looked at.
//
// After an error neither the old nor the new state may be believed: the next call opens
// the store again and goes on from what it reads there. So a member whose disk was full
// comes back by itself once the disk takes writes. [ErrCorrupt] is final: acknowledged
// data is gone from the disk, and nothing is acknowledged any more.
func (s *Store) Save(ready raft.Ready) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ensureWritable(); err != nil {
		return err
	}
	b := s.newBatch()
	if ready.HardState != nil {
		b.putHardState(*ready.HardState)
	}
	if ready.Snapshot != nil {
		b.truncateFrom(b.after.snapshotIndex + 1)
		b.putSnapshot(*ready.Snapshot)
	}
	b.putEntries(ready.Entries)
	return s.write(b)
}

// Compact writes a snapshot and deletes the entries that it stands for. It does nothing
// if the stored snapshot is newer. Errors are those of [Store.Save].
func (s *Store) Compact(snapshot raft.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ensureWritable(); err != nil {
		return err
	}
	if snapshot.Index < s.contents.snapshotIndex {
		return nil
	}
	b := s.newBatch()
	b.compactTo(snapshot.Index)
	b.putSnapshot(snapshot)
	return s.write(b)
}

// ensureWritable opens the store again if a write has failed, in a call of the store or in
// a compaction that goleveldb does by itself.
func (s *Store) ensureWritable() error {
	if s.writeErr == nil && s.files != nil {
		s.writeErr = s.files.writeError()
	}
	if s.writeErr == nil {
		return nil
	}
	if s.lock == nil || errors.Is(s.writeErr, ErrCorrupt) || time.Since(s.lastReopen) < s.reopenInterval {
		return fmt.Errorf("storage: %w", s.writeErr)
	}
	s.lastReopen = time.Now()
	if err := s.recoverDatabase(); err != nil {
		s.writeErr = err
	}
	if s.writeErr != nil {
		return fmt.Errorf("storage: opening %s again: %w", s.dir, s.writeErr)
	}
	return nil
}

// write writes a batch to disk. The order matters: the batch is synced to the write-ahead
// log first, the seal is advanced and synced second, and only then may the batch be
// acknowledged. A seal ahead of the database would look like a loss; an acknowledgement
// ahead of the seal could be lost without a trace.
func (s *Store) write(b *writeBatch) error {
	id := b.after.batchID()
	b.put(keyBatch, id)
	if b.err != nil {
		return b.err
	}
	err := s.db.Write(&b.records, &opt.WriteOptions{Sync: true})
	if err == nil {
		err = s.files.writeError() // failed writes are hidden from goleveldb, see dbFiles
	}
	if err == nil {
		err = s.seal.advance(id)
	}
	if err != nil {
		s.writeErr = err
		return fmt.Errorf("storage: writing batch %d: %w", id.Sequence, err)
	}
	s.contents, s.acknowledged = b.after, id
	return nil
}

// readRecord reads a record that has a known hash; 0: there is none.
func (s *Store) readRecord(key []byte, hash uint64, value any) error {
	if s.db == nil {
		return fmt.Errorf("storage: reading %s: %w", key, cmp.Or(s.writeErr, errClosed))
	}
	if hash == 0 {
		return nil
	}
	record, err := s.db.Get(key, nil)
	if err != nil {
		return fmt.Errorf("storage: reading %s: %w", key, s.classify(err))
	}
	if recordHash(key, record) != hash {
		return fmt.Errorf("%w: the record %q is not as it was written", ErrCorrupt, key)
	}
	return decodeRecord(record, value)
}

// classify makes a failure of the database [ErrCorrupt], unless the disk itself has failed.
func (s *Store) classify(err error) error {
	if err == nil || errors.Is(err, ErrCorrupt) {
		return err
	}
	if diskErr := s.files.diskError(); diskErr != nil {
		return fmt.Errorf("%w (%w)", diskErr, err)
	}
	return fmt.Errorf("%w: %w", ErrCorrupt, err)
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }
