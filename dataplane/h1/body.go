package h1

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

const (
	maxChunkLine   = 256     // bytes of the line with a chunk's size
	maxTrailers    = 8 << 10 // bytes of all trailers
	maxSizeDigits  = 15      // of a chunk's size: it fits an int64
	chunkSizeRadix = 16
)

// ErrUnexpectedEnd is returned by reads where the connection ended before the body did.
var ErrUnexpectedEnd = errors.New("h1: the body ends early")

// Body reads a framed body. It ends with io.EOF after the whole of it, and
// never reads past its end.
type Body struct {
	r     *bufio.Reader
	left  int64 // bytes of the body, or of the chunk
	kind  int64 // the framing: Chunked, UntilClose or a length
	begun bool  // the first chunk was read
	done  bool
}

// NewBody returns a reader of a body with a framing: a length, Chunked or UntilClose.
func NewBody(r *bufio.Reader, framing int64) *Body {
	b := &Body{r: r, kind: framing, left: max(0, framing)}
	b.done = framing == 0
	return b
}

// ReadFullRequest reads a request with all of its body, for programs whose requests are short, such as the emulator's
// servers. The head may have maxHead bytes.
func ReadFullRequest(r *bufio.Reader, maxHead int) (*Head, []byte, error) {
	h, err := ReadRequest(r, maxHead)
	if err != nil {
		return nil, nil, err
	}
	framing, err := h.RequestFraming()
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(NewBody(r, framing))
	return h, body, err
}

// ReadUpTo reads the body, or its first limit bytes where it is longer. One whose length is known is read into memory
// of that length.
func (b *Body) ReadUpTo(limit int64) ([]byte, error) {
	if b.kind < 0 || b.left > limit {
		return io.ReadAll(io.LimitReader(b, limit))
	}
	body := make([]byte, b.left)
	n, err := io.ReadFull(b, body)
	return body[:n], err
}

// Done reports whether the whole body was read.
func (b *Body) Done() bool { return b.done }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.kind == Chunked && b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, short(err)
		}
		if b.done {
			return 0, io.EOF
		}
	}
	if b.kind != UntilClose && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	if b.kind == UntilClose {
		b.done = err == io.EOF
		return n, err
	}
	if b.left -= int64(n); b.left == 0 && b.kind != Chunked {
		b.done = true
		return n, nil
	}
	return n, short(err)
}

// short returns the error of a body that is not at its end: io.EOF means that it ended early. Where it is malformed
// too, that is reported.
func short(err error) error {
	if errors.Is(err, io.EOF) && !errors.As(err, new(*Error)) {
		return ErrUnexpectedEnd
	}
	return err
}

// nextChunk reads a chunk's size, with the end of the one before. After the last chunk it drops the trailers.
func (b *Body) nextChunk() error {
	if b.begun {
		if line, err := b.line(maxChunkLine); err != nil || line != "" {
			return errors.Join(err, malformed("a chunk is longer than it says"))
		}
	}
	b.begun = true
	line, err := b.line(maxChunkLine)
	if err != nil {
		return err
	}
	if b.left, err = parseChunkSize(line); err != nil {
		return err
	}
	if b.left > 0 {
		return nil
	}
	return b.dropTrailers()
}

// parseChunkSize returns the size of a chunk from its line. Extensions are ignored.
func parseChunkSize(line string) (int64, error) {
	size, _, _ := strings.Cut(line, ";")
	if size == "" || len(size) > maxSizeDigits {
		return 0, malformed("a chunk's size %q", size)
	}
	for i := range len(size) { // ParseInt would take a sign
		if !isHexDigit(size[i]) {
			return 0, malformed("a chunk's size %q", size)
		}
	}
	n, err := strconv.ParseInt(size, chunkSizeRadix, 64)
	if err != nil {
		return 0, malformed("a chunk's size %q", size)
	}
	return n, nil
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// dropTrailers reads past the trailers, bounded, and ends the body.
func (b *Body) dropTrailers() error {
	for room := maxTrailers; ; {
		line, err := b.line(room)
		if err != nil {
			return err
		}
		if line == "" {
			b.done = true
			return nil
		}
		room -= len(line) + len("\r\n")
	}
}

// line reads a line of limit bytes at most and returns it without its CR LF.
func (b *Body) line(limit int) (string, error) {
	var out []byte
	for {
		part, err := b.r.ReadSlice('\n')
		if out = append(out, part...); len(out) > limit+len("\r\n") {
			return "", malformed("a line between chunks is too long")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", err
		}
		if len(out) < 2 || out[len(out)-2] != '\r' {
			return "", malformed("a line between chunks does not end with CR LF")
		}
		return string(out[:len(out)-2]), nil
	}
}
