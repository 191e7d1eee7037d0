package dataplane

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/dataplane/link"
)

const (
	// Answers up to holdAnswer are read whole before a byte goes out: one that a
	// server breaks off can then still be asked of another.
	holdAnswer = 32 << 10
	copyBuffer = 16 << 10
)

// answer is the final answer to a request: one of our own, or a server's.
type answer struct {
	status     int
	reason     string // of our own answers: a code ...
	why        string // ... and plain text
	retryAfter time.Duration
	closes     bool

	from   *h1.Head // a server's
	body   []byte   // as far as it was read
	rest   *h1.Body // what follows, where it was not read whole
	length int64    // of all; h1.Chunks where it isn't known, h1.TillEnds where nothing is said of it
	free   func(whole bool)
}

// release gives back the connection to the server.
func (a *answer) release() {
	if a.free != nil {
		a.free(a.rest == nil || a.rest.Done())
		a.free = nil
	}
}

// unsized tells whether the answer's body ends with the connection, as its client knows
// no chunks (RFC 9112, 6.1).
func (a *answer) unsized(req *h1.Head) bool {
	return req != nil && req.HTTP10 && a.from != nil && a.length == h1.Chunked
}

var heads = sync.Pool{New: func() any { return new(bytes.Buffer) }}

var copies = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// writeTo writes the answer. An error leaves it visibly incomplete: the length
// is not reached or the last chunk is missing.
func (a *answer) writeTo(w io.Writer, req *h1.Head, l *link.Pacer) error {
	b := heads.Get().(*bytes.Buffer)
	defer heads.Put(b)
	b.Reset()
	text := http.StatusText(a.status)
	if text == "" {
		text = "Status"
	}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", a.status, text)
	body, length := a.body, a.length
	if a.from != nil {
		for _, f := range a.from.Fields {
			if !perConnection(a.from, f.Name) {
				field(b, f.Name, f.Value)
			}
		}
	} else {
		if req != nil {
			if id := req.Get("Attempt-Id"); id != "" {
				field(b, "Attempt-Id", id)
			}
		}
		if a.why != "" {
			field(b, "Content-Type", "text/plain")
			body = []byte(a.why + "\n")
		}
		length = int64(len(body))
		if a.retryAfter > 0 {
			field(b, "Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
	}
	if a.closes {
		field(b, "Connection", "close")
	}
	if a.unsized(req) {
		length = h1.UntilClose
	}
	none := a.status == 204 || a.status == 304
	switch {
	case none:
	case length >= 0:
		field(b, "Content-Length", strconv.FormatInt(length, 10))
	case length == h1.Chunked:
		field(b, "Transfer-Encoding", "chunked")
	}
	b.WriteString("\r\n")
	if req != nil && req.Method == "HEAD" {
		l.Record(b.Len())
		_, err := w.Write(b.Bytes())
		return err
	}
	chunked := length == h1.Chunked
	if chunked {
		if len(body) > 0 {
			fmt.Fprintf(b, "%x\r\n", len(body))
			b.Write(body)
			b.WriteString("\r\n")
		}
	} else {
		b.Write(body)
	}
	if a.rest == nil && chunked {
		b.WriteString("0\r\n\r\n")
	}
	l.Record(b.Len())
	if _, err := w.Write(b.Bytes()); err != nil || a.rest == nil {
		return err
	}
	return a.copyRest(w, chunked, l)
}

// copyRest writes what was not read whole, a quantum at a time, each when it is
// this body's turn on the link.
func (a *answer) copyRest(w io.Writer, chunked bool, l *link.Pacer) error {
	p := copies.Get().(*[]byte)
	defer copies.Put(p)
	const room = 8 // for a chunk's size
	buf := *p
	if l.SocketBuffer() > 0 {
		buf = buf[:link.Quantum]
	}
	for {
		n, err := a.rest.Read(buf[room : len(buf)-2])
		if n > 0 {
			if err := l.Wait(context.Background(), n); err != nil {
				return err
			}
			out := buf[room : room+n]
			if chunked {
				size := strconv.AppendInt(nil, int64(n), 16)
				at := room - len(size) - 2
				copy(buf[at:], size)
				buf[room-2], buf[room-1], buf[room+n], buf[room+n+1] = '\r', '\n', '\r', '\n'
				out = buf[at : room+n+2]
			}
			if _, err := w.Write(out); err != nil {
				return err
			}
		}
		if a.rest.Done() {
			if chunked {
				_, err = io.WriteString(w, "0\r\n\r\n")
				return err
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func field(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// perConnection tells whether a field concerns one connection only, or the
// framing, which is made anew (RFC 9110, 7.6.1).
func perConnection(h *h1.Head, name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length":
		return true
	}
	return !forAll(name) && h.HasToken("Connection", name)
}

// forAll tells of fields that are for the receiver at the far end whatever Connection
// says: without them a request is another one, and an answer is nobody's.
func forAll(name string) bool {
	switch len(name) { // most are neither
	case 4:
		return strings.EqualFold(name, "Host")
	case 10:
		return strings.EqualFold(name, "Attempt-Id")
	case 11:
		return strings.EqualFold(name, "Server-Seal")
	}
	return false
}
