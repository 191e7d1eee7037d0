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

// Bounds on a delta that is decoded.
const (
	maxRows              = 1 << 20
	maxDecompressedBytes = 64 << 20
	maxNestedLevels      = 16
	maxArrayElements     = 1 << 18
	maxMapPairs          = 1 << 16
)

// DeltaHeader begins an encoded delta.
type DeltaHeader struct {
	// From is the version that the delta builds on. 0: none, the table is complete.
	From uint64 `cbor:"1,keyasint"`
	// To is the version that it leads to.
	To uint64 `cbor:"2,keyasint"`
	// Checksum is over the rows of version To: the exclusive or of their [RowChecksum].
	Checksum uint64 `cbor:"3,keyasint"`
	// RowCount is the number of rows that follow.
	RowCount int `cbor:"4,keyasint"`
}

// Row is one row of a delta. Without a value it is a tombstone: the row was removed.
type Row struct {
	Key   string          `cbor:"1,keyasint"`
	Value cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// RowChecksum is a row's part of the checksum over a table, which is the exclusive or of all
// of them. A receiver that applies deltas row by row keeps the sum up to date by them.
func RowChecksum(key string, value []byte) uint64 {
	h := xxhash.New()
	// A digest's writes never fail.
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
		return nil, fmt.Errorf("versioned: encoding a header: %w", err)
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
	left int // rows that have not been read
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// OpenDelta decodes the header of an encoded delta. The rows are read with
// [DeltaReader.Next] or [DeltaReader.ApplyTo]. The error is [ErrMalformed].
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
		return nil, fmt.Errorf("%w: %d rows", ErrMalformed, r.RowCount)
	}
	r.left = r.RowCount
	return r, nil
}

// Next returns the next row, which is the caller's. The error is [io.EOF] after the last row,
// else [ErrMalformed].
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

// malformedRow hides the cause: [io.EOF] of a delta that is cut short is not the end of its
// rows.
func malformedRow(cause error) error {
	return fmt.Errorf("%w: row: %s", ErrMalformed, cause.Error())
}

// ApplyTo returns the rows of version To, given those of the receiver's version. The rows
// given stay as they are. Nothing is returned unless all of the delta fits: the error is
// [ErrVersion], [ErrMalformed] or [ErrChecksum].
func (r *DeltaReader) ApplyTo(version uint64, rows map[string][]byte) (map[string][]byte, error) {
	if r.To <= version {
		return nil, fmt.Errorf("%w: version %d is not above %d", ErrVersion, r.To, version)
	}
	if r.From != 0 && r.From != version {
		return nil, fmt.Errorf("%w: it builds on %d, not on %d", ErrVersion, r.From, version)
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
