package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"

	"example.org/elmspan/dataplane/h1"
)

// How a server ends the response that a framingCase describes.
const (
	endsInOrder = "whole"  // the response is complete
	endsClosed  = "closed" // the connection is closed in the middle of the body
	endsReset   = "reset"  // the connection is reset in the middle of the body
)

// Framing fields of a server's response.
const (
	framedByLength = "length"
	framedByChunks = "chunks"
	unframed       = "none" // the end of the connection delimits the body
)

// framingCase is a response of a server, and the request that it answers. Another request follows on the client's
// connection before the response has arrived.
type framingCase struct {
	status  int
	framing string
	size    int // of the body, in bytes
	ends    string
	method  string
	version string // of the client
	chunk   int    // bytes that the server writes at once
}

func (c *framingCase) String() string { return fmt.Sprintf("%+v", *c) }

// body returns the response body. All of its prefixes differ from it.
func (c *framingCase) body() string {
	return strings.Repeat("0123456789abcdef", c.size/16+1)[:max(0, c.size-1)] + "$"[:min(1, c.size)]
}

// bodyBytes returns the body as framed for the connection.
func (c *framingCase) bodyBytes() string {
	if c.framing != framedByChunks {
		return c.body()
	}
	if c.size == 0 {
		return "0\r\n\r\n"
	}
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", c.size, c.body())
}

// respond sends the response. It reports whether the connection stays open.
func (c *framingCase) respond(w io.Writer, id string) bool {
	fields := sealField(id)
	switch c.framing {
	case framedByLength:
		fields += lengthField(c.size)
	case framedByChunks:
		fields += "Transfer-Encoding: chunked\r\n"
	}
	out := c.bodyBytes()
	switch {
	case c.bodyless():
		out = ""
	case c.ends != endsInOrder:
		out = out[:len(out)/2]
	}
	write(w, responseHead(fmt.Sprint(c.status, " x"), id, fields))
	for len(out) > 0 {
		n := min(c.chunk, len(out))
		write(w, out[:n])
		out = out[n:]
	}
	if c.ends == endsReset {
		resetOnClose(w.(net.Conn))
	}
	return c.ends == endsInOrder && c.framing != unframed
}

// wholeAtServer reports whether the gateway knows that the response it received is the complete one. An unframed
// body that ends with an orderly close is complete by definition, wherever it ends.
func (c *framingCase) wholeAtServer() bool {
	return c.ends == endsInOrder || c.bodyless()
}

// bodyless reports whether the response has no body, whatever its framing fields state.
func (c *framingCase) bodyless() bool {
	return c.method == "HEAD" || c.status == 204 || c.status == 304
}

// requests returns the two requests as the client sends them.
func (c *framingCase) requests() string {
	keepAlive := ""
	if c.version == "HTTP/1.0" {
		keepAlive = "Connection: keep-alive\r\n"
	}
	const fields = "Host: h\r\nAuthorization: Token k\r\n"
	first := fmt.Sprintf("%s /get/first %s\r\nAttempt-Id: first\r\n%s%s\r\n", c.method, c.version, fields, keepAlive)
	return first + fmt.Sprintf("GET /get/second HTTP/1.1\r\nAttempt-Id: second\r\n%s\r\n", fields)
}

// check plays the case and returns what is wrong with the responses, "" if nothing is.
func (c *framingCase) check(t testing.TB) string {
	b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
		if h.Get("Attempt-Id") == "first" {
			return c.respond(w, "first")
		}
		return respondOK("second")(w, h, body)
	})
	conn := dial(t, newGateway(t, b))
	defer closeConn(conn)
	write(conn, c.requests())
	return c.judge(conn.in)
}

// judge reads the responses as a client does, by their framing alone.
func (c *framingCase) judge(in *bufio.Reader) string {
	h, err := h1.ReadResponse(in, 1<<16)
	if err != nil {
		return fmt.Sprintf("no response: %v", err)
	}
	framing, err := h.ResponseFraming(c.method)
	if err != nil {
		return fmt.Sprintf("ambiguous framing: %v", err)
	}
	got, err := io.ReadAll(h1.NewBody(in, framing))
	if wrong := c.judgeFraming(h, framing); wrong != "" {
		return wrong
	}
	if wrong := c.judgeBody(h, string(got), err); wrong != "" {
		return wrong
	}
	if err != nil || h.ClosesConnection() {
		return endOfConnection(in)
	}
	return nextResponse(in)
}

// judgeFraming returns what is wrong with the framing of the response, "" if nothing is.
func (c *framingCase) judgeFraming(h *h1.Head, framing int64) string {
	switch {
	case c.version == "HTTP/1.0" && framing == h1.Chunked:
		return "chunks for an HTTP/1.0 client"
	case framing == h1.UntilClose && !h.ClosesConnection():
		return "the body ends with the connection, but the connection is not announced to close"
	}
	return ""
}

// judgeBody returns what is wrong with the body as read, err being the error that ended it, "" if nothing is.
func (c *framingCase) judgeBody(h *h1.Head, got string, err error) string {
	fromServer := h.Get("Server-Seal") != ""
	switch {
	case fromServer && err == nil && c.method == "GET" && got != c.expectedBody():
		return fmt.Sprintf("%d bytes look like the whole body of %d", len(got), c.size)
	case err != nil && c.wholeAtServer():
		return fmt.Sprintf("a complete response of %d bytes breaks off after %d: %v", c.size, len(got), err)
	case c.mustBeForwarded() && (!fromServer || h.Status != c.status):
		return fmt.Sprintf("the server's response was replaced by status %d", h.Status)
	}
	return ""
}

// expectedBody returns the body that a client must take for the whole one.
func (c *framingCase) expectedBody() string {
	if c.status == 204 || c.status == 304 {
		return ""
	}
	if c.framing == unframed && c.ends == endsClosed {
		return c.body()[:c.size/2]
	}
	return c.body()
}

// mustBeForwarded reports whether the client must get the server's response: a failure with a complete body. A success
// without framing is not forwarded, as its end can't be distinguished from a truncation.
func (c *framingCase) mustBeForwarded() bool {
	return c.wholeAtServer() && (c.status/100 != 2 || c.framing != unframed || c.method == "HEAD" || c.status == 204)
}

// endOfConnection returns "" if nothing follows on a connection that was announced to close, or that broke off.
func endOfConnection(in *bufio.Reader) string {
	if b, err := in.ReadByte(); err == nil {
		return fmt.Sprintf("byte %q follows the end of the connection", b)
	}
	return ""
}

// nextResponse returns "" if the response to the second request follows.
func nextResponse(in *bufio.Reader) string {
	h, err := h1.ReadResponse(in, 1<<16)
	if err != nil || h.Get("Attempt-Id") != "second" {
		return fmt.Sprintf("next response: %+v, %v", h, err)
	}
	return ""
}

// framingSizes are the body sizes around each buffer that a response passes through.
func framingSizes() []int {
	sizes := []int{0, 1}
	for _, buffer := range []int{readBufferSize, copyBufferSize - chunkSizeRoom - chunkEndRoom, maxHeldResponse} {
		sizes = append(sizes, buffer-1, buffer, buffer+1)
	}
	return append(sizes, maxHeldResponse+copyBufferSize, 3*maxHeldResponse)
}

// A response without a stated length, whose body ends with the server's connection, was forwarded without framing once
// it was too long to buffer: the client took the next response for more of its body (docs/incidents/0026). Of every
// status, framing, size and end of a server's response, the client gets the whole body, or detects that it is
// truncated; and the next response on its connection is its own.
func TestUnframedResponseDoesNotTakeInTheNextResponse(t *testing.T) {
	t.Parallel()
	for _, status := range []int{200, 204, 301, 304, 400, 404, 500, 504} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			inFakeTime(t, func(t testing.TB) {
				for _, c := range framingCases(status) {
					if wrong := c.check(t); wrong != "" {
						t.Errorf("%v: %s", &c, wrong)
					}
				}
			})
		})
	}
}

// framingCases returns the combinations of everything but the status.
func framingCases(status int) (cases []framingCase) {
	for _, framing := range []string{framedByLength, framedByChunks, unframed} {
		for _, ends := range []string{endsInOrder, endsClosed, endsReset} {
			for _, method := range []string{"GET", "HEAD"} {
				for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
					for _, size := range framingSizes() {
						cases = append(cases, framingCase{status, framing, size, ends, method, version, size + 1})
					}
				}
			}
		}
	}
	return cases
}

// drawFramingCase draws a case by a seed.
func drawFramingCase(rng *rand.Rand) framingCase {
	pick := func(options ...string) string { return options[rng.IntN(len(options))] }
	sizes := framingSizes()
	c := framingCase{
		status:  []int{200, 204, 301, 304, 400, 401, 404, 410, 500, 501, 504}[rng.IntN(11)],
		framing: pick(framedByLength, framedByChunks, unframed),
		size:    sizes[rng.IntN(len(sizes))] + rng.IntN(9),
		ends:    pick(endsInOrder, endsClosed, endsReset),
		method:  pick("GET", "GET", "GET", "HEAD"),
		version: pick("HTTP/1.0", "HTTP/1.1", "HTTP/1.1"),
	}
	c.chunk = 1 + rng.IntN(c.size+1)
	return c
}

// Responses drawn by seeds, in pieces of any size, keep to the same rules.
func FuzzResponseFraming(f *testing.F) {
	for seed := range uint64(200) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		c := drawFramingCase(rand.New(rand.NewPCG(seed, 1)))
		inFakeTime(t, func(t testing.TB) {
			if wrong := c.check(t); wrong != "" {
				t.Errorf("seed %d: %v: %s", seed, &c, wrong)
			}
		})
	})
}
