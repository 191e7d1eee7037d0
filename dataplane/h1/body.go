package h1

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

const (
	maxChunkLine   = 256     // bytes of a chunk-size line
	maxTrailers    = 8 << 10 // bytes of all trailers
	maxSizeDigits  = 15      // hexadecimal digits of a chunk size, so that it fits an int64
	chunkSizeRadix = 16
)

// ErrUnexpectedEnd is returned by reads if the connection ends before the body is complete.
var ErrUnexpectedEnd = errors.New("h1: connection ended before the end of the body")

// Body reads a message body with a given framing. Read returns io.EOF at the end of the body and never consumes bytes
// beyond it.
type Body struct {
	r         *bufio.Reader
	remaining int64 // unread bytes of the body, or of the current chunk
	framing   int64 // Chunked, UntilClose or the length
	started   bool  // the first chunk-size line was reached
	done      bool
}

// NewBody returns a reader for a body whose framing is a length, Chunked or UntilClose.
func NewBody(r *bufio.Reader, framing int64) *Body {
	b := &Body{r: r, framing: framing, remaining: max(0, framing)}
	b.done = framing == 0
	return b
}

// ReadFullRequest reads a request with its complete body, for programs with short requests, such as the emulated
// servers. The head may have at most maxHead bytes.
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

// ReadUpTo reads the body, or its first limit bytes if it is longer. For a body of known length within the limit it
// allocates exactly that length.
func (b *Body) ReadUpTo(limit int64) ([]byte, error) {
	if b.framing < 0 || b.remaining > limit {
		return io.ReadAll(io.LimitReader(b, limit))
	}
	body := make([]byte, b.remaining)
	n, err := io.ReadFull(b, body)
	return body[:n], err
}

// Done reports whether the body was read completely.
func (b *Body) Done() bool { return b.done }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.framing == Chunked && b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, unexpectedEnd(err)
		}
		if b.done {
			return 0, io.EOF
		}
	}
	if b.framing != UntilClose && int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	if b.framing == UntilClose {
		b.done = err == io.EOF
		return n, err
	}
	if b.remaining -= int64(n); b.remaining == 0 && b.framing != Chunked {
		b.done = true
		return n, nil
	}
	return n, unexpectedEnd(err)
}

// unexpectedEnd converts io.EOF inside a body to ErrUnexpectedEnd. It returns other errors unchanged, and also io.EOF
// joined with an [Error], which says more.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) && !errors.As(err, new(*Error)) {
		return ErrUnexpectedEnd
	}
	return err
}

// nextChunk reads the line end after the previous chunk, if any, and the size of the next one. After the last chunk it
// discards the trailers.
func (b *Body) nextChunk() error {
	if b.started {
		if line, err := b.readLine(maxChunkLine); err != nil || line != "" {
			return errors.Join(err, malformed("a chunk is longer than it says"))
		}
	}
	b.started = true
	line, err := b.readLine(maxChunkLine)
	if err != nil {
		return err
	}
	if b.remaining, err = parseChunkSize(line); err != nil {
		return err
	}
	if b.remaining > 0 {
		return nil
	}
	return b.skipTrailers()
}

// parseChunkSize parses a chunk-size line and ignores chunk extensions.
func parseChunkSize(line string) (int64, error) {
	size, _, _ := strings.Cut(line, ";")
	if size == "" || len(size) > maxSizeDigits {
		return 0, malformed("a chunk's size %q", size)
	}
	for i := range len(size) { // ParseInt would accept a sign
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

// skipTrailers discards the trailers, of maxTrailers bytes at most, and marks the body as complete.
func (b *Body) skipTrailers() error {
	for room := maxTrailers; ; {
		line, err := b.readLine(room)
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

// readLine reads a line of at most limit bytes and returns it without its CR LF.
func (b *Body) readLine(limit int) (string, error) {
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
