// Package logstore keeps a member's log, vote and identity on disk, in
// goleveldb. Every value carries a format version and a checksum. What Save
// has returned from without an error survives a loss of power.
package logstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/syndtr/goleveldb/leveldb"
	dberrors "github.com/syndtr/goleveldb/leveldb/errors"
	"github.com/syndtr/goleveldb/leveldb/opt"
	"github.com/syndtr/goleveldb/leveldb/util"

	"example.org/elmspan/agreement"
)

const (
	format     = 1
	headerSize = 5 // format, checksum

	// The state is a few configurations: small buffers, as memory is dear.
	writeBuffer = 128 << 10
	blockCache  = 64 << 10
)

// ErrCorrupt tells that what is on disk can't be what was written there. The
// member must not vote with it: it starts again with an empty disk.
var ErrCorrupt = errors.New("logstore: the data on disk is corrupt")

var (
	keyIdentity = []byte("identity")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	prefixEntry = []byte("e")
)

// Store is an open store.
type Store struct{ db *leveldb.DB }

// Open opens the store in a folder, made where it isn't there.
func Open(dir string) (*Store, error) {
	o := &opt.Options{
		WriteBuffer: writeBuffer, BlockCacheCapacity: blockCache, OpenFilesCacheCapacity: 16,
		CompactionTableSize: 1 << 20, Compression: opt.NoCompression,
		DisableBufferPool: true, BlockSize: 4 << 10,
	}
	db, err := leveldb.OpenFile(dir, o)
	if dberrors.IsCorrupted(err) {
		if db, err = leveldb.RecoverFile(dir, o); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("logstore: opening %s: %w", dir, err)
	}
	return &Store{db}, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.db.Close() }

// Identity returns the member's id, 0 where the disk has none yet.
func (s *Store) Identity() (id agreement.ID, err error) {
	_, err = s.get(keyIdentity, &id)
	return id, err
}

// Begin writes the identity and the first state of a member.
func (s *Store) Begin(id agreement.ID, first agreement.Snapshot) error {
	var b leveldb.Batch
	if err := errors.Join(put(&b, keyIdentity, id), put(&b, keySnapshot, first)); err != nil {
		return err
	}
	return s.write(&b)
}

// Load reads all that is there. A gap or a checksum that is off is [ErrCorrupt].
func (s *Store) Load() (st agreement.Stored, err error) {
	if _, err = s.get(keyHard, &st.Hard); err != nil {
		return st, err
	}
	if _, err = s.get(keySnapshot, &st.Snapshot); err != nil {
		return st, err
	}
	it := s.db.NewIterator(util.BytesPrefix(prefixEntry), nil)
	defer it.Release()
	for it.Next() {
		var e agreement.Entry
		if err := decode(it.Value(), &e); err != nil {
			return st, err
		}
		switch want := st.Snapshot.Index + uint64(len(st.Entries)) + 1; {
		case e.Index < want: // left over from before the snapshot
		case e.Index > want:
			return st, fmt.Errorf("%w: entry %d is missing", ErrCorrupt, want)
		default:
			st.Entries = append(st.Entries, e)
		}
	}
	if err := it.Error(); err != nil {
		return st, fmt.Errorf("logstore: reading the log: %w", err)
	}
	return st, nil
}

// Save writes what a Ready asks for and waits until it is on disk.
func (s *Store) Save(r agreement.Ready) error {
	var b leveldb.Batch
	var errs []error
	if r.Hard != nil {
		errs = append(errs, put(&b, keyHard, *r.Hard))
	}
	if r.Snapshot != nil {
		errs = append(errs, put(&b, keySnapshot, *r.Snapshot), s.drop(&b, 0, 1<<63))
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		if r.Snapshot == nil {
			errs = append(errs, s.drop(&b, first, 1<<63))
		}
		for _, e := range r.Entries {
			errs = append(errs, put(&b, entryKey(e.Index), e))
		}
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return s.write(&b)
}

// Compact writes a snapshot and drops the entries that it stands for.
func (s *Store) Compact(snap agreement.Snapshot) error {
	var b leveldb.Batch
	if err := errors.Join(put(&b, keySnapshot, snap), s.drop(&b, 0, snap.Index+1)); err != nil {
		return err
	}
	return s.write(&b)
}

// drop deletes the entries from one index up to another, which stays.
func (s *Store) drop(b *leveldb.Batch, from, to uint64) error {
	it := s.db.NewIterator(&util.Range{Start: entryKey(from), Limit: entryKey(to)}, nil)
	defer it.Release()
	for it.Next() {
		b.Delete(it.Key())
	}
	return it.Error()
}

func (s *Store) write(b *leveldb.Batch) error {
	if err := s.db.Write(b, &opt.WriteOptions{Sync: true}); err != nil {
		return fmt.Errorf("logstore: writing: %w", err)
	}
	return nil
}

func (s *Store) get(key []byte, v any) (bool, error) {
	data, err := s.db.Get(key, nil)
	if errors.Is(err, leveldb.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("logstore: reading %s: %w", key, err)
	}
	return true, decode(data, v)
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte(prefixEntry), index) }

func put(b *leveldb.Batch, key []byte, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("logstore: encoding %s: %w", key, err)
	}
	data := make([]byte, headerSize, headerSize+len(body))
	data[0] = format
	binary.BigEndian.PutUint32(data[1:], crc32.ChecksumIEEE(body))
	b.Put(key, append(data, body...))
	return nil
}

func decode(data []byte, v any) error {
	if len(data) < headerSize || data[0] != format ||
		binary.BigEndian.Uint32(data[1:]) != crc32.ChecksumIEEE(data[headerSize:]) {
		return fmt.Errorf("%w: a record's format or checksum is off", ErrCorrupt)
	}
	if err := cbor.Unmarshal(data[headerSize:], v); err != nil {
		return fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return nil
}
