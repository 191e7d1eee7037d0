package dataplane

import (
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"

	"example.org/elmspan/dataplane/attempt"
	"example.org/elmspan/dataplane/h1"
)

// otherResponse returns a response that does not belong to the client's request, such as one to an earlier request.
func otherResponse(id, framing, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sServer-Seal: other\r\n%s\r\n%s", id, framing, body)
}

// otherBody is the body of responses that do not belong to the client's request.
const otherBody = "ANOTHER-TENANTS-ANSWER"

// interference is what a server sends in addition to, or instead of, the response to the request.
type interference struct {
	before, after string // sent before and after the correct response
	closes        bool   // the server sends no correct response and closes the connection
	status        int    // expected status of a non-idempotent request
}

// interferences returns the ways in which a server may send a response that does not belong to the request.
func interferences() map[string]interference {
	long := strings.Repeat(otherBody, 4000)
	idField := func(id string) string { return "Attempt-Id: " + id + "\r\n" }
	other := otherResponse(idField("x"), lengthField(len(otherBody)), otherBody)
	chunked := otherResponse(idField("x"), "Transfer-Encoding: chunked\r\n", "16\r\n"+otherBody+"\r\n0\r\n\r\n")
	twoIDs := otherResponse(idField("x")+idField("a1"), lengthField(len(otherBody)), otherBody)
	refusal := "HTTP/1.1 503 x\r\nNot-Executed: 1\r\n" + idField("x") + "Content-Length: 0\r\n\r\n"
	return map[string]interference{
		"before the response":     {before: other, status: 200},
		"two before the response": {before: strings.Repeat(other, 2), status: 200},
		"in chunks":               {before: chunked, status: 200},
		"long":                    {before: otherResponse(idField("x"), lengthField(len(long)), long), status: 200},
		"without an id":           {before: otherResponse("", lengthField(len(otherBody)), otherBody), status: 502},
		"with two ids":            {before: twoIDs, status: 502},
		"without an end":          {before: otherResponse(idField("x"), "", otherBody), status: 502},
		"more than the maximum":   {before: strings.Repeat(other, attempt.MaxStrayResponses+1), status: 502},
		"instead of the response": {before: other, closes: true, status: 502},
		"truncated body": {
			before: otherResponse(idField("x"), lengthField(999), otherBody), closes: true, status: 502,
		},
		"after the response, one segment": {
			after: otherResponse(idField("a1"), lengthField(len(otherBody)), otherBody), status: 200,
		},
		"Not-Executed for another":          {before: refusal, closes: true, status: 502},
		"truncated head, id of the request": {before: "HTTP/1.1 200 OK\r\n" + idField("a1"), closes: true, status: 502},
	}
}

// No byte of a response to another request, or of one without an id, reaches a client, whether it arrives before the
// correct response, in one segment with it, after it, on an idle connection, or truncated. A correct response that
// follows it is delivered. Without one, an idempotent request is retried on another server, and a non-idempotent one
// gets 502, as it may have run (docs/incidents/0007).
func TestNobodyGetsAnothersResponse(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		for name, c := range interferences() {
			c.test(t, name, "POST /once/", "Content-Length: 4\r\n", "body", c.status)
			c.test(t, name, "GET /get/", "", "", 200)
		}
	})
}

// handler returns a server's request handler, which counts the requests that it runs.
func (c *interference) handler(runs *atomic.Int64) func(w io.Writer, h *h1.Head, body []byte) bool {
	return func(w io.Writer, h *h1.Head, body []byte) bool {
		if strings.HasPrefix(h.Target, "/open/") {
			return respondOK("open")(w, h, body)
		}
		if runs.Add(1) > 1 { // the second server and later requests get the correct response
			return respondOK("own")(w, h, body)
		}
		write(w, c.before)
		if c.closes {
			return false
		}
		var b strings.Builder
		respondOK("own")(&b, h, body)
		write(w, b.String()+c.after)
		return true
	}
}

// test sends a request whose first attempt is subject to the interference.
func (c *interference) test(t testing.TB, name, line, fields, body string, want int) {
	t.Helper()
	var runs atomic.Int64
	interfered := c.handler(&runs)
	k := dial(t, newGateway(t, newBackend(t, interfered), newBackend(t, interfered)))
	for range 12 { // fills the retry budget
		k.send("GET /open/", "", "")
		k.expect(200, "open")
	}
	runs.Store(0)
	k.send(line, fields, body)
	h, got, err := k.readResponse()
	other := strings.Contains(got, otherBody) || h != nil && h.Get("Server-Seal") == "other"
	if err != nil || h.Status != want || other || want == 200 && got != "own" {
		t.Errorf("%s, %s: %+v %q, %v; want %d", name, line, h, got, err, want)
	}
	if want == 502 && runs.Load() != 1 {
		t.Errorf("%s, %s: ran %d times", name, line, runs.Load())
	}
	k.send("GET /get/", "", "") // the next request, on the same or another connection
	if h, got, err := k.readResponse(); err != nil || h.Status != 200 || got != "own" {
		t.Errorf("%s, %s: next request: %+v %q, %v", name, line, h, got, err)
	}
}

// A response that arrives on an idle connection is detected before the connection is used again.
func TestUnexpectedResponseOnAnIdleConnection(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		late := make(chan struct{})
		var n atomic.Int64
		g := newGateway(t, newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
			respondOK("own")(w, h, body)
			if n.Add(1) == 1 {
				write(w, otherResponse("Attempt-Id: a1\r\n", "Content-Length: 2\r\n", "no"))
				close(late)
			}
			return true
		}))
		c := dial(t, g)
		c.send("GET /get/", "", "")
		c.expect(200, "own")
		<-late
		for range 3 {
			c.send("GET /get/", "", "")
			c.expect(200, "own")
		}
	})
}
