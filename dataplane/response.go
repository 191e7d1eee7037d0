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
	// maxHeldResponse is up to which length a response is read whole before a byte of it goes out: one that a server
	// breaks off can then still be requested of another.
	maxHeldResponse = 32 << 10
	copyBufferSize  = 16 << 10
	chunkSizeRoom   = 8 // bytes before a chunk's data for its size: 6 hexadecimal digits and CR LF
	chunkEndRoom    = 2 // bytes behind it, for CR LF
)

// Pools of what a request needs for a moment.
var (
	bufferPool     = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	copyBufferPool = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}
)

// response is the final response to a request: the gateway's own, or a server's.
type response struct {
	status int
	closes bool // it says that the connection closes

	// Of the gateway's own responses.
	reason     string        // a code for logs and metrics
	text       string        // plain text for the client; "": no body
	retryAfter time.Duration // 0: not said

	// Of a server's responses.
	head   *h1.Head // nil: the response is the gateway's own
	body   []byte   // as far as it was read
	rest   *h1.Body // what follows, where it was not read whole
	length int64    // of all; h1.Chunked where it isn't known, h1.UntilClose where nothing is said of it

	free            func(whole bool) // lets go of the connection to the server; nil: there is none
	closeUpstream   func()           // closes that connection, where rest is read from it
	cancelInterrupt func() bool      // takes back what interruptOn has set; nil: nothing
}

// interruptOn has the end of a context close the connection to the server, if the rest of the body comes from it.
func (resp *response) interruptOn(ctx context.Context) {
	if resp.rest != nil && resp.closeUpstream != nil {
		resp.cancelInterrupt = context.AfterFunc(ctx, resp.closeUpstream)
	}
}

// release gives back the connection to the server. It may be called more than once.
func (resp *response) release() {
	if resp.free == nil {
		return
	}
	// An interrupted connection is closed, or will be: nobody else may have it.
	interrupted := resp.cancelInterrupt != nil && !resp.cancelInterrupt()
	resp.free(!interrupted && (resp.rest == nil || resp.rest.Done()))
	resp.free = nil
}

// endsWithConnection reports whether the end of the connection ends the body, as its client knows no chunks
// (RFC 9112, 6.1).
func (resp *response) endsWithConnection(requestHead *h1.Head) bool {
	return requestHead != nil && requestHead.HTTP10 && resp.head != nil && resp.length == h1.Chunked
}

// writeTo writes the response. An error leaves it visibly incomplete: the length is not reached or the last chunk is
// missing. requestHead is nil where the request could not be read. The context ends the wait for the link.
func (resp *response) writeTo(ctx context.Context, w io.Writer, requestHead *h1.Head, l *link.Pacer) error {
	b := bufferPool.Get().(*bytes.Buffer)
	defer bufferPool.Put(b)
	b.Reset()
	resp.writeStatusLine(b)
	body, length := resp.body, resp.length
	if resp.head != nil {
		resp.writeServerFields(b)
	} else {
		body = resp.writeOwnFields(b, requestHead)
		length = int64(len(body))
	}
	if resp.endsWithConnection(requestHead) {
		length = h1.UntilClose
	}
	resp.writeFraming(b, length)
	if requestHead != nil && requestHead.Method == "HEAD" {
		l.Record(b.Len())
		_, err := w.Write(b.Bytes())
		return err
	}
	chunked := length == h1.Chunked
	resp.writeHeldBody(b, body, chunked)
	l.Record(b.Len())
	if _, err := w.Write(b.Bytes()); err != nil || resp.rest == nil {
		return err
	}
	return resp.copyRest(ctx, w, chunked, l)
}

// writeStatusLine writes the first line.
func (resp *response) writeStatusLine(b *bytes.Buffer) {
	text := http.StatusText(resp.status)
	if text == "" {
		text = "Status"
	}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", resp.status, text)
}

// writeServerFields writes the fields of a server's response.
func (resp *response) writeServerFields(b *bytes.Buffer) {
	for _, f := range resp.head.Fields {
		if !isHopByHop(resp.head, f.Name) {
			writeField(b, f.Name, f.Value)
		}
	}
}

// writeOwnFields writes the fields of a response of the gateway's own, and returns its body.
func (resp *response) writeOwnFields(b *bytes.Buffer, requestHead *h1.Head) (body []byte) {
	if requestHead != nil {
		if id := requestHead.Get("Attempt-Id"); id != "" {
			writeField(b, "Attempt-Id", id)
		}
	}
	if resp.text != "" {
		writeField(b, "Content-Type", "text/plain")
		body = []byte(resp.text + "\n")
	}
	if resp.retryAfter > 0 {
		writeField(b, "Retry-After", strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', 3, 64))
	}
	return body
}

// writeFraming writes the fields that concern this connection, and the end of the head.
func (resp *response) writeFraming(b *bytes.Buffer, length int64) {
	if resp.closes {
		writeField(b, "Connection", "close")
	}
	switch {
	case resp.status == http.StatusNoContent, resp.status == http.StatusNotModified: // no body, and nothing said of one
	case length >= 0:
		writeField(b, "Content-Length", strconv.FormatInt(length, 10))
	case length == h1.Chunked:
		writeField(b, "Transfer-Encoding", "chunked")
	}
	b.WriteString("\r\n")
}

// writeHeldBody writes the body as far as it is held, with the last chunk where that is all.
func (resp *response) writeHeldBody(b *bytes.Buffer, body []byte, chunked bool) {
	if !chunked {
		b.Write(body)
		return
	}
	if len(body) > 0 {
		fmt.Fprintf(b, "%x\r\n", len(body))
		b.Write(body)
		b.WriteString("\r\n")
	}
	if resp.rest == nil {
		b.WriteString("0\r\n\r\n")
	}
}

// copyRest writes what was not read whole, a quantum at a time, each when it is this body's turn on the link.
func (resp *response) copyRest(ctx context.Context, w io.Writer, chunked bool, l *link.Pacer) error {
	p := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(p)
	buf := *p
	if l.SocketBuffer() > 0 {
		buf = buf[:link.Quantum]
	}
	for {
		n, err := resp.rest.Read(buf[chunkSizeRoom : len(buf)-chunkEndRoom])
		if n > 0 {
			if err := l.Wait(ctx, n); err != nil {
				return err
			}
			out := buf[chunkSizeRoom : chunkSizeRoom+n]
			if chunked {
				out = frameChunk(buf, n)
			}
			if _, err := w.Write(out); err != nil {
				return err
			}
		}
		if resp.rest.Done() {
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

// frameChunk makes a chunk of the n bytes that stand in buf behind the room for the size, and returns it.
func frameChunk(buf []byte, n int) []byte {
	size := strconv.AppendInt(nil, int64(n), 16)
	start, end := chunkSizeRoom-len(size)-2, chunkSizeRoom+n
	copy(buf[start:], size)
	copy(buf[chunkSizeRoom-2:], "\r\n")
	copy(buf[end:], "\r\n")
	return buf[start : end+chunkEndRoom]
}

// writeField writes one header field.
func writeField(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// isHopByHop reports whether a field concerns one connection only, or the framing, which is made anew (RFC 9110,
// 7.6.1).
func isHopByHop(h *h1.Head, name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
		"content-length":
		return true
	}
	return !isEndToEnd(name) && h.HasToken("Connection", name)
}

// isEndToEnd reports whether a field is for the receiver at the far end whatever Connection says: without it a request
// is another one, and a response is nobody's.
func isEndToEnd(name string) bool {
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
