package dataplane

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/versioned"
)

// A request may take longer than the idle timeout: the connection is idle only once its response was written. It used
// to be closed right behind that response, with the next request unanswered and nothing announced.
func TestIdleTimeoutBeginsWithTheLastResponse(t *testing.T) {
	t.Parallel()
	const idleTimeout = 500 * time.Millisecond
	for name, requests := range map[string]int{"one request": 1, "pipelined": maxPipelined + 4} {
		t.Run(name, func(t *testing.T) {
			inFakeTime(t, func(t testing.TB) {
				g := newGateway(t, newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
					time.Sleep(2 * idleTimeout)
					return respondOK("yes")(w, h, body)
				}))
				config := testConfig(inMs(time.Minute), api.RequestLimits{IdleTimeoutMs: inMs(idleTimeout)})
				config.Revision = 2
				applyConfig(t, g, &versioned.Table{}, config)
				c := dial(t, g)
				for range requests {
					c.send("GET /get/", "", "")
				}
				for range requests {
					if h := c.expect(200, "yes"); h.ClosesConnection() {
						t.Error("a response closes the connection")
					}
				}
				time.Sleep(idleTimeout * 9 / 10)
				c.send("GET /get/", "", "")
				c.expect(200, "yes")
				answered := time.Now()
				_, err := c.in.ReadByte()
				if took := time.Since(answered); err != io.EOF || took != idleTimeout {
					t.Errorf("the idle connection ends with %v after %v; want EOF after %v", err, took, idleTimeout)
				}
			})
		})
	}
}

// A long response whose deadline passes before its turn becomes a 504. It used to be begun and cut, and the responses
// behind it on the connection with it.
func TestLongResponseThatMissesItsTurnEndsNoConnection(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
			switch h.Target {
			case "/get/hangs":
				_, _ = io.Copy(io.Discard, w.(net.Conn)) // until the gateway closes the connection
				return false
			case "/get/long":
				return respondOK(strings.Repeat("x", 2*maxHeldResponse))(w, h, body)
			}
			return respondOK("yes")(w, h, body)
		})
		c := dial(t, newGateway(t, b))
		c.send("GET /get/hangs", "", "")
		c.send("GET /get/long", "", "")
		time.Sleep(time.Second)
		c.send("GET /get/", "", "")
		c.expect(504, "")
		c.expect(504, "")
		c.expect(200, "yes")
	})
}

// The deadline for writing a response does not hold for the interim response to a later request: a client that waits
// for it would never send its body.
func TestContinueIsSentLongAfterTheLastResponse(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		g := newGateway(t, newBackend(t, respondOK("yes")))
		g.listener.writeTimeout = time.Second
		c := dial(t, g)
		c.send("GET /get/", "", "")
		c.expect(200, "yes")
		time.Sleep(2 * time.Second)
		c.send("POST /once/", "Content-Length: 4\r\nExpect: 100-continue\r\n", "")
		if line, err := c.in.ReadString('\n'); err != nil || line != "HTTP/1.1 100 Continue\r\n" {
			t.Fatalf("%q, %v", line, err)
		}
		write(c, "body")
		if line, err := c.in.ReadString('\n'); err != nil || line != "\r\n" {
			t.Errorf("end of the interim response: %q, %v", line, err)
		}
		c.expect(200, "yes")
	})
}
