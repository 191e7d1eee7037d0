package storage

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// contents summarizes everything that is stored, with a hash of each record. Its digest
// is stored with each batch and checked when the store is read. This end-to-end check
// detects any damage within the database, such as a missing batch, a stale table that
// reappeared, or a missing key.
type contents struct {
	sequence uint64 // number of the last batch, 0 if none was written

	// Record hashes, 0 if there is no such record.
	identity  uint64
	hardState uint64
	snapshot  uint64

	snapshotIndex uint64   // index of the last log entry that the snapshot covers
	entries       []uint64 // hashes of the entries, starting at snapshotIndex+1
}

// lastIndex returns the index of the last log entry.
func (c *contents) lastIndex() uint64 { return c.snapshotIndex + uint64(len(c.entries)) }

// empty reports whether the store holds no records.
func (c *contents) empty() bool {
	return c.identity == 0 && c.hardState == 0 && c.snapshot == 0 && len(c.entries) == 0
}

// batchID returns the ID of the batch that produced these contents, or the zero value if
// nothing was ever stored.
func (c *contents) batchID() batchID {
	if c.sequence == 0 && c.empty() {
		return batchID{}
	}
	const fieldSize, fixedFields = 8, 5
	summary := make([]byte, 0, fieldSize*(fixedFields+len(c.entries)))
	for _, field := range [fixedFields]uint64{c.sequence, c.identity, c.hardState, c.snapshot, c.snapshotIndex} {
		summary = binary.LittleEndian.AppendUint64(summary, field)
	}
	for _, hash := range c.entries {
		summary = binary.LittleEndian.AppendUint64(summary, hash)
	}
	return batchID{c.sequence, xxhash.Sum64(summary)}
}

// batchID identifies a batch by its sequence number and by the digest of the contents of
// the store after it. It is stored in the database with the batch, and in the seal file.
type batchID struct {
	Sequence uint64 `cbor:"Sequence"` // starts at 1
	Digest   uint64 `cbor:"Digest"`   // see contents.batchID
}
