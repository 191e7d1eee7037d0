package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
)

// The state is a few configurations: the buffers are small, as memory is scarce.
const (
	writeBufferBytes = 128 << 10
	blockCacheBytes  = 64 << 10
	tableBytes       = 1 << 20
	blockBytes       = 4 << 10
	maxOpenTables    = 16
)

func databaseOptions(readOnly bool) *opt.Options {
	return &opt.Options{
		WriteBuffer:            writeBufferBytes,
		BlockCacheCapacity:     blockCacheBytes,
		OpenFilesCacheCapacity: maxOpenTables,
		CompactionTableSize:    tableBytes,
		Compression:            opt.NoCompression,
		DisableBufferPool:      true,
		BlockSize:              blockBytes,
		ReadOnly:               readOnly,
		// Every write goes through the write-ahead log, a long one as well: a
		// transaction would be retried for seconds on a disk that is full.
		DisableLargeBatchTransaction: true,
	}
}

// openStore is [Open] on any disk.
func openStore(fs fileSystem, dir string) (*Store, error) {
	if err := checkLostMarker(fs, dir); err != nil {
		return nil, err
	}
	return enterStore(fs, dir, false)
}

// enterStore locks a folder, which is made if it is missing, and recovers the store in it.
func enterStore(fs fileSystem, dir string, lostMarker bool) (*Store, error) {
	if err := makeDirAll(fs, dir); err != nil {
		return nil, fmt.Errorf("storage: making %s: %w", dir, err)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, fmt.Errorf("storage: opening %s: %w", dir, err)
	}
	s := &Store{fs: fs, dir: dir, lock: lock, lostMarker: lostMarker, reopenInterval: reopenInterval}
	if err := s.recoverDatabase(); err != nil {
		_ = s.Close() // the first error is returned
		return nil, fmt.Errorf("storage: opening %s: %w", dir, err)
	}
	return s, nil
}

// recoverDatabase opens the database, for the first time or again. What is on disk is read
// first, without a write, and compared with the seal. Only then it is opened for writing,
// which makes goleveldb write all of the write-ahead log into new files and sync them: so
// what a failed fsync left in the page cache alone is on disk as well before anything is
// built on it.
//
// Where the disk takes no writes, it returns nil and leaves the store readable, with
// writeErr set.
func (s *Store) recoverDatabase() error {
	s.closeFiles()
	s.writeErr = nil
	if err := s.checkFormat(); err != nil {
		return err
	}
	found, exists, err := s.readAll()
	if err != nil {
		return err
	}
	if err := s.checkAcknowledged(&found); err != nil {
		return err
	}
	s.contents = found
	sealBefore := s.seal
	err = s.openForWriting(exists)
	if err == nil || errors.Is(err, ErrCorrupt) {
		return err
	}
	// The disk takes no writes. The store can be read if everything that was acknowledged
	// is there and nothing more: a batch that was not acknowledged may be in the page
	// cache alone.
	if sealBefore == nil || found.batchID() != sealBefore.batch || found.empty() {
		return err
	}
	return s.openForReading(&found, err)
}

// readAll reads the database and the seal, without a write. exists reports whether there is
// a database to go on with.
func (s *Store) readAll() (found contents, exists bool, err error) {
	exists, err = s.databaseExists()
	if err != nil {
		return found, false, err
	}
	var damage error
	if exists {
		found, err = s.readDatabase(true)
		if err != nil && !errors.Is(err, ErrCorrupt) {
			return found, false, err
		}
		damage = err
	}
	s.seal, err = openSeal(s.fs, s.path(sealName))
	if err != nil && !isNoSeal(err) {
		return found, false, err
	}
	if damage == nil {
		return found, exists, nil
	}
	if s.seal != nil && s.seal.batch == (batchID{}) {
		// It was torn while it was first made: nothing was acknowledged.
		return contents{}, false, nil
	}
	return found, false, damage
}

// checkAcknowledged fails with [ErrCorrupt] unless everything acknowledged is there. One
// batch more than the last acknowledged one may be there: it was written, and the power
// went before it was acknowledged.
func (s *Store) checkAcknowledged(found *contents) error {
	id := found.batchID()
	// A process that opens the store again knows what it has acknowledged itself.
	if last := s.acknowledged; last != (batchID{}) && !continues(id, last) {
		return fmt.Errorf("%w: it is at batch %d, and %d was acknowledged", ErrCorrupt, id.Sequence, last.Sequence)
	}
	if s.seal == nil && found.sequence > 0 {
		return fmt.Errorf("%w: the seal is missing", ErrCorrupt)
	}
	if s.seal != nil && !continues(id, s.seal.batch) {
		return fmt.Errorf("%w: it is at batch %d, and %d is sealed", ErrCorrupt, id.Sequence, s.seal.batch.Sequence)
	}
	// The check of a store from before the seal, which has no batch number.
	if !found.empty() && (found.identity == 0 || found.snapshot == 0) {
		return fmt.Errorf("%w: the identity is missing", ErrCorrupt)
	}
	return nil
}

// continues reports whether a batch is the given one or the next one.
func continues(id, last batchID) bool { return id == last || id.Sequence == last.Sequence+1 }

// openForWriting opens the database for writing, after it was read and closed. Each step
// makes durable what the next one builds on.
func (s *Store) openForWriting(exists bool) error {
	want := s.contents.batchID()
	s.closeDatabase()
	if err := s.writeFormat(); err != nil {
		return err
	}
	if err := s.renewSeal(want); err != nil {
		return err
	}
	if !exists {
		if err := s.removeDatabase(); err != nil {
			return err
		}
	}
	found, err := s.readDatabase(false)
	if err != nil {
		return err
	}
	if found.batchID() != want {
		return fmt.Errorf("%w: it reads differently when opened for writing", ErrCorrupt)
	}
	if s.seal.batch != want {
		if err := s.seal.advance(want); err != nil {
			return err
		}
	}
	s.acknowledged = want
	if found.sequence == 0 && !found.empty() {
		return s.write(s.newBatch()) // a store from before the seal gets its first batch number
	}
	return nil
}

// renewSeal makes the seal durable, as it is or, where there is none, for a batch.
func (s *Store) renewSeal(first batchID) error {
	if s.seal != nil {
		return s.seal.rewrite()
	}
	path := s.path(sealName)
	if err := errors.Join(s.syncParents(), createSeal(s.fs, s.dir, path, first)); err != nil {
		return err
	}
	var err error
	s.seal, err = openSeal(s.fs, path)
	return err
}

// openForReading opens the database for reading only, after it could not be opened for
// writing. What it holds must still be what was found before.
func (s *Store) openForReading(found *contents, writeErr error) error {
	s.writeErr = writeErr
	s.closeFiles()
	reread, err := s.readDatabase(true)
	if err != nil {
		return err
	}
	if reread.batchID() != found.batchID() {
		return writeErr // a batch that openForWriting wrote has reached the disk after all
	}
	return nil
}

// syncParents makes the name of the folder durable, and that of its parent: an earlier
// process may have made them and ended before it had synced them.
func (s *Store) syncParents() error {
	parent := filepath.Dir(s.dir)
	err := s.fs.SyncDir(filepath.Dir(parent))
	if err != nil && !errors.Is(err, os.ErrPermission) { // that folder need not be ours
		return err
	}
	return s.fs.SyncDir(parent)
}

// databaseExists reports whether the folder has any file of a database.
func (s *Store) databaseExists() (bool, error) {
	names, err := s.fs.Names(s.dir)
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(names, isDatabaseFile), nil
}

func isDatabaseFile(name string) bool {
	_, ok := parseFileName(name)
	return ok || strings.HasPrefix(name, currentName)
}

// removeDatabase removes what a crash has left of a database that was never used.
func (s *Store) removeDatabase() error {
	names, err := s.fs.Names(s.dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if !isDatabaseFile(name) {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return err
		}
	}
	return nil
}

// readDatabase opens the database and reads all of it.
func (s *Store) readDatabase(readOnly bool) (found contents, err error) {
	s.files = &dbFiles{fs: s.fs, dir: s.dir}
	defer func() {
		// goleveldb panics on some damage.
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
	}()
	db, err := leveldb.Open(s.files, databaseOptions(readOnly))
	if err != nil {
		return found, s.classify(err)
	}
	s.db = db
	found, err = scanDatabase(db)
	if err == nil {
		err = s.files.writeError()
	}
	return found, s.classify(err)
}
