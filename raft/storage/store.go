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
	// reopenInterval is the minimum time between two attempts to reopen a store whose disk
	// can't be written.
	reopenInterval = 200 * time.Millisecond
)

// Store persists the Raft state of a member in a directory. Its methods may be called
// concurrently; they run one at a time and block on disk I/O. A Store is created by [Open]
// or [Reset].
type Store struct {
	// Set when the store is created, then constant.
	fs             fileSystem
	dir            string
	reopenInterval time.Duration

	mu sync.Mutex // guards the fields below, and is held during disk I/O

	lock io.Closer // the lock on the directory; nil once the store is closed
	// lostMarker reports whether the marker file of a lost store exists. It is removed once
	// the new member is initialized.
	lostMarker bool

	db    *leveldb.DB // nil if it could not be opened
	files *dbFiles    // the files of db
	seal  *seal       // nil if it is missing or invalid

	contents contents // of the database, as read and changed by later writes
	// acknowledged is the last batch that this process has acknowledged, or that the seal
	// held once the store was opened for writing; zero before that.
	acknowledged batchID

	// writeErr is the reason why writes fail until the store is reopened, or nil. It is
	// permanent if it is ErrCorrupt or errClosed.
	writeErr   error
	lastReopen time.Time // time of the last attempt to reopen the store
}

// Open opens the store in a directory, which it creates if missing. It fails with
// [ErrCorrupt] if acknowledged data is damaged or missing, and with [ErrNewerFormat] if a
// newer version of the program wrote a format that this version can't read. If the disk
// can be read but not written, Open succeeds and the store can be read, but writes fail
// until the disk can be written again. Any other error says nothing about the data on
// disk.
func Open(dir string) (*Store, error) { return openStore(osFileSystem{}, dir) }

// Reset deletes the contents of a directory and opens an empty store in it, for a new
// member under another identity. Until [Store.Initialize] has succeeded, [Open] fails there
// with [ErrCorrupt], so that a crash never leaves a partly removed store that looks unused.
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
		closeQuietly(s.seal.file) // its writes were synced or failed before
		s.seal = nil
	}
}

// closeDatabase closes the database. Its files are not written after that.
func (s *Store) closeDatabase() {
	if s.files != nil {
		s.files.shutDown()
	}
	if s.db != nil {
		closeQuietly(s.db) // its writes were synced or failed before
	}
	s.db, s.files = nil, nil
}

// Identity returns the identity of the member, or 0 if none is stored yet.
func (s *Store) Identity() (id raft.ID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return id, s.readRecord(keyIdentity, s.contents.identity, &id)
}

// Initialize stores the identity and the first snapshot of a new member.
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
	// The marker is removed only now, as until this point it keeps a partly removed store
	// from being taken for an unused one.
	if err := removeLostMarker(s.fs, s.dir); err != nil {
		return fmt.Errorf("storage: removing the marker file of the lost store: %w", err)
	}
	s.lostMarker = false
	return nil
}

// Load reads the hard state, the snapshot and the log. It fails with [ErrCorrupt] if they
// differ from what was written.
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
	// An iterator, because a lookup of each entry would read the block of the snapshot each
	// time.
	it := s.db.NewIterator(&util.Range{Start: entryKey(first), Limit: entryKey(s.contents.lastIndex() + 1)}, nil)
	defer it.Release()
	for it.Next() {
		entry, err := s.decodeEntry(first+uint64(len(entries)), it.Key(), it.Value())
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

// decodeEntry checks and decodes the record found at the position of the entry with the
// given index.
func (s *Store) decodeEntry(index uint64, key, record []byte) (entry raft.Entry, err error) {
	found, ok := entryIndex(key)
	if !ok || found != index || index > s.contents.lastIndex() ||
		recordHash(key, record) != s.contents.entries[index-s.contents.snapshotIndex-1] {
		return entry, fmt.Errorf("%w: entry %d differs from what was written", ErrCorrupt, index)
	}
	if err := decodeRecord(record, &entry); err != nil {
		return entry, err
	}
	if entry.Index != index {
		return entry, fmt.Errorf("%w: found entry %d instead of %d", ErrCorrupt, entry.Index, index)
	}
	return entry, nil
}

// Save writes the hard state, snapshot and entries of a [raft.Ready], and returns when they
// are durable. It ignores the other fields of the Ready.
//
// After an error it is unknown whether the old or the new state is on disk. The next write
// reopens the store and continues from the state found there, so a member whose disk was
// full recovers by itself once the disk can be written again. [ErrCorrupt] is permanent:
// acknowledged data is lost, and all later writes fail.
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

// Compact writes a snapshot and deletes the entries that it covers. It does nothing if the
// stored snapshot is newer. It returns the same errors as [Store.Save].
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

// ensureWritable reopens the store if a write has failed, either in an earlier call or in a
// background compaction of goleveldb.
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
		return fmt.Errorf("storage: reopening %s: %w", s.dir, s.writeErr)
	}
	return nil
}

// write writes a batch to disk. The order matters: first the batch is synced to the
// write-ahead log, then the seal is advanced and synced, and only then may the batch be
// acknowledged. If the seal were ahead of the database, the store would seem corrupt; if a
// batch were acknowledged before the seal is advanced, its loss could go undetected.
func (s *Store) write(b *writeBatch) error {
	id := b.after.batchID()
	b.put(keyBatch, id)
	if b.err != nil {
		return b.err
	}
	err := s.db.Write(&b.records, &opt.WriteOptions{Sync: true})
	if err == nil {
		err = s.files.writeError() // dbFiles hides write errors from goleveldb
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

// readRecord reads a record into value and checks it against its hash. If the hash is 0,
// there is no record, and value stays unchanged.
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
		return fmt.Errorf("%w: record %q differs from what was written", ErrCorrupt, key)
	}
	return decodeRecord(record, value)
}

// classify wraps an error of the database in [ErrCorrupt], unless an I/O error caused it.
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
