// Package versioned keeps the newest version of a table and what changed on the
// way to it, so that whoever holds an older version is told the difference, and
// the whole only where it is too far behind. A difference is encoded once for
// all that hold the same version, and is read a row at a time.
package versioned

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/internal/compression"
)

const (
	mostRows  = 1 << 20
	mostWhole = 64 << 20 // bytes of a difference when it is unpacked
	maxNested = 16
)

// Head begins an encoded difference.
type DeltaHeader struct {
	From     uint64 `cbor:"1,keyasint"` // the version it builds on; 0: none, it is the whole
	To       uint64 `cbor:"2,keyasint"`
	Checksum uint64 `cbor:"3,keyasint"` // over the table's rows afterwards; see [Mark]
	RowCount int    `cbor:"4,keyasint"`
}

// Row is one row of a table. A row without a value is one that went.
type Row struct {
	Key   string          `cbor:"1,keyasint"`
	Value cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// ErrUnreadable tells that bytes are no difference.
var ErrMalformed = errors.New("delta: a difference can't be read")

// Mark is a row's part in the sum over a table: the sum is the exclusive or of
// all marks. Who applies a difference keeps the marks of what it holds and
// compares the sum; where it differs, the whole is asked for.
func RowChecksum(key string, value []byte) uint64 {
	h := xxhash.New()
	h.WriteString(key)
	h.Write([]byte{0})
	h.Write(value)
	return h.Sum64()
}

// encode writes a difference.
func encode(h DeltaHeader, rows func(yield func(Row) bool)) ([]byte, error) {
	var b bytes.Buffer
	e := cbor.NewEncoder(&b)
	if err := e.Encode(h); err != nil {
		return nil, fmt.Errorf("delta: %w", err)
	}
	for r := range rows {
		if err := e.Encode(r); err != nil {
			return nil, fmt.Errorf("delta: %w", err)
		}
	}
	out, err := compression.Pack(b.Bytes())
	if err != nil {
		return nil, fmt.Errorf("delta: %w", err)
	}
	return out, nil
}

// Reader reads a difference.
type DeltaReader struct {
	DeltaHeader
	dec  *cbor.Decoder
	left int
}

var mode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: maxNested, MaxArrayElements: 1 << 18, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Open reads the head of an encoded difference.
func OpenDelta(data []byte) (*DeltaReader, error) {
	from, err := compression.Reader(data, mostWhole)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	r := &DeltaReader{dec: mode.NewDecoder(from)}
	if err := r.dec.Decode(&r.DeltaHeader); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if r.RowCount < 0 || r.RowCount > mostRows {
		return nil, fmt.Errorf("%w: %d rows", ErrMalformed, r.RowCount)
	}
	r.left = r.RowCount
	return r, nil
}

// Next returns the next row, [io.EOF] after the last. The row is the caller's.
func (r *DeltaReader) Next() (Row, error) {
	if r.left == 0 {
		return Row{}, io.EOF
	}
	r.left--
	var row Row
	if err := r.dec.Decode(&row); err != nil {
		return Row{}, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return row, nil
}

// Onto returns the table that a difference makes of rows of a version, checked
// by its sum. The rows given stay as they are.
func (r *DeltaReader) ApplyTo(version uint64, rows map[string][]byte) (map[string][]byte, error) {
	switch {
	case r.To <= version:
		return nil, fmt.Errorf("delta: version %d is not above %d", r.To, version)
	case r.From != 0 && r.From != version:
		return nil, fmt.Errorf("delta: a difference on version %d, not %d", r.From, version)
	case r.From == 0:
		rows = nil
	}
	out := maps.Clone(rows)
	if out == nil {
		out = map[string][]byte{}
	}
	for {
		row, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if row.Value == nil {
			delete(out, row.Key)
		} else {
			out[row.Key] = row.Value
		}
	}
	sum := uint64(0)
	for k, v := range out {
		sum ^= RowChecksum(k, v)
	}
	if sum != r.Checksum {
		return nil, ErrChecksum
	}
	return out, nil
}

// ErrSum tells that a difference does not lead to the table that it speaks of:
// the whole is wanted.
var ErrChecksum = errors.New("delta: another sum than the difference says")
