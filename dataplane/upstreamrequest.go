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

// writeHead writes the head of the request to a server, and a buffered body.
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

// isSetByGateway reports whether a client's field is not forwarded because the gateway sets or handles it itself.
func isSetByGateway(name string) bool {
	return strings.EqualFold(name, "Time-Budget-Ms") || strings.EqualFold(name, "Target-Member") ||
		strings.EqualFold(name, "Tenant-Name") || strings.EqualFold(name, "Expect")
}

// streamTo forwards a streamed body of at most maxBody bytes. An error in the client's body is returned as an
// [h1.Error].
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
	defer r.closeBodyRead()
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

// closeBodyRead closes bodyRead if the body was read completely. A streamed body is sent once only, so this is called
// once only.
func (r *request) closeBodyRead() {
	if r.stream.Done() {
		close(r.bodyRead)
	}
}

// bodyFault converts an error from reading a client's body to an [h1.Error]. It returns nil at the end of the body.
func bodyFault(err error) error {
	if errors.As(err, new(*h1.Error)) {
		return err
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return &h1.Error{Status: 400, Reason: "the body breaks off"} // the server can't receive the complete body
}

// bodyStream writes a body to a server in pieces; the pacer schedules each on the link.
type bodyStream struct {
	ctx     context.Context // cancels the wait for the link
	w       io.Writer
	link    *link.Pacer
	chunked bool
	maxBody int64
	sent    int64
}

// write writes the next piece of the body.
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

// end writes the last chunk of a chunked body.
func (s *bodyStream) end() error {
	if !s.chunked {
		return nil
	}
	_, err := io.WriteString(s.w, "0\r\n\r\n")
	return err
}
