// Package h1 reads and writes HTTP/1.1 (RFC 9112), strictly: what two readers
// could take differently is an error, as a request could be hidden in it.
package h1

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Error says what is wrong with a message of the other side. Callers find it with [errors.As]. Its texts are sent to
// clients as they are.
type Error struct {
	Status int    // of the response to it
	Reason string // plain text
}

func (e *Error) Error() string { return e.Reason }

// malformed returns the error of a message that is answered 400.
func malformed(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// Field is one header field.
type Field struct{ Name, Value string }

// Head is the head of a request or a response.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	HTTP10         bool   // HTTP/1.0
	Fields         []Field
}

// Get returns the first value of a field, by its name in any case.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// Count returns how often a field stands there.
func (h *Head) Count(name string) (n int) {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			n++
		}
	}
	return n
}

// HasToken reports whether a list field holds a token.
func (h *Head) HasToken(name, token string) bool {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			for t := range strings.SplitSeq(h.Fields[i].Value, ",") {
				if strings.EqualFold(strings.TrimSpace(t), token) {
					return true
				}
			}
		}
	}
	return false
}

// readLines reads up to and with the empty line, of limit bytes at most; tooLong is returned beyond.
func readLines(r *bufio.Reader, limit int, tooLong error) (string, error) {
	var all []byte
	for {
		line, err := r.ReadSlice('\n')
		if len(all)+len(line) > limit {
			return "", tooLong
		}
		all = append(all, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", err
		}
		n := len(all)
		switch {
		case n < 2 || all[n-2] != '\r':
			return "", malformed("a line does not end with CR LF")
		case n == 2: // an empty line before the first one (RFC 9112, 2.2)
			all = all[:0]
			limit -= 2
		case n >= 4 && all[n-4] == '\r' && all[n-3] == '\n':
			return string(all[:n-2]), nil
		}
	}
}

// ReadRequest reads the head of a request, of limit bytes at most. The error is an *Error where the client is to be
// sent it.
func ReadRequest(r *bufio.Reader, limit int) (*Head, error) {
	text, err := readLines(r, limit, &Error{431, "the head is too long"})
	if err != nil {
		return nil, err
	}
	line, rest, _ := strings.Cut(text, "\r\n")
	method, line, ok1 := strings.Cut(line, " ")
	target, proto, ok2 := strings.Cut(line, " ")
	h := &Head{Method: method, Target: target}
	switch {
	case !ok1 || !ok2 || !isToken(method) || target == "" || !isVisible(target) || strings.Contains(proto, " "):
		return nil, malformed("the request line can't be read")
	case proto == "HTTP/1.0":
		h.HTTP10 = true
	case proto != "HTTP/1.1":
		return nil, &Error{505, "HTTP/1.1 is needed"}
	}
	if h.Fields, err = fields(rest); err != nil {
		return nil, err
	}
	return h, nil
}

// maxInterim is how many interim (1xx) responses may precede a response: each is bounded, but not all together.
const maxInterim = 8

// ReadResponse reads the head of a response, of limit bytes at most, and skips interim responses (1xx).
func ReadResponse(r *bufio.Reader, limit int) (*Head, error) {
	for interim := 0; ; interim++ {
		if interim > maxInterim {
			return nil, malformed("more than %d heads announce an answer", maxInterim)
		}
		text, err := readLines(r, limit, errors.New("the answer's head is too long"))
		if err != nil {
			return nil, err
		}
		line, rest, _ := strings.Cut(text, "\r\n")
		h := &Head{HTTP10: strings.HasPrefix(line, "HTTP/1.0 ")}
		if !h.HTTP10 && !strings.HasPrefix(line, "HTTP/1.1 ") || len(line) < 12 || len(line) > 12 && line[12] != ' ' {
			return nil, malformed("the status line can't be read")
		}
		if h.Status, err = strconv.Atoi(line[9:12]); err != nil || h.Status < 100 || h.Status > 599 {
			return nil, malformed("the status %q", line[9:12])
		}
		if h.Fields, err = fields(rest); err != nil {
			return nil, err
		}
		if h.Status >= 200 {
			return h, nil
		}
		if h.Status == 101 {
			return nil, malformed("a switch of protocols that nobody asked for")
		}
	}
}

// fields parses the header fields behind the first line.
func fields(text string) ([]Field, error) {
	out := make([]Field, 0, strings.Count(text, "\r\n"))
	for text != "" {
		var line string
		line, text, _ = strings.Cut(text, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) { // also a folded line, and a space before the colon
			return nil, malformed("a header field's name can't be read")
		}
		value = strings.Trim(value, " \t")
		for i := range len(value) {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return nil, malformed("the value of %s holds a control character", name)
			}
		}
		out = append(out, Field{name, value})
	}
	return out, nil
}

// tokenSymbols are the characters of a token besides letters and digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// isToken reports whether s is a token (RFC 9110, 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && !strings.ContainsRune(tokenSymbols, rune(c)) {
			return false
		}
	}
	return s != ""
}

// isVisible reports whether s has visible ASCII characters only.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// A framing is the length of a body in bytes, or one of these.
const (
	Chunked    = -1 // in chunks
	UntilClose = -2 // a response that ends with its connection
)

// RequestFraming returns the framing of a request's body.
func (h *Head) RequestFraming() (int64, error) {
	n, framed, err := h.framing()
	if err != nil || framed {
		return n, err
	}
	return 0, nil
}

// ResponseFraming returns the framing of the body of a response to a request's method.
func (h *Head) ResponseFraming(method string) (int64, error) {
	n, framed, err := h.framing()
	switch {
	case err != nil:
		return 0, err
	case method == "HEAD" || h.Status == 204 || h.Status == 304:
		return 0, nil
	case framed:
		return n, nil
	}
	return UntilClose, nil
}

// framing returns the framing that the fields state, and whether they state one.
func (h *Head) framing() (n int64, framed bool, err error) {
	te, cl := h.Count("Transfer-Encoding"), h.Count("Content-Length")
	switch {
	case te > 0 && cl > 0:
		return 0, false, malformed("both Content-Length and Transfer-Encoding")
	case te > 1 || cl > 1:
		return 0, false, malformed("Content-Length or Transfer-Encoding stands there twice")
	case te == 1 && h.HTTP10:
		return 0, false, malformed("Transfer-Encoding in HTTP/1.0")
	case te == 1:
		if !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked") {
			return 0, false, &Error{501, "a Transfer-Encoding other than chunked"}
		}
		return Chunked, true, nil
	case cl == 1:
		v := h.Get("Content-Length")
		if len(v) == 0 || len(v) > 18 || strings.Trim(v, "0123456789") != "" {
			return 0, false, malformed("Content-Length %q", v)
		}
		n, err = strconv.ParseInt(v, 10, 64)
		return n, true, err
	}
	return 0, false, nil
}

// KeepAlive returns how long the sender says that it keeps an idle connection, in
// whole seconds as it is stated; 0 where it says nothing that can be read.
func (h *Head) KeepAlive() time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.ParseUint(value, 10, 16); err == nil {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// ClosesConnection reports whether the sender closes the connection after this message.
func (h *Head) ClosesConnection() bool {
	return h.HasToken("Connection", "close") || h.HTTP10 && !h.HasToken("Connection", "keep-alive")
}
