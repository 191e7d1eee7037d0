// Package compression makes bytes shorter where that pays: deflate (RFC 1951) at its
// fastest, behind a byte that says whether it was used. It keeps nothing between calls.
package compression

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/flate"
)

// worth is the size in bytes from which packing is tried.
const worth = 512

// The first byte.
const (
	plain byte = iota
	deflated
)

// ErrCorrupt tells that bytes were not packed here, or are not whole.
var ErrCorrupt = errors.New("compression: bytes can't be unpacked")

// Compress returns the packed form of bytes.
func Compress(data []byte) ([]byte, error) {
	if len(data) >= worth {
		var out bytes.Buffer
		out.WriteByte(deflated)
		w, err := flate.NewWriter(&out, flate.BestSpeed)
		if err != nil {
			return nil, fmt.Errorf("compression: %w", err)
		}
		if _, err := w.Write(data); err != nil {
			return nil, fmt.Errorf("compression: %w", err)
		}
		if err := w.Close(); err != nil {
			return nil, fmt.Errorf("compression: %w", err)
		}
		if out.Len() < len(data) {
			return bytes.Clone(out.Bytes()), nil
		}
	}
	return append([]byte{plain}, data...), nil
}

// NewReader reads what was packed, at most so many bytes.
func NewReader(packed []byte, most int64) (io.Reader, error) {
	if len(packed) == 0 || packed[0] > deflated {
		return nil, ErrCorrupt
	}
	var r io.Reader = bytes.NewReader(packed[1:])
	if packed[0] == deflated {
		r = flate.NewReader(r)
	}
	return io.LimitReader(r, most), nil
}

// Decompress returns what was packed; more than so many bytes are [ErrCorrupt].
func Decompress(packed []byte, most int64) ([]byte, error) {
	r, err := NewReader(packed, most+1)
	if err != nil {
		return nil, err
	}
	out, err := io.ReadAll(r)
	if err != nil || int64(len(out)) > most {
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return out, nil
}
