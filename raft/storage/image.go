package storage

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/syndtr/goleveldb/leveldb"

	"example.org/elmspan/raft"
)

// image is a digest of everything that is stored: a hash of each record. It is
// stored with each batch, so that what is read can be held against what was
// written, end to end and whatever the database did in between: a batch missing
// from the middle, an old table that has come back, a key that is gone.
type image struct {
	seq      uint64 // of the last batch
	identity uint64 // hash of its record, 0 for none; likewise the next two
	hard     uint64
	snapshot uint64
	base     uint64   // the index that the snapshot stands for
	entries  []uint64 // hashes of the entries from base+1 on
}

// last is the index of the last entry.
func (m *image) last() uint64 { return m.base + uint64(len(m.entries)) }

// mark is what a batch, and then the seal, says of what is stored.
func (m *image) mark() mark {
	if m.seq == 0 && m.empty() {
		return mark{}
	}
	b := make([]byte, 0, 8*(5+len(m.entries)))
	for _, v := range []uint64{m.seq, m.identity, m.hard, m.snapshot, m.base} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	for _, v := range m.entries {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return mark{m.seq, xxhash.Sum64(b)}
}

// empty tells whether nothing at all is stored.
func (m *image) empty() bool {
	return m.identity == 0 && m.hard == 0 && m.snapshot == 0 && len(m.entries) == 0
}

// recordHash is never 0, which stands for no record.
func recordHash(key, data []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.Write(key)
	d.Write(data)
	return max(1, d.Sum64())
}

// change is a batch in the making, and the image after it.
type change struct {
	b    leveldb.Batch
	next image
	err  error
}

// change begins a batch on top of what is stored.
func (s *Store) change() *change {
	c := &change{next: s.image}
	c.next.entries = slices.Clip(s.image.entries) // those of the store stay as they are
	c.next.seq++
	return c
}

func (c *change) put(key []byte, v any) uint64 {
	data, err := encode(key, v)
	if err != nil {
		if c.err == nil {
			c.err = err
		}
		return 0
	}
	c.b.Put(key, data)
	return recordHash(key, data)
}

func (c *change) identity(id raft.ID)   { c.next.identity = c.put(keyIdentity, id) }
func (c *change) hard(h raft.HardState) { c.next.hard = c.put(keyHard, h) }

// snapshot puts a snapshot; the entries that stay follow it.
func (c *change) snapshot(s raft.Snapshot) {
	c.next.snapshot, c.next.base = c.put(keySnapshot, s), s.Index
}

// drop deletes the entries up to an index, that one as well, and makes it the base.
func (c *change) drop(to uint64) {
	n := min(uint64(len(c.next.entries)), to-min(to, c.next.base))
	for i := range n {
		c.b.Delete(entryKey(c.next.base + 1 + i))
	}
	c.next.base, c.next.entries = to, c.next.entries[n:]
}

// cut deletes the entries from an index on.
func (c *change) cut(from uint64) {
	for i := from; i <= c.next.last(); i++ {
		c.b.Delete(entryKey(i))
	}
	c.next.entries = c.next.entries[:min(uint64(len(c.next.entries)), from-c.next.base-1)]
}

// add puts entries, in place of all from the first of them on.
func (c *change) add(entries []raft.Entry) {
	for len(entries) > 0 && entries[0].Index <= c.next.base { // the snapshot stands for it
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	c.cut(entries[0].Index)
	c.next.entries = slices.Clip(c.next.entries)
	for _, e := range entries {
		if want := c.next.last() + 1; e.Index != want && c.err == nil {
			c.err = fmt.Errorf("storage: entry %d in place of %d", e.Index, want)
		}
		c.next.entries = append(c.next.entries, c.put(entryKey(e.Index), e))
	}
}
