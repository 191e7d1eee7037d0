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

// stray is an answer to a request before: another id, another's body.
func stray(id, framing, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sServer-Seal: other\r\n%s\r\n%s", id, framing, body)
}

// No byte of an answer that is another's, or nobody's, reaches a client, wherever
// it comes: before one's own, in one segment with it, behind an answer, while the
// connection rests, broken off. What stands behind it, with one's own id, is
// delivered; else what may be repeated goes elsewhere, and what may not is
// answered 502, as it may have run. (docs/incidents/0007)
func TestNobodyGetsAnothersResponse(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		const other = "ANOTHER-TENANTS-ANSWER"
		long := strings.Repeat(other, 4000)
		own := func(w io.Writer, h *h1.Head, body []byte) bool { return good("own")(w, h, body) }
		of := func(id string) string { return "Attempt-Id: " + id + "\r\n" }
		length := func(s string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(s)) }
		for name, c := range map[string]struct {
			before, after string
			silent        bool // nothing of one's own comes, and the connection ends
			once          int  // what a request that must not run twice is answered
		}{
			"before one's own":      {before: stray(of("x"), length(other), other), once: 200},
			"two before":            {before: strings.Repeat(stray(of("x"), length(other), other), 2), once: 200},
			"in chunks":             {before: stray(of("x"), "Transfer-Encoding: chunked\r\n", "16\r\n"+other+"\r\n0\r\n\r\n"), once: 200},
			"long":                  {before: stray(of("x"), length(long), long), once: 200},
			"without an id":         {before: stray("", length(other), other), once: 502},
			"with two ids":          {before: stray(of("x")+of("a1"), length(other), other), once: 502},
			"without an end":        {before: stray(of("x"), "", other), once: 502},
			"more than can be":      {before: strings.Repeat(stray(of("x"), length(other), other), attempt.MaxStrayResponses+1), once: 502},
			"instead of one's own":  {before: stray(of("x"), length(other), other), silent: true, once: 502},
			"broken off":            {before: stray(of("x"), "Content-Length: 999\r\n", other), silent: true, once: 502},
			"behind, in one piece":  {after: stray(of("a1"), length(other), other), once: 200},
			"a promise of another":  {before: "HTTP/1.1 503 x\r\nNot-Executed: 1\r\n" + of("x") + "Content-Length: 0\r\n\r\n", silent: true, once: 502},
			"half a head, one's id": {before: "HTTP/1.1 200 OK\r\n" + of("a1"), silent: true, once: 502},
		} {
			var runs atomic.Int64
			spoilt := func(w io.Writer, h *h1.Head, body []byte) bool {
				if strings.HasPrefix(h.Target, "/open/") {
					return good("open")(w, h, body)
				}
				if runs.Add(1) > 1 { // the second server, or the next request, is fine
					return own(w, h, body)
				}
				write(w, c.before)
				if c.silent {
					return false
				}
				var b strings.Builder
				own(&b, h, body)
				write(w, b.String()+c.after)
				return true
			}
			for _, path := range []string{"POST /once/", "GET /get/"} {
				g := newGateway(t, newBackend(t, spoilt), newBackend(t, spoilt))
				k := dial(t, g)
				for range 12 { // further tries are saved up
					k.send("GET /open/", "", "")
					k.want(200, "open")
				}
				runs.Store(0)
				fields, body, want := "", "", 200
				if strings.HasPrefix(path, "POST") {
					fields, body, want = "Content-Length: 4\r\n", "body", c.once
				}
				k.send(path, fields, body)
				h, got, err := k.answer()
				if err != nil || h.Status != want || strings.Contains(got, other) || want == 200 && got != "own" || h.Get("Server-Seal") == "other" {
					t.Errorf("%s, %s: %+v %q, %v; want %d", name, path, h, got, err, want)
				}
				if want == 502 && runs.Load() != 1 {
					t.Errorf("%s, %s: ran %d times", name, path, runs.Load())
				}
				k.send("GET /get/", "", "") // and the next one on whatever connection
				if h, got, err := k.answer(); err != nil || h.Status != 200 || got != "own" {
					t.Errorf("%s, %s: the next one: %+v %q, %v", name, path, h, got, err)
				}
			}
		}
	})
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
				write(w, stray("Attempt-Id: a1\r\n", "Content-Length: 2\r\n", "no"))
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
