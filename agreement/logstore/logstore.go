// Package logstore keeps a member's log, vote and identity on disk, in
// goleveldb. What Begin, Save and Compact have returned from without an error
// survives a loss of power, and a store that has lost any of it knows: it is
// ErrCorrupt, and the member comes back as a new one.
//
// How it knows: each batch has a number and carries the digest of all that is
// stored after it; the highest number promised stands in a small file beside the
// database, the seal. A batch goes to the write-ahead log first, then the number
// to the seal, then the promise out. So at the next start the database stands at
// the seal's number, or one further (written, not promised). Anything else, or
// contents that don't have the digest, has lost something.
package logstore

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"

	"example.org/elmspan/agreement"
)

const (
	format     = 1
	headerSize = 5 // format, checksum

	// The state is a few configurations: small buffers, as memory is dear.
	writeBuffer = 128 << 10
	blockCache  = 64 << 10

	// Between two tries to open a store again whose disk takes no writes.
	retryEvery = 200 * time.Millisecond

	sealName = "SEAL"
	lockName = "LOCK"
	// Beside the folder: it was found corrupt and is being removed.
	lostSuffix = ".lost"
)

// ErrCorrupt tells that what is on disk isn't all that was promised from it. The
// member must not vote with it: it starts again, as a new one, see [Reset].
var ErrCorrupt = errors.New("logstore: the data on disk is corrupt")

var (
	keyIdentity = []byte("identity")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	keyCommit   = []byte("commit") // the mark of the batch that was written last
	prefixEntry = []byte("e")
)

// Store is an open store. Its methods may be called side by side; each waits for
// the one before, and for the disk.
type Store struct {
	mu     sync.Mutex
	fs     fileSystem
	dir    string
	lock   io.Closer
	marked bool          // the mark of a lost store stands beside the folder
	pause  time.Duration // between two tries to open it again

	db       *leveldb.DB // nil where it could not be opened
	files    *files
	seal     *seal
	image    image // of what was read, or written since
	promised mark  // what has been promised, as far as this process knows
	// Why nothing can be written until the store was opened again; nil while all is well.
	broken error
	tried  time.Time // when it was last opened again
}

// Open opens the store in a folder, which is made where it isn't there. It is
// ErrCorrupt where something promised is missing. A disk that can be read and
// takes no writes is no error: the store can be read, and Save fails until the
// disk takes writes again. Other errors say nothing of what is on the disk.
func Open(dir string) (*Store, error) { return openAt(osFS{}, dir) }

// Reset removes what is in a folder and opens it empty, for a member that begins
// anew under another id. Until Begin has returned the folder counts as corrupt,
// whatever a crash leaves of it: it is never taken for one that was never used.
func Reset(dir string) (*Store, error) { return resetAt(osFS{}, dir) }

func openAt(fs fileSystem, dir string) (*Store, error) {
	if f, err := fs.Open(dir + lostSuffix); err == nil {
		f.Close()
		return nil, fmt.Errorf("%w: it was found so before, and is not removed yet", ErrCorrupt)
	} else if !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("logstore: opening %s: %w", dir, err)
	}
	return enter(fs, dir, false)
}

func resetAt(fs fileSystem, dir string) (*Store, error) {
	if err := discard(fs, dir); err != nil {
		return nil, fmt.Errorf("logstore: removing %s: %w", dir, err)
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
		return nil, fmt.Errorf("logstore: making %s: %w", dir, err)
	}
	lock, err := fs.Lock(filepath.Join(dir, lockName))
	if err != nil {
		return nil, fmt.Errorf("logstore: opening %s: %w", dir, err)
	}
	s = &Store{fs: fs, dir: dir, lock: lock, marked: marked, pause: retryEvery}
	if err := s.load(); err != nil {
		s.Close()
		return nil, fmt.Errorf("logstore: opening %s: %w", dir, err)
	}
	return s, nil
}

// Close closes the store; a second time does nothing.
func (s *Store) Close() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lock != nil {
		s.shut()
		err = s.lock.Close()
		s.lock, s.broken, s.tried = nil, errClosed, time.Now()
	}
	return err
}

// shut closes the database and the seal.
func (s *Store) shut() {
	s.closeDB()
	if s.seal != nil {
		s.seal.f.Close()
		s.seal = nil
	}
}

// closeDB closes the database; nothing is written any more from then on.
func (s *Store) closeDB() {
	if s.files != nil {
		s.files.shut()
	}
	if s.db != nil {
		s.db.Close()
	}
	s.db, s.files = nil, nil
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

// Identity returns the member's id, 0 where the disk has none yet.
func (s *Store) Identity() (id agreement.ID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return id, s.get(keyIdentity, s.image.identity, &id)
}

// Begin writes the identity and the first state of a member.
func (s *Store) Begin(id agreement.ID, first agreement.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ready(); err != nil {
		return err
	}
	c := s.change()
	c.cut(c.next.base + 1)
	c.identity(id)
	c.snapshot(first)
	if err := s.commit(c); err != nil || !s.marked {
		return err
	}
	if err := errors.Join(s.fs.Remove(s.dir+lostSuffix), s.fs.SyncDir(filepath.Dir(s.dir))); err != nil {
		return fmt.Errorf("logstore: %w", err)
	}
	s.marked = false
	return nil
}

// Load reads all that is there. What isn't as it was written is [ErrCorrupt].
func (s *Store) Load() (st agreement.Stored, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err = s.get(keyHard, s.image.hard, &st.Hard); err != nil {
		return st, err
	}
	if err = s.get(keySnapshot, s.image.snapshot, &st.Snapshot); err != nil {
		return st, err
	}
	for i, hash := range s.image.entries {
		var e agreement.Entry
		index := s.image.base + 1 + uint64(i)
		if err := s.get(entryKey(index), hash, &e); err != nil {
			return st, err
		}
		if e.Index != index {
			return st, fmt.Errorf("%w: entry %d in place of %d", ErrCorrupt, e.Index, index)
		}
		st.Entries = append(st.Entries, e)
	}
	return st, nil
}

// Save writes what a Ready asks for and waits until it is on disk. After an
// error nothing of it may be believed written, nor not written: the next call
// opens the store again and goes on from what it reads there. So a member whose
// disk was full comes back by itself once it takes writes. ErrCorrupt stays: what
// was promised is gone from the disk, and nothing is promised any more.
func (s *Store) Save(r agreement.Ready) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ready(); err != nil {
		return err
	}
	c := s.change()
	if r.Hard != nil {
		c.hard(*r.Hard)
	}
	if r.Snapshot != nil {
		c.cut(c.next.base + 1)
		c.snapshot(*r.Snapshot)
	}
	c.add(r.Entries)
	return s.commit(c)
}

// Compact writes a snapshot and drops the entries that it stands for.
func (s *Store) Compact(snap agreement.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ready(); err != nil {
		return err
	}
	if snap.Index < s.image.base {
		return nil // it says less than the one that is there
	}
	c := s.change()
	c.drop(snap.Index)
	c.snapshot(snap)
	return s.commit(c)
}

// ready opens the store again where a write has failed, here or behind our back
// in goleveldb's compaction.
func (s *Store) ready() error {
	if s.broken == nil && s.files != nil {
		if err := s.files.fenced(); err != nil {
			s.broken = err
		}
	}
	if s.broken == nil {
		return nil
	}
	if s.lock == nil || errors.Is(s.broken, ErrCorrupt) || time.Since(s.tried) < s.pause {
		return fmt.Errorf("logstore: %w", s.broken)
	}
	s.tried = time.Now()
	if err := s.load(); err != nil {
		s.broken = err
	}
	if s.broken != nil {
		return fmt.Errorf("logstore: opening %s again: %w", s.dir, s.broken)
	}
	return nil
}

// commit writes a batch, then the seal; only then it may be promised.
func (s *Store) commit(c *change) error {
	m := c.next.mark()
	c.put(keyCommit, m)
	if c.err != nil {
		return c.err
	}
	err := s.db.Write(&c.b, &opt.WriteOptions{Sync: true})
	if err == nil {
		err = s.files.fenced()
	}
	if err == nil {
		err = s.seal.advance(m)
	}
	if err != nil {
		s.broken = err
		return fmt.Errorf("logstore: writing: %w", err)
	}
	s.image, s.promised = c.next, m
	return nil
}

// get reads a record whose hash is known; 0: there is none.
func (s *Store) get(key []byte, hash uint64, v any) error {
	if hash == 0 {
		return nil
	}
	if s.db == nil {
		return fmt.Errorf("logstore: reading %s: %w", key, cmp.Or(s.broken, errClosed))
	}
	data, err := s.db.Get(key, nil)
	if err != nil {
		return fmt.Errorf("logstore: reading %s: %w", key, s.blame(err))
	}
	if recordHash(key, data) != hash {
		return fmt.Errorf("%w: the record %q isn't what was written", ErrCorrupt, key)
	}
	return decode(data, v)
}

func (s *Store) path(name string) string { return filepath.Join(s.dir, name) }

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte(prefixEntry), index) }

func encode(key []byte, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("logstore: encoding %s: %w", key, err)
	}
	data := make([]byte, headerSize, headerSize+len(body))
	data[0] = format
	binary.BigEndian.PutUint32(data[1:], crc32.ChecksumIEEE(body))
	return append(data, body...), nil
}

// unwrap returns the body of a record whose checksum holds.
func unwrap(data []byte) ([]byte, error) {
	if len(data) < headerSize || data[0] != format ||
		binary.BigEndian.Uint32(data[1:]) != crc32.ChecksumIEEE(data[headerSize:]) {
		return nil, fmt.Errorf("%w: a record's format or checksum is off", ErrCorrupt)
	}
	return data[headerSize:], nil
}

func decode(data []byte, v any) error {
	body, err := unwrap(data)
	if err != nil {
		return err
	}
	return unmarshal(body, v)
}

func unmarshal(body []byte, v any) error {
	if err := cbor.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return nil
}
