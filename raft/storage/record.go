package storage

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// A record is a value in the database. It consists of one byte for the encoding, the CRC-32
// (IEEE) of the body as four bytes in big-endian order, and the body, a value in CBOR.
const (
	recordEncoding   = 1
	recordHeaderSize = 5 // bytes
)

// Record keys. Each log entry has its own key, see [entryKey].
var (
	keyIdentity  = []byte("identity")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
	keyBatch     = []byte("commit") // the batchID of the last batch
)

// The key of a log entry is the prefix and the index as eight bytes in big-endian order, so
// that entries are sorted by index.
const (
	entryPrefix  = "e"
	entryKeySize = len(entryPrefix) + 8
)

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64([]byte(entryPrefix), index) }

// entryIndex returns the index in the key of a log entry. ok is false for any other key.
func entryIndex(key []byte) (index uint64, ok bool) {
	if len(key) != entryKeySize || string(key[:len(entryPrefix)]) != entryPrefix {
		return 0, false
	}
	return binary.BigEndian.Uint64(key[len(entryPrefix):]), true
}

// recordHash returns the hash of a key and its record. It is never 0, because [contents] uses
// 0 for a missing record.
func recordHash(key, record []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key) // never returns an error
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

// decodeRecord decodes a record into value. All its errors wrap [ErrCorrupt].
func decodeRecord(record []byte, value any) error {
	body, err := recordBody(record)
	if err != nil {
		return err
	}
	return decodeBody(body, value)
}

// recordBody checks the encoding and the checksum of a record and returns its body.
func recordBody(record []byte) ([]byte, error) {
	if len(record) < recordHeaderSize || record[0] != recordEncoding ||
		binary.BigEndian.Uint32(record[1:]) != crc32.ChecksumIEEE(record[recordHeaderSize:]) {
		return nil, fmt.Errorf("%w: record with an unknown encoding or a wrong checksum", ErrCorrupt)
	}
	return record[recordHeaderSize:], nil
}

func decodeBody(body []byte, value any) error {
	if err := cbor.Unmarshal(body, value); err != nil {
		return fmt.Errorf("%w: decoding record: %w", ErrCorrupt, err)
	}
	return nil
}
