// Package h1 parses HTTP/1.1 messages (RFC 9112) strictly. It rejects ambiguous messages, which different parsers could
// read differently, because they allow request smuggling.
package h1

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Error describes a malformed or unsupported message from the peer. Callers match it with [errors.As]. Its text is sent
// to clients unchanged.
type Error struct {
	Status int    // status code of the error response to the client
	Reason string // plain text
}

func (e *Error) Error() string { return e.Reason }

// malformed returns an Error with status 400.
func malformed(format string, args ...any) error { return &Error{400, fmt.Sprintf(format, args...)} }

// Field is a header field.
type Field struct{ Name, Value string }

// Head is the head of a request or a response.
type Head struct {
	Method, Target string // set in requests
	Status         int    // set in responses
	HTTP10         bool   // the version is HTTP/1.0
	Fields         []Field
}

// Get returns the first value of a field. Names are case-insensitive.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// Count returns the number of fields with a name.
func (h *Head) Count(name string) (n int) {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			n++
		}
	}
	return n
}

// HasToken reports whether a comma-separated list field contains a token.
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

// readLines reads up to and including the empty line. It returns tooLong if that is more than limit bytes.
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
		case n == 2: // skip empty lines before the first line (RFC 9112, 2.2)
			all = all[:0]
			limit -= 2
		case n >= 4 && all[n-4] == '\r' && all[n-3] == '\n':
			return string(all[:n-2]), nil
		}
	}
}

// ReadRequest reads a request head of at most limit bytes. The error is an *Error if the client is to be sent an error
// response.
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
	if h.Fields, err = parseFields(rest); err != nil {
		return nil, err
	}
	return h, nil
}

// maxInterim is the maximum number of interim (1xx) responses before a final response. The limit on each head does not
// bound their number.
const maxInterim = 8

// ReadResponse reads the head of a final response and skips interim responses (1xx). Each head may have at most limit
// bytes.
func ReadResponse(r *bufio.Reader, limit int) (*Head, error) {
	for interim := 0; ; interim++ {
		if interim > maxInterim {
			return nil, malformed("more than %d interim responses", maxInterim)
		}
		text, err := readLines(r, limit, errors.New("response head is too long"))
		if err != nil {
			return nil, err
		}
		line, rest, _ := strings.Cut(text, "\r\n")
		h := &Head{HTTP10: strings.HasPrefix(line, "HTTP/1.0 ")}
		if !h.HTTP10 && !strings.HasPrefix(line, "HTTP/1.1 ") || len(line) < 12 || len(line) > 12 && line[12] != ' ' {
			return nil, malformed("malformed status line")
		}
		if h.Status, err = strconv.Atoi(line[9:12]); err != nil || h.Status < 100 || h.Status > 599 {
			return nil, malformed("invalid status code %q", line[9:12])
		}
		if h.Fields, err = parseFields(rest); err != nil {
			return nil, err
		}
		if h.Status >= 200 {
			return h, nil
		}
		if h.Status == 101 {
			return nil, malformed("unsolicited 101 Switching Protocols")
		}
	}
}

// parseFields parses the header fields after the first line.
func parseFields(text string) ([]Field, error) {
	out := make([]Field, 0, strings.Count(text, "\r\n"))
	for text != "" {
		var line string
		line, text, _ = strings.Cut(text, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) { // rejects also folded lines and a space before the colon
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

// tokenSymbols are the characters allowed in a token besides letters and digits.
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

// isVisible reports whether s consists of visible ASCII characters.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// The framing of a body is its length in bytes or one of these constants.
const (
	Chunked    = -1 // chunked transfer coding
	UntilClose = -2 // the body of a response ends with the connection
)

// RequestFraming returns the framing of a request's body.
func (h *Head) RequestFraming() (int64, error) {
	n, framed, err := h.framing()
	if err != nil || framed {
		return n, err
	}
	return 0, nil
}

// ResponseFraming returns the framing of a response's body. method is that of the request.
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

// framing returns the framing stated by the header fields, and whether they state one.
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

// KeepAlive returns the idle timeout that the Keep-Alive field announces, in whole seconds; 0 if it announces none or
// the value is invalid.
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

// ClosesConnection reports whether the connection must be closed after this message.
func (h *Head) ClosesConnection() bool {
	return h.HasToken("Connection", "close") || h.HTTP10 && !h.HasToken("Connection", "keep-alive")
}
