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

// The buffers are small to save memory: a member stores only a few configurations.
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
		// All writes go through the write-ahead log, even large ones: goleveldb would
		// retry a transaction for seconds on a full disk.
		DisableLargeBatchTransaction: true,
	}
}

// openStore is [Open] on a given file system.
func openStore(fs fileSystem, dir string) (*Store, error) {
	if err := checkLostMarker(fs, dir); err != nil {
		return nil, err
	}
	return lockAndRecover(fs, dir, false)
}

// lockAndRecover locks a directory, which it creates if missing, and recovers the store in
// it.
func lockAndRecover(fs fileSystem, dir string, lostMarker bool) (*Store, error) {
	if err := makeDirAll(fs, dir); err != nil {
		return nil, fmt.Errorf("storage: creating directory %s: %w", dir, err)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, fmt.Errorf("storage: opening %s: %w", dir, err)
	}
	s := &Store{fs: fs, dir: dir, lock: lock, lostMarker: lostMarker, reopenInterval: reopenInterval}
	if err := s.recoverDatabase(); err != nil {
		_ = s.Close() // the earlier error is returned
		return nil, fmt.Errorf("storage: opening %s: %w", dir, err)
	}
	return s, nil
}

// recoverDatabase opens or reopens the database. It first reads the database without
// writing, and compares the contents with the seal. Only then does it open the database
// for writing, which makes goleveldb copy the whole write-ahead log to new files and sync
// them. Data that a failed fsync left only in the page cache is thus on disk before
// anything depends on it.
//
// If the disk can't be written, it returns nil and leaves the store readable, with writeErr
// set.
func (s *Store) recoverDatabase() error {
	s.closeFiles()
	s.writeErr = nil
	if err := s.checkFormat(); err != nil {
		return err
	}
	found, exists, err := s.readDatabaseAndSeal()
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
	// The disk can't be written. The store can be read only if it is exactly at the last
	// acknowledged batch: a later batch may exist only in the page cache.
	if sealBefore == nil || found.batchID() != sealBefore.batch || found.empty() {
		return err
	}
	return s.openForReading(&found, err)
}

// readDatabaseAndSeal reads the database and the seal without writing. exists reports
// whether there is a usable database.
func (s *Store) readDatabaseAndSeal() (found contents, exists bool, err error) {
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
	if err != nil && !isSealUnusable(err) {
		return found, false, err
	}
	if damage == nil {
		return found, exists, nil
	}
	if s.seal != nil && s.seal.batch == (batchID{}) {
		// A crash interrupted the creation of the database: nothing was acknowledged.
		return contents{}, false, nil
	}
	return found, false, damage
}

// checkAcknowledged fails with [ErrCorrupt] unless all acknowledged batches are present.
// The database may be one batch ahead, if a crash or an error came between the write of the
// batch and its acknowledgement.
func (s *Store) checkAcknowledged(found *contents) error {
	id := found.batchID()
	// When the store is reopened, the last batch that this process acknowledged is known.
	if last := s.acknowledged; last != (batchID{}) && !isSameOrNext(id, last) {
		return fmt.Errorf("%w: database is at batch %d, but batch %d was acknowledged",
			ErrCorrupt, id.Sequence, last.Sequence)
	}
	if s.seal == nil && found.sequence > 0 {
		return fmt.Errorf("%w: the seal file is missing or invalid", ErrCorrupt)
	}
	if s.seal != nil && !isSameOrNext(id, s.seal.batch) {
		return fmt.Errorf("%w: database is at batch %d, seal at %d", ErrCorrupt, id.Sequence, s.seal.batch.Sequence)
	}
	// The only check here for stores that predate the seal, as they have no batch number.
	if !found.empty() && (found.identity == 0 || found.snapshot == 0) {
		return fmt.Errorf("%w: the identity or the snapshot is missing", ErrCorrupt)
	}
	return nil
}

// isSameOrNext reports whether id is the batch last or the one after it.
func isSameOrNext(id, last batchID) bool { return id == last || id.Sequence == last.Sequence+1 }

// openForWriting closes the database, which was opened for reading, and opens it for
// writing. Each step makes durable what the next step depends on.
func (s *Store) openForWriting(exists bool) error {
	want := s.contents.batchID()
	s.closeDatabase()
	if err := s.writeFormat(); err != nil {
		return err
	}
	if err := s.ensureSealDurable(want); err != nil {
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
		return fmt.Errorf("%w: the contents changed when the database was opened for writing", ErrCorrupt)
	}
	if s.seal.batch != want {
		if err := s.seal.advance(want); err != nil {
			return err
		}
	}
	s.acknowledged = want
	if found.sequence == 0 && !found.empty() {
		return s.write(s.newBatch()) // gives a store that predates the seal its first batch number
	}
	return nil
}

// ensureSealDurable makes the seal durable. If there is none, it creates one that holds the
// given batch.
func (s *Store) ensureSealDurable(first batchID) error {
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

// openForReading opens the database read-only after openForWriting failed with writeErr.
// The contents must still be those found before.
func (s *Store) openForReading(found *contents, writeErr error) error {
	s.writeErr = writeErr
	s.closeFiles()
	reread, err := s.readDatabase(true)
	if err != nil {
		return err
	}
	if reread.batchID() != found.batchID() {
		return writeErr // a batch that openForWriting wrote has reached the disk
	}
	return nil
}

// syncParents makes the directory entries of the store directory and of its parent
// durable: an earlier process may have created them and ended before it synced them.
func (s *Store) syncParents() error {
	parent := filepath.Dir(s.dir)
	err := s.fs.SyncDir(filepath.Dir(parent))
	if err != nil && !errors.Is(err, os.ErrPermission) { // the grandparent may belong to another user
		return err
	}
	return s.fs.SyncDir(parent)
}

// databaseExists reports whether the directory has any database files.
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

// removeDatabase removes the files of a database whose creation a crash interrupted.
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

// readDatabase opens the database, read-only or for writing, and summarizes its contents.
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
