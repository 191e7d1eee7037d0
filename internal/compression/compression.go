// Package compression compresses data if that makes it shorter. The packed form is one byte
// that identifies the encoding, followed by the data, either uncompressed or compressed with
// deflate (RFC 1951) at its fastest level. It is stored on disk and sent between processes.
// The functions are stateless and safe for concurrent use.
package compression

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"
)

// minSize is the minimum size in bytes for which compression is tried.
const minSize = 512

// Values of the first byte.
const (
	encodingPlain byte = iota
	encodingDeflate
)

// ErrCorrupt reports a packed form that is invalid or truncated, or whose data exceeds the
// allowed size.
var ErrCorrupt = errors.New("compression: packed data invalid or too large")

// Compress returns the packed form of data, which is at most one byte longer.
func Compress(data []byte) ([]byte, error) {
	if len(data) >= minSize {
		packed, err := deflate(data)
		if err != nil {
			return nil, fmt.Errorf("compression: %w", err)
		}
		if len(packed) < len(data) {
			return packed, nil
		}
	}
	return append([]byte{encodingPlain}, data...), nil
}

// deflate returns the deflate-encoded packed form of data, even if it is not shorter.
func deflate(data []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(encodingDeflate)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return bytes.Clone(out.Bytes()), nil // drops the unused capacity of the buffer
}

// NewReader returns a reader of the data in a packed form. The reader returns EOF after at
// most maxBytes bytes. NewReader fails with [ErrCorrupt] if the encoding is unknown; errors
// of the reader are those of deflate.
func NewReader(packed []byte, maxBytes int64) (io.Reader, error) {
	if len(packed) == 0 || packed[0] > encodingDeflate {
		return nil, ErrCorrupt
	}
	var r io.Reader = bytes.NewReader(packed[1:])
	if packed[0] == encodingDeflate {
		r = flate.NewReader(r)
	}
	return io.LimitReader(r, maxBytes), nil
}

// Decompress returns the data in a packed form. It fails with [ErrCorrupt] if the packed form
// is damaged or contains more than maxBytes bytes of data.
func Decompress(packed []byte, maxBytes int64) ([]byte, error) {
	r, err := NewReader(packed, maxBytes+1)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if int64(len(data)) > maxBytes {
		return nil, fmt.Errorf("%w: more than %d bytes", ErrCorrupt, maxBytes)
	}
	return data, nil
}
