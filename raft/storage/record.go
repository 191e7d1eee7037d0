package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// A record is a value in the database: one byte with the encoding, the CRC-32 (IEEE) of
// the body in four bytes, big-endian, and the body, which is the value in CBOR.
const (
	recordEncoding   = 1
	recordHeaderSize = 5 // bytes
)

// The keys of the records. Each log entry has its own key, see [entryKey].
var (
	keyIdentity  = []byte("identity")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
	keyBatch     = []byte("commit") // the batchID of the last batch
)

// The key of a log entry: the prefix, and the index in eight bytes, big-endian, so that
// the entries are in the order of the log.
const (
	entryPrefix  = "e"
	entryKeySize = len(entryPrefix) + 8
)

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte(entryPrefix), index) }

// entryIndex returns the index of a log entry's key, and false for any other key.
func entryIndex(key []byte) (index uint64, ok bool) {
	if len(key) != entryKeySize || string(key[:len(entryPrefix)]) != entryPrefix {
		return 0, false
	}
	return binary.BigEndian.Uint64(key[len(entryPrefix):]), true
}

// recordHash is the hash of a key and its record. It is never 0, which stands for no
// record.
func recordHash(key, record []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key) // a hash takes every write
	_, _ = d.Write(record)
	return max(1, d.Sum64())
}

func encodeRecord(key []byte, value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("storage: encoding %s: %w", key, err)
	}
	record := make([]byte, recordHeaderSize, recordHeaderSize+len(body))
	record[0] = recordEncoding
	binary.BigEndian.PutUint32(record[1:], crc32.ChecksumIEEE(body))
	return append(record, body...), nil
}

// decodeRecord reads a record into a value. It fails with [ErrCorrupt].
func decodeRecord(record []byte, value any) error {
	body, err := recordBody(record)
	if err != nil {
		return err
	}
	return decodeBody(body, value)
}

// recordBody returns the body of a record whose checksum is right.
func recordBody(record []byte) ([]byte, error) {
	if len(record) < recordHeaderSize || record[0] != recordEncoding ||
		binary.BigEndian.Uint32(record[1:]) != crc32.ChecksumIEEE(record[recordHeaderSize:]) {
		return nil, fmt.Errorf("%w: a record has an unknown encoding or a wrong checksum", ErrCorrupt)
	}
	return record[recordHeaderSize:], nil
}

func decodeBody(body []byte, value any) error {
	if err := cbor.Unmarshal(body, value); err != nil {
		return fmt.Errorf("%w: decoding a record: %w", ErrCorrupt, err)
	}
	return nil
}
