package versioned

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/internal/compression"
)

// Limits on a decoded delta. They limit the memory that a malformed delta can take up.
const (
	maxRows              = 1 << 20
	maxDecompressedBytes = 64 << 20
	maxNestedLevels      = 16
	maxArrayElements     = 1 << 18
	maxMapPairs          = 1 << 16
)

// DeltaHeader is the first item of an encoded delta.
type DeltaHeader struct {
	// From is the base version, or 0 if the delta contains the complete table.
	From uint64 `cbor:"1,keyasint"`
	// To is the version that applying the delta produces.
	To uint64 `cbor:"2,keyasint"`
	// Checksum is the table checksum of version To: the XOR of the [RowChecksum] of all rows.
	Checksum uint64 `cbor:"3,keyasint"`
	// RowCount is the number of rows that follow.
	RowCount int `cbor:"4,keyasint"`
}

// Row is one row of a delta. A row without a value is a tombstone: the key was removed.
type Row struct {
	Key   string          `cbor:"1,keyasint"`
	Value cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// RowChecksum returns the checksum of one row. The checksum of a table is the XOR of its row
// checksums, so a receiver that applies deltas row by row can update it incrementally.
func RowChecksum(key string, value []byte) uint64 {
	h := xxhash.New()
	// Writes to a Digest never return an error.
	_, _ = h.WriteString(key)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(value)
	return h.Sum64()
}

// encodeDelta returns the encoded form of a header and its rows.
func encodeDelta(header DeltaHeader, rows iter.Seq[Row]) ([]byte, error) {
	var b bytes.Buffer
	e := cbor.NewEncoder(&b)
	if err := e.Encode(header); err != nil {
		return nil, fmt.Errorf("versioned: encoding delta header: %w", err)
	}
	for r := range rows {
		if err := e.Encode(r); err != nil {
			return nil, fmt.Errorf("versioned: encoding row %q: %w", r.Key, err)
		}
	}
	out, err := compression.Compress(b.Bytes())
	if err != nil {
		return nil, fmt.Errorf("versioned: %w", err)
	}
	return out, nil
}

// DeltaReader decodes a delta. It is not safe for concurrent use.
type DeltaReader struct {
	DeltaHeader
	dec  *cbor.Decoder
	left int // rows not yet read
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constants
	}
	return m
}()

// OpenDelta decodes the header of an encoded delta. The rows are read with
// [DeltaReader.Next] or [DeltaReader.ApplyTo]. Errors wrap [ErrMalformed].
func OpenDelta(data []byte) (*DeltaReader, error) {
	decompressed, err := compression.NewReader(data, maxDecompressedBytes)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	r := &DeltaReader{dec: decMode.NewDecoder(decompressed)}
	if err := r.dec.Decode(&r.DeltaHeader); err != nil {
		return nil, fmt.Errorf("%w: header: %w", ErrMalformed, err)
	}
	if r.RowCount < 0 || r.RowCount > maxRows {
		return nil, fmt.Errorf("%w: row count %d out of range", ErrMalformed, r.RowCount)
	}
	r.left = r.RowCount
	return r, nil
}

// Next returns the next row, which the caller may keep and modify. It returns [io.EOF] after
// the last row; any other error wraps [ErrMalformed].
func (r *DeltaReader) Next() (Row, error) {
	if r.left == 0 {
		return Row{}, io.EOF
	}
	r.left--
	var row Row
	if err := r.dec.Decode(&row); err != nil {
		return Row{}, malformedRow(err)
	}
	return row, nil
}

// malformedRow does not wrap the cause: the [io.EOF] of a truncated delta must not be mistaken
// for the end of its rows.
func malformedRow(cause error) error {
	return fmt.Errorf("%w: row: %s", ErrMalformed, cause.Error())
}

// ApplyTo returns the rows of version To, given the receiver's version and its rows, which are
// not modified. On any error it returns no rows; the error is or wraps [ErrVersion],
// [ErrMalformed] or [ErrChecksum].
func (r *DeltaReader) ApplyTo(version uint64, rows map[string][]byte) (map[string][]byte, error) {
	if r.To <= version {
		return nil, fmt.Errorf("%w: target version %d is not newer than %d", ErrVersion, r.To, version)
	}
	if r.From != 0 && r.From != version {
		return nil, fmt.Errorf("%w: base version is %d, receiver has %d", ErrVersion, r.From, version)
	}
	var out map[string][]byte
	if r.From != 0 {
		out = maps.Clone(rows)
	}
	if out == nil {
		out = map[string][]byte{}
	}
	if err := r.applyRows(out); err != nil {
		return nil, err
	}
	checksum := uint64(0)
	for k, v := range out {
		checksum ^= RowChecksum(k, v)
	}
	if checksum != r.Checksum {
		return nil, ErrChecksum
	}
	return out, nil
}

func (r *DeltaReader) applyRows(rows map[string][]byte) error {
	for {
		row, err := r.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if row.Value == nil {
			delete(rows, row.Key)
		} else {
			rows[row.Key] = row.Value
		}
	}
}
