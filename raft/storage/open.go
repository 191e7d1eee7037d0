package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
)

func openAt(fs fileSystem, dir string) (*Store, error) {
	if f, err := fs.Open(dir + lostSuffix); err == nil {
		f.Close()
		return nil, fmt.Errorf("%w: %s tells that it was found so before, and no member has begun in its place", ErrCorrupt, dir+lostSuffix)
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("storage: opening %s: %w", dir, err)
	}
	return enter(fs, dir, false)
}

func resetAt(fs fileSystem, dir string) (*Store, error) {
	if err := discard(fs, dir); err != nil {
		return nil, fmt.Errorf("storage: removing %s: %w", dir, err)
	}
	return enter(fs, dir, true)
}

// discard removes all that is in a folder, once the mark that it is lost lasts.
func discard(fs fileSystem, dir string) error {
	up := filepath.Dir(dir)
	if err := makeDir(fs, up); err != nil {
		return err
	}
	f, err := fs.Create(dir + lostSuffix)
	if err != nil {
		return err
	}
	if err := errors.Join(f.Sync(), f.Close(), fs.SyncDir(up)); err != nil {
		return err
	}
	names, err := fs.Names(dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	for _, n := range names {
		if err := fs.Remove(filepath.Join(dir, n)); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
	}
	return fs.SyncDir(dir)
}

func enter(fs fileSystem, dir string, marked bool) (s *Store, err error) {
	if err := makeDir(fs, dir); err != nil {
		return nil, fmt.Errorf("storage: making %s: %w", dir, err)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, fmt.Errorf("storage: opening %s: %w", dir, err)
	}
	s = &Store{fs: fs, dir: dir, lock: lock, marked: marked, pause: retryEvery}
	if err := s.load(); err != nil {
		s.Close()
		return nil, fmt.Errorf("storage: opening %s: %w", dir, err)
	}
	return s, nil
}

func options(readOnly bool) *opt.Options {
	return &opt.Options{
		WriteBuffer: writeBuffer, BlockCacheCapacity: blockCache, OpenFilesCacheCapacity: 16,
		CompactionTableSize: 1 << 20, Compression: opt.NoCompression,
		DisableBufferPool: true, BlockSize: 4 << 10, ReadOnly: readOnly,
		// Every write goes through the write-ahead log, a long one as well: a
		// transaction would go on trying for seconds on a disk that is full.
		DisableLargeBatchTransaction: true,
	}
}

// load opens the database, for the first time or again. What is on disk is read
// first, without a write, and held against the seal. Only then it is opened for
// writing, which has goleveldb put all of the write-ahead log into new files and
// sync them: so what a failed fsync left in the page cache alone is on disk as
// well before anything is built on it.
func (s *Store) load() error {
	s.shut()
	s.broken = nil
	if err := s.admit(); err != nil {
		return err
	}
	found, err := s.present()
	if err != nil {
		return err
	}
	var m image
	var damaged error
	if found {
		if m, err = s.read(true); errors.Is(err, ErrCorrupt) {
			damaged = err
		} else if err != nil {
			return err
		}
	}
	sl, err := openSeal(s.fs, s.path(sealName))
	if err != nil && !unsealed(err) {
		return err
	}
	s.seal = sl
	if damaged != nil && sl != nil && sl.mark == (mark{}) {
		found, m, damaged = false, image{}, nil // torn while it was first made: nothing was promised
	}
	if damaged != nil {
		return damaged
	}
	if err := s.judge(&m); err != nil {
		return err
	}
	s.image = m
	err = s.begin(found)
	if err == nil || errors.Is(err, ErrCorrupt) {
		return err
	}
	// The disk takes no writes. All that was promised is there and can be read, if
	// nothing more is: a batch that was not promised may be in the page cache alone.
	if sl == nil || m.mark() != sl.mark || m.empty() {
		return err
	}
	s.broken = err
	s.shut()
	again, err := s.read(true)
	if err == nil && again.mark() != m.mark() { // a batch of begin's got there after all
		err = s.broken
	}
	return err
}

// judge tells whether what was read is all that was promised.
func (s *Store) judge(m *image) error {
	got := m.mark()
	if p := s.promised; got != p && got.Sequence != p.Sequence+1 && p != (mark{}) {
		return fmt.Errorf("%w: it stands at batch %d, and %d was promised", ErrCorrupt, got.Sequence, p.Sequence)
	}
	switch {
	case s.seal != nil:
		if p := s.seal.mark; got != p && got.Sequence != p.Sequence+1 {
			return fmt.Errorf("%w: it stands at batch %d, and %d is sealed", ErrCorrupt, got.Sequence, p.Sequence)
		}
	case m.seq > 0:
		return fmt.Errorf("%w: the seal is missing", ErrCorrupt)
	}
	if !m.empty() && (m.identity == 0 || m.snapshot == 0) { // in the format before the seal
		return fmt.Errorf("%w: the identity is missing", ErrCorrupt)
	}
	return nil
}

// begin opens the database that was read for writing.
func (s *Store) begin(found bool) (err error) {
	want := s.image.mark()
	s.closeDB()
	if err := s.stamp(); err != nil {
		return err
	}
	if s.seal != nil {
		err = s.seal.renew()
	} else if err = errors.Join(s.nameLasts(), makeSeal(s.fs, s.dir, s.path(sealName), want)); err == nil {
		s.seal, err = openSeal(s.fs, s.path(sealName))
	}
	if err != nil {
		return err
	}
	if !found {
		if err := s.wipe(); err != nil {
			return err
		}
	}
	m, err := s.read(false)
	if err != nil {
		return err
	}
	if m.mark() != want {
		return fmt.Errorf("%w: it reads differently when opened for writing", ErrCorrupt)
	}
	if s.seal.mark != want {
		if err := s.seal.advance(want); err != nil {
			return err
		}
	}
	s.promised = want
	if m.seq == 0 && !m.empty() { // a store of the format before the seal takes it up
		return s.commit(s.change())
	}
	return nil
}

// nameLasts makes the folder's own name last, and that of the one it is in: an
// earlier process may have made them and ended before it had synced them.
func (s *Store) nameLasts() error {
	up := filepath.Dir(s.dir)
	if err := s.fs.SyncDir(filepath.Dir(up)); err != nil && !errors.Is(err, os.ErrPermission) { // it need not be ours
		return err
	}
	return s.fs.SyncDir(up)
}

// present tells whether there is a database at all.
func (s *Store) present() (bool, error) {
	names, err := s.fs.Names(s.dir)
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(names, ofDatabase), nil
}

func ofDatabase(name string) bool {
	_, ok := parse(name)
	return ok || strings.HasPrefix(name, currentName)
}

// wipe removes what a crash has left of a database that was never used.
func (s *Store) wipe() error {
	names, err := s.fs.Names(s.dir)
	for _, n := range names {
		if ofDatabase(n) && err == nil {
			err = s.fs.Remove(s.path(n))
		}
	}
	return err
}

// read opens the database and reads all of it.
func (s *Store) read(readOnly bool) (m image, err error) {
	s.files = &files{fs: s.fs, dir: s.dir}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
	}()
	db, err := leveldb.Open(s.files, options(readOnly))
	if err != nil {
		return m, s.blame(err)
	}
	s.db = db
	m, err = scan(db)
	if err == nil {
		err = s.files.fenced()
	}
	return m, s.blame(err)
}

// blame makes a failure of the database ErrCorrupt, unless the disk failed.
func (s *Store) blame(err error) error {
	if err == nil || errors.Is(err, ErrCorrupt) {
		return err
	}
	if fault := s.files.fault(); fault != nil {
		return fmt.Errorf("%w (%v)", fault, err)
	}
	return fmt.Errorf("%w: %v", ErrCorrupt, err)
}

// scan makes the image of all that is stored, and checks it against the one that
// the last batch carried. In the order of keys: commit, entries, hard, identity,
// snapshot.
func scan(db *leveldb.DB) (m image, err error) {
	var want *mark
	var first, gap uint64 // of the last run of entries, and the index before it that is missing
	it := db.NewIterator(nil, nil)
	defer it.Release()
	for it.Next() {
		key, data := it.Key(), it.Value()
		body, err := unwrap(data)
		if err != nil {
			return m, err
		}
		switch hash := recordHash(key, data); {
		case bytes.Equal(key, keyCommit):
			want = &mark{}
			err = decode(data, want)
		case bytes.Equal(key, keyIdentity):
			m.identity = hash
		case bytes.Equal(key, keyHard):
			m.hard = hash
		case bytes.Equal(key, keySnapshot):
			var s struct {
				Index uint64 `cbor:"1,keyasint"`
			}
			m.snapshot = hash
			err = unmarshal(body, &s)
			m.base = s.Index
		case len(key) == len(prefixEntry)+8 && bytes.HasPrefix(key, prefixEntry):
			index := binary.BigEndian.Uint64(key[len(prefixEntry):])
			if at := first + uint64(len(m.entries)); index != at {
				first, gap, m.entries = index, at, nil
			}
			m.entries = append(m.entries, hash)
		default:
			err = fmt.Errorf("%w: a record %q", ErrCorrupt, key)
		}
		if err != nil {
			return m, err
		}
	}
	if err := it.Error(); err != nil {
		return m, err
	}
	// Entries that the snapshot stands for may be left over, where damage took the
	// batch that deleted them: nothing reads them.
	if n := uint64(len(m.entries)); n > 0 && first > m.base+1 || gap > m.base+1 {
		return m, fmt.Errorf("%w: entry %d is missing", ErrCorrupt, max(gap, m.base+1))
	} else if n > 0 {
		m.entries = m.entries[min(n, m.base+1-first):]
	}
	if want != nil {
		m.seq = want.Sequence
		if m.seq == 0 || m.mark() != *want {
			return m, fmt.Errorf("%w: the contents aren't those of batch %d", ErrCorrupt, m.seq)
		}
	}
	return m, nil
}
