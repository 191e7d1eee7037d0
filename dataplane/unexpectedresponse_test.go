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

// otherResponse is a response to a request before: another id, another's body.
func otherResponse(id, framing, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sServer-Seal: other\r\n%s\r\n%s", id, framing, body)
}

// otherBody is the body of responses that are not the client's.
const otherBody = "ANOTHER-TENANTS-ANSWER"

// interference is what a server sends beside the response that is due.
type interference struct {
	before, after string // the own response
	ends          bool   // no response of the client's own comes, and the connection ends
	once          int    // the status for a request that must not run twice
}

// interferences are the ways in which another response may come.
func interferences() map[string]interference {
	long := strings.Repeat(otherBody, 4000)
	of := func(id string) string { return "Attempt-Id: " + id + "\r\n" }
	other := otherResponse(of("x"), sized(len(otherBody)), otherBody)
	chunked := otherResponse(of("x"), "Transfer-Encoding: chunked\r\n", "16\r\n"+otherBody+"\r\n0\r\n\r\n")
	twoIDs := otherResponse(of("x")+of("a1"), sized(len(otherBody)), otherBody)
	refusal := "HTTP/1.1 503 x\r\nNot-Executed: 1\r\n" + of("x") + "Content-Length: 0\r\n\r\n"
	return map[string]interference{
		"before one's own":      {before: other, once: 200},
		"two before":            {before: strings.Repeat(other, 2), once: 200},
		"in chunks":             {before: chunked, once: 200},
		"long":                  {before: otherResponse(of("x"), sized(len(long)), long), once: 200},
		"without an id":         {before: otherResponse("", sized(len(otherBody)), otherBody), once: 502},
		"with two ids":          {before: twoIDs, once: 502},
		"without an end":        {before: otherResponse(of("x"), "", otherBody), once: 502},
		"more than can be":      {before: strings.Repeat(other, attempt.MaxStrayResponses+1), once: 502},
		"instead of one's own":  {before: other, ends: true, once: 502},
		"broken off":            {before: otherResponse(of("x"), sized(999), otherBody), ends: true, once: 502},
		"behind, in one piece":  {after: otherResponse(of("a1"), sized(len(otherBody)), otherBody), once: 200},
		"a promise of another":  {before: refusal, ends: true, once: 502},
		"half a head, one's id": {before: "HTTP/1.1 200 OK\r\n" + of("a1"), ends: true, once: 502},
	}
}

// No byte of a response that is another's, or nobody's, reaches a client, wherever it comes: before one's own, in one
// segment with it, behind it, while the connection is idle, truncated. What stands behind it, with one's own id, is
// delivered; else an idempotent request goes elsewhere, and one that isn't is answered 502, as it may have run.
// (docs/incidents/0007)
func TestNobodyGetsAnothersResponse(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		for name, c := range interferences() {
			c.test(t, name, "POST /once/", "Content-Length: 4\r\n", "body", c.once)
			c.test(t, name, "GET /get/", "", "", 200)
		}
	})
}

// answerer returns what a server does, which counts the requests that it runs.
func (c *interference) answerer(runs *atomic.Int64) func(w io.Writer, h *h1.Head, body []byte) bool {
	return func(w io.Writer, h *h1.Head, body []byte) bool {
		if strings.HasPrefix(h.Target, "/open/") {
			return good("open")(w, h, body)
		}
		if runs.Add(1) > 1 { // the second server, or the next request, is fine
			return good("own")(w, h, body)
		}
		write(w, c.before)
		if c.ends {
			return false
		}
		var b strings.Builder
		good("own")(&b, h, body)
		write(w, b.String()+c.after)
		return true
	}
}

// test sends a request, the first attempt at which meets the interference.
func (c *interference) test(t testing.TB, name, line, fields, body string, want int) {
	t.Helper()
	var runs atomic.Int64
	interfered := c.answerer(&runs)
	k := dial(t, newGateway(t, newBackend(t, interfered), newBackend(t, interfered)))
	for range 12 { // retries are saved up
		k.send("GET /open/", "", "")
		k.want(200, "open")
	}
	runs.Store(0)
	k.send(line, fields, body)
	h, got, err := k.answer()
	other := strings.Contains(got, otherBody) || h != nil && h.Get("Server-Seal") == "other"
	if err != nil || h.Status != want || other || want == 200 && got != "own" {
		t.Errorf("%s, %s: %+v %q, %v; want %d", name, line, h, got, err, want)
	}
	if want == 502 && runs.Load() != 1 {
		t.Errorf("%s, %s: ran %d times", name, line, runs.Load())
	}
	k.send("GET /get/", "", "") // and the next one on whatever connection
	if h, got, err := k.answer(); err != nil || h.Status != 200 || got != "own" {
		t.Errorf("%s, %s: the next one: %+v %q, %v", name, line, h, got, err)
	}
}

// An answer that comes while the connection rests is seen before it is used again.
func TestUnexpectedResponseOnAnIdleConnection(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		late := make(chan struct{})
		var n atomic.Int64
		g := newGateway(t, newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
			good("own")(w, h, body)
			if n.Add(1) == 1 {
				write(w, otherResponse("Attempt-Id: a1\r\n", "Content-Length: 2\r\n", "no"))
				close(late)
			}
			return true
		}))
		c := dial(t, g)
		c.send("GET /get/", "", "")
		c.want(200, "own")
		<-late
		for range 3 {
			c.send("GET /get/", "", "")
			c.want(200, "own")
		}
	})
}
