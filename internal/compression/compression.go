// Package compression makes bytes shorter where that pays. The packed form is one byte that
// says how the rest is encoded, and the rest: the bytes as they are, or compressed with
// deflate (RFC 1951) at its fastest level. It is stored on disk and sent between processes.
// The functions keep nothing between calls and may be called concurrently.
package compression

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"
)

// minSize is the size in bytes from which compression is tried.
const minSize = 512

// The encodings, as the first byte says.
const (
	encodingPlain byte = iota
	encodingDeflate
)

// ErrCorrupt reports bytes that Compress did not make, that are cut off, or that hold more
// than was allowed.
var ErrCorrupt = errors.New("compression: bytes can't be unpacked")

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

// deflate returns the packed form of data with deflate, whether or not it is shorter.
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
	return bytes.Clone(out.Bytes()), nil // without the unused rest of the buffer
}

// NewReader returns a reader of the data in a packed form. It ends after maxBytes bytes. It
// fails with [ErrCorrupt] if the encoding is unknown; later errors are those of deflate.
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

// Decompress returns the data in a packed form. It fails with [ErrCorrupt] if that is
// damaged, or holds more than maxBytes bytes.
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
