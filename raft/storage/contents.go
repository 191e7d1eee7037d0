package storage

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// contents is a summary of everything that is stored: a hash of each record. Its digest
// is stored with each batch, so that what is read can be compared with what was written,
// end to end and whatever the database did in between: a batch missing from the middle,
// an old table that has come back, a key that is gone.
type contents struct {
	sequence  uint64 // the number of the last batch; 0 for a store that has none
	identity  uint64 // the hash of its record, 0 for none; the same for the next two
	hardState uint64
	snapshot  uint64

	snapshotIndex uint64   // the log index up to which the snapshot stands for the log
	entries       []uint64 // the hashes of the entries from snapshotIndex+1 on
}

// lastIndex is the index of the last log entry.
func (c *contents) lastIndex() uint64 { return c.snapshotIndex + uint64(len(c.entries)) }

// empty reports whether nothing at all is stored.
func (c *contents) empty() bool {
	return c.identity == 0 && c.hardState == 0 && c.snapshot == 0 && len(c.entries) == 0
}

// batchID is the identity of the batch that led to these contents. It is zero where
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

// batchID identifies a batch by its sequence number and by the digest of everything that
// is stored after it. It is stored in the database with the batch, and in the seal.
type batchID struct {
	Sequence uint64 `cbor:"Sequence"` // counted from 1
	Digest   uint64 `cbor:"Digest"`   // see contents.batchID
}
