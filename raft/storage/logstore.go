// Package storage keeps a member's log, vote and identity on disk, in
// goleveldb. What Initialize, Save and Compact have returned from without an error
// survives a loss of power, and a store that has lost any of it knows: it is
// ErrCorrupt, and the member comes back as a new one.
//
// How it knows: each batch has a number and carries the digest of all that is
// stored after it; the highest number promised stands in a small file beside the
// database, the seal. A batch goes to the write-ahead log first, then the number
// to the seal, then the promise out. So at the next start the database stands at
// the seal's number, or one further (written, not promised). Anything else, or
// contents that don't have the digest, has lost something.
package storage

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"example.org/elmspan/raft"
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
var ErrCorrupt = errors.New("storage: the data on disk is corrupt")

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
// ErrCorrupt where something promised is missing, and ErrNewer where a newer program
// wrote what this one can't read. A disk that can be read and
// takes no writes is no error: the store can be read, and Save fails until the
// disk takes writes again. Other errors say nothing of what is on the disk.
func Open(dir string) (*Store, error) { return openAt(osFS{}, dir) }

// Reset removes what is in a folder and opens it empty, for a member that begins
// anew under another id. Until Initialize has returned the folder counts as corrupt,
// whatever a crash leaves of it: it is never taken for one that was never used.
func Reset(dir string) (*Store, error) { return resetAt(osFS{}, dir) }

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

// Identity returns the member's id, 0 where the disk has none yet.
func (s *Store) Identity() (id raft.ID, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return id, s.get(keyIdentity, s.image.identity, &id)
}

// Initialize writes the identity and the first state of a member.
func (s *Store) Initialize(id raft.ID, first raft.Snapshot) error {
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
		return fmt.Errorf("storage: %w", err)
	}
	s.marked = false
	return nil
}

// Load reads all that is there. What isn't as it was written is [ErrCorrupt].
func (s *Store) Load() (st raft.Stored, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err = s.get(keyHard, s.image.hard, &st.Hard); err != nil {
		return st, err
	}
	if err = s.get(keySnapshot, s.image.snapshot, &st.Snapshot); err != nil {
		return st, err
	}
	if len(s.image.entries) == 0 {
		return st, nil
	}
	// One pass: a look-up of each would read the snapshot's block each time.
	it := s.db.NewIterator(&util.Range{Start: entryKey(s.image.base + 1), Limit: entryKey(s.image.last() + 1)}, nil)
	defer it.Release()
	for it.Next() {
		i := len(st.Entries)
		index := s.image.base + 1 + uint64(i)
		if i == len(s.image.entries) || !bytes.Equal(it.Key(), entryKey(index)) || recordHash(it.Key(), it.Value()) != s.image.entries[i] {
			return st, fmt.Errorf("%w: entry %d isn't what was written", ErrCorrupt, index)
		}
		var e raft.Entry
		if err := decode(it.Value(), &e); err != nil {
			return st, err
		}
		if e.Index != index {
			return st, fmt.Errorf("%w: entry %d in place of %d", ErrCorrupt, e.Index, index)
		}
		st.Entries = append(st.Entries, e)
	}
	if err := it.Error(); err != nil {
		return st, fmt.Errorf("storage: reading the log: %w", s.blame(err))
	}
	if len(st.Entries) < len(s.image.entries) {
		return st, fmt.Errorf("%w: entry %d is missing", ErrCorrupt, s.image.base+1+uint64(len(st.Entries)))
	}
	return st, nil
}

// Save writes what a Ready asks for and waits until it is on disk. After an
// error nothing of it may be believed written, nor not written: the next call
// opens the store again and goes on from what it reads there. So a member whose
// disk was full comes back by itself once it takes writes. ErrCorrupt stays: what
// was promised is gone from the disk, and nothing is promised any more.
func (s *Store) Save(r raft.Ready) error {
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
func (s *Store) Compact(snap raft.Snapshot) error {
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
		return fmt.Errorf("storage: %w", s.broken)
	}
	s.tried = time.Now()
	if err := s.load(); err != nil {
		s.broken = err
	}
	if s.broken != nil {
		return fmt.Errorf("storage: opening %s again: %w", s.dir, s.broken)
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
		return fmt.Errorf("storage: writing: %w", err)
	}
	s.image, s.promised = c.next, m
	return nil
}

// get reads a record whose hash is known; 0: there is none.
func (s *Store) get(key []byte, hash uint64, v any) error {
	if s.db == nil {
		return fmt.Errorf("storage: reading %s: %w", key, cmp.Or(s.broken, errClosed))
	}
	if hash == 0 {
		return nil
	}
	data, err := s.db.Get(key, nil)
	if err != nil {
		return fmt.Errorf("storage: reading %s: %w", key, s.blame(err))
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
		return nil, fmt.Errorf("storage: encoding %s: %w", key, err)
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
