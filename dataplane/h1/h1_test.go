package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

func read(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 64) }

// Malformed and ambiguous requests, which allow request smuggling, are rejected with the matching status.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	for text, want := range map[string]int{
		"GET / HTTP/1.1\nHost: x\r\n\r\n":                                                     400,
		"GET / HTTP/1.1\r\nHost : x\r\n\r\n":                                                  400,
		"GET / HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n":                                        400,
		"GET / HTTP/1.1\r\nHost: x\x00y\r\n\r\n":                                              400,
		"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n":                                                400,
		"G(T / HTTP/1.1\r\nHost: x\r\n\r\n":                                                   400,
		"GET / HTTP/2.0\r\nHost: x\r\n\r\n":                                                   505,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":          400,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n":                   400,
		"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n":                                       400,
		"POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n":                                     400,
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                         501,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":                               400,
		"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 2000) + "\r\n\r\n":                      431,
	} {
		h, err := ReadRequest(read(text), 1000)
		if err == nil {
			_, err = h.RequestFraming()
		}
		var e *Error
		if !errors.As(err, &e) || e.Status != want {
			t.Errorf("%q: %v, want %d", text, err, want)
		}
	}
}

// A body ends where its framing states, and the bytes after it remain for the next message.
func TestBodyEndsWhereItsFramingSays(t *testing.T) {
	for _, c := range []struct {
		text    string
		framing int64
		body    string
		ok      bool
		rest    string
	}{
		{"abcdef", 3, "abc", true, "def"},
		{"ab", 3, "ab", false, ""},
		{"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\nnext", Chunked, "abcde", true, "next"},
		{"3\r\nabc\r\n0\r\n", Chunked, "abc", false, ""},
		{"3\r\nabcd\r\n0\r\n\r\n", Chunked, "abc", false, ""},
		{"-1\r\n\r\n", Chunked, "", false, ""},
		{"0x3\r\nabc\r\n0\r\n\r\n", Chunked, "", false, ""},
		{"3\nabc\r\n0\r\n\r\n", Chunked, "", false, ""},
		{"ffffffffffffffff\r\n", Chunked, "", false, ""},
		{"all", UntilClose, "all", true, ""},
	} {
		r := read(c.text)
		b := NewBody(r, c.framing)
		data, err := io.ReadAll(b)
		if string(data) != c.body || (err == nil) != c.ok || b.Done() != c.ok {
			t.Errorf("%q: %q, %v, done %v", c.text, data, err, b.Done())
		}
		if rest, _ := io.ReadAll(r); c.ok && string(rest) != c.rest {
			t.Errorf("%q: %q remains unread", c.text, rest)
		}
	}
}

func TestResponseHeads(t *testing.T) {
	h, err := ReadResponse(read("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"+
		"HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 4\r\n\r\n"), 1000)
	if err != nil || h.Status != 200 || !h.ClosesConnection() {
		t.Fatalf("%+v, %v", h, err)
	}
	if n, err := h.ResponseFraming("GET"); n != 4 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
	for _, text := range []string{
		"HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 099 x\r\n\r\n", "nonsense\r\n\r\n", "HTTP/1.1 101 Switching\r\n\r\n",
	} {
		if h, err := ReadResponse(read(text), 1000); err == nil {
			t.Errorf("%q: %+v", text, h)
		}
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{"timeout=8": 8 * time.Second, "max=5, Timeout=3": 3 * time.Second,
		"": 0, "timeout=-1": 0, "timeout=x": 0, "timeout=99999999": 0} {
		h := Head{Fields: []Field{{"Keep-Alive", text}}}
		if got := h.KeepAlive(); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// For any client input, reading ends with an error or a request, and never takes bytes of a body for the next request.
func FuzzRequest(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n")
	f.Fuzz(func(t *testing.T, s string) {
		r := read(s)
		for range 10 {
			h, err := ReadRequest(r, 4096)
			if err != nil {
				return
			}
			n, err := h.RequestFraming()
			if err != nil {
				return
			}
			b := NewBody(r, n)
			got, err := io.Copy(io.Discard, b)
			if err == nil && n >= 0 && got != n || err == nil && !b.Done() {
				t.Fatalf("framing %d, read %d, %v", n, got, err)
			}
			if err != nil {
				return
			}
		}
	})
}

// For any server input, reading ends, and a body of known length ends after that length.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 204 x\r\n\r\n", false)
	f.Add("HTTP/1.1 100 x\r\n\r\n"+
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n0\r\nT: 1\r\n\r\n", false)
	f.Add("HTTP/1.0 503 \r\nNot-Executed: full\r\n\r\nrest", true)
	f.Fuzz(func(t *testing.T, s string, head bool) {
		r, method := read(s), "GET"
		if head {
			method = "HEAD"
		}
		for range 10 {
			h, err := ReadResponse(r, 4096)
			if err != nil {
				return
			}
			if h.Status < 200 || h.Status > 599 {
				t.Fatalf("status %d", h.Status)
			}
			h.KeepAlive()
			n, err := h.ResponseFraming(method)
			if err != nil {
				return
			}
			b := NewBody(r, n)
			got, err := io.Copy(io.Discard, b)
			if err == nil && (n >= 0 && got != n || !b.Done()) {
				t.Fatalf("framing %d, read %d", n, got)
			}
			if err != nil || n == UntilClose {
				return
			}
		}
	})
}

// Interim responses are skipped, up to a limit.
func TestInterimResponsesAreBounded(t *testing.T) {
	const interim, final = "HTTP/1.1 103 x\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"
	for n, want := range map[int]int{0: 200, maxInterim: 200, maxInterim + 1: 0} {
		h, err := ReadResponse(bufio.NewReader(strings.NewReader(strings.Repeat(interim, n)+final)), 100)
		if want == 0 && err == nil || want != 0 && (err != nil || h.Status != want) {
			t.Errorf("%d interim responses: %+v, %v", n, h, err)
		}
	}
}

// ReadUpTo returns at most limit bytes with every framing, also of a truncated body. For a known length it allocates
// only that length.
func TestReadUpToKeepsToItsLimit(t *testing.T) {
	text := strings.Repeat("0123456789", 500)
	chunked := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	for name, c := range map[string]struct {
		in      string
		framing int64
		limit   int64
		want    int // bytes
		short   bool
		done    bool
	}{
		"whole":          {text, 5000, 8000, 5000, false, true},
		"just whole":     {text, 5000, 5000, 5000, false, true},
		"longer":         {text, 5000, 4999, 4999, false, false},
		"none":           {text, 0, 100, 0, false, true},
		"cut":            {text[:4000], 5000, 8000, 4000, true, false},
		"nothing came":   {"", 5000, 8000, 0, true, false},
		"chunks":         {chunked, Chunked, 8000, 5000, false, true},
		"chunks, longer": {chunked, Chunked, 100, 100, false, false},
		"chunks, cut":    {chunked[:1000], Chunked, 8000, 994, true, false},
		"till the end":   {text, UntilClose, 8000, 5000, false, true},
	} {
		b := NewBody(bufio.NewReader(strings.NewReader(c.in)), c.framing)
		got, err := b.ReadUpTo(c.limit)
		wrongError := errors.Is(err, ErrUnexpectedEnd) != c.short || err != nil && !c.short
		if string(got) != text[:c.want] || wrongError || b.Done() != c.done {
			t.Errorf("%s: %d bytes, %v, done %v", name, len(got), err, b.Done())
		}
	}
	src := strings.NewReader(text)
	in := bufio.NewReader(src)
	if n := testing.AllocsPerRun(100, func() {
		src.Reset(text)
		in.Reset(src)
		b := Body{r: in, framing: 5000, remaining: 5000}
		if got, err := b.ReadUpTo(8000); len(got) != 5000 || err != nil {
			t.Error(len(got), err)
		}
	}); n > 2 { // the body and its reader
		t.Errorf("%v allocations", n)
	}
}
