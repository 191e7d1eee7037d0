package h1

import (
	"bufio"
	"errors"
	"io"
	"strconv"
)

const (
	mostChunkLine = 256
	mostTrailers  = 8 << 10
)

// ErrUnexpectedEnd tells that a body ended before its end.
var ErrUnexpectedEnd = errors.New("h1: the body ends early")

// Body reads a framed body. It ends with io.EOF after the whole of it, and
// never reads past its end.
type Body struct {
	r     *bufio.Reader
	left  int64 // of the body or the chunk
	kind  int64
	begun bool
	done  bool
}

// NewBody returns a reader of a body framed so.
func NewBody(r *bufio.Reader, framing int64) *Body {
	b := &Body{r: r, kind: framing, left: max(0, framing)}
	b.done = framing == 0
	return b
}

// ReadWhole reads a request with all of its body, for parties whose requests are
// short, as stand-ins' are.
func ReadWhole(r *bufio.Reader, mostHead int) (*Head, []byte, error) {
	h, err := ReadRequest(r, mostHead)
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

// ReadUpTo reads the body, or its first bytes where it is longer. One whose length is
// known is read into memory of that length.
func (b *Body) ReadUpTo(most int64) ([]byte, error) {
	if b.kind < 0 || b.left > most {
		return io.ReadAll(io.LimitReader(b, most))
	}
	body := make([]byte, b.left)
	n, err := io.ReadFull(b, body)
	return body[:n], err
}

// Done tells that the whole body was read.
func (b *Body) Done() bool { return b.done }

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

func short(err error) error {
	if err == io.EOF {
		return ErrUnexpectedEnd
	}
	return err
}

// nextChunk reads a chunk's size, with the end of the one before.
func (b *Body) nextChunk() error {
	if b.begun {
		if line, err := b.line(mostChunkLine); err != nil || line != "" {
			return errors.Join(err, bad("a chunk is longer than it says"))
		}
	}
	b.begun = true
	line, err := b.line(mostChunkLine)
	if err != nil {
		return err
	}
	size := line
	for i := range len(line) {
		if line[i] == ';' {
			size = line[:i]
			break
		}
	}
	if len(size) == 0 || len(size) > 15 {
		return bad("a chunk's size %q", size)
	}
	for i := range len(size) { // ParseInt would take a sign
		if c := size[i]; !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return bad("a chunk's size %q", size)
		}
	}
	if b.left, err = strconv.ParseInt(size, 16, 64); err != nil {
		return bad("a chunk's size %q", size)
	}
	if b.left > 0 {
		return nil
	}
	for room := mostTrailers; ; { // trailers are dropped
		line, err := b.line(room)
		if err != nil {
			return err
		}
		if room -= len(line) + 2; line == "" {
			b.done = true
			return nil
		}
	}
}

func (b *Body) line(most int) (string, error) {
	var out []byte
	for {
		part, err := b.r.ReadSlice('\n')
		if out = append(out, part...); len(out) > most+2 {
			return "", bad("a line between chunks is too long")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", err
		}
		if len(out) < 2 || out[len(out)-2] != '\r' {
			return "", bad("a line between chunks does not end with CR LF")
		}
		return string(out[:len(out)-2]), nil
	}
}
