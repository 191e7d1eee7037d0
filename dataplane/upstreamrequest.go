package dataplane

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/dataplane/link"
)

// writeHead writes the head of a request as a server gets it, with a body that is held.
func (r *request) writeHead(b *bytes.Buffer, member string) {
	b.WriteString(r.head.Method)
	b.WriteByte(' ')
	b.WriteString(r.head.Target)
	b.WriteString(" HTTP/1.1\r\n")
	for _, f := range r.head.Fields {
		if isHopByHop(r.head, f.Name) || isSetByGateway(f.Name) ||
			r.keyRequired && strings.EqualFold(f.Name, "Authorization") {
			continue
		}
		writeField(b, f.Name, f.Value)
	}
	writeField(b, "Time-Budget-Ms", strconv.FormatInt(max(1, time.Until(r.deadline).Milliseconds()), 10))
	writeField(b, "Target-Member", member)
	if r.tenant != nil {
		writeField(b, "Tenant-Name", r.tenant.name)
	}
	switch {
	case r.stream != nil && r.length < 0:
		writeField(b, "Transfer-Encoding", "chunked")
	case r.stream != nil:
		writeField(b, "Content-Length", strconv.FormatInt(r.length, 10))
	case len(r.body) > 0 || r.head.Method == "POST" || r.head.Method == "PUT" || r.head.Method == "PATCH":
		writeField(b, "Content-Length", strconv.Itoa(len(r.body)))
	}
	b.WriteString("\r\n")
	if r.stream == nil {
		b.Write(r.body)
	}
}

// isSetByGateway reports whether the gateway sets a field itself, whatever a client sent.
func isSetByGateway(name string) bool {
	return strings.EqualFold(name, "Time-Budget-Ms") || strings.EqualFold(name, "Target-Member") ||
		strings.EqualFold(name, "Tenant-Name") || strings.EqualFold(name, "Expect")
}

// streamTo sends a body that is too long to be held, of maxBody bytes at most. What the client does wrong meanwhile is
// an [h1.Error].
func (r *request) streamTo(w io.Writer, maxBody int64, l *link.Pacer) error {
	s := bodyStream{ctx: r.attemptContext(), w: w, link: l, chunked: r.length < 0, maxBody: maxBody}
	p := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(p)
	buf := *p
	if len(r.body) > 0 {
		if err := s.write(r.body); err != nil {
			return err
		}
	}
	defer r.noteBodyRead()
	for !r.stream.Done() {
		n, err := r.stream.Read(buf)
		if n > 0 {
			if err := s.write(buf[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			if err = bodyFault(err); err != nil {
				return err
			}
		}
	}
	return s.end()
}

// noteBodyRead notes whether the stream was read whole. It is sent once only, so that this is called once.
func (r *request) noteBodyRead() {
	if r.stream.Done() {
		close(r.bodyRead)
	}
}

// bodyFault returns what is wrong with a client's body, by the error of reading it; nil at its end.
func bodyFault(err error) error {
	if errors.As(err, new(*h1.Error)) {
		return err
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return &h1.Error{Status: 400, Reason: "the body breaks off"} // its server never has the whole
}

// bodyStream writes a body to a server piece by piece, each when it is its turn on the link.
type bodyStream struct {
	ctx     context.Context // ends the wait for the link
	w       io.Writer
	link    *link.Pacer
	chunked bool
	maxBody int64
	sent    int64
}

// write sends the next bytes.
func (s *bodyStream) write(data []byte) error {
	if s.sent += int64(len(data)); s.sent > s.maxBody {
		return &h1.Error{Status: 413, Reason: "the body is too long"}
	}
	if err := s.link.Wait(s.ctx, len(data)); err != nil {
		return err
	}
	if !s.chunked {
		_, err := s.w.Write(data)
		return err
	}
	chunk := append(strconv.AppendInt(nil, int64(len(data)), 16), "\r\n"...)
	chunk = append(append(chunk, data...), "\r\n"...)
	_, err := s.w.Write(chunk)
	return err
}

// end sends what marks the body as whole.
func (s *bodyStream) end() error {
	if !s.chunked {
		return nil
	}
	_, err := io.WriteString(s.w, "0\r\n\r\n")
	return err
}
