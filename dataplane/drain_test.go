package dataplane

import (
	"io"
	"testing"
	"time"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/settings"
)

// A request that is sent while the gateway still accepts connections after SIGTERM is answered, even if its server
// responds only just before the route's timeout of 3 s, or just before the last sixth of the grace period if that comes
// first.
func TestDrainAnswersUntilTheLastSixthOfTheGracePeriod(t *testing.T) {
	t.Parallel()
	const grace = 6 * time.Second
	for name, sentAt := range map[string]time.Duration{
		"kept-alive connection": 0, "as late as connections are accepted": acceptAfterTerm - 50*time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			inFakeTime(t, func(t testing.TB) {
				start := time.Now()
				b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
					if h.Target != warmTarget {
						time.Sleep(time.Until(start.Add(min(sentAt+2900*time.Millisecond, grace*5/6-time.Millisecond))))
					}
					return respondOK("yes")(w, h, body)
				})
				g := newGatewayWithTiming(t, settings.Timing{GraceS: grace.Seconds()}, b)
				g.listener.acceptFor = acceptAfterTerm
				c := dial(t, g)
				c.send("GET "+warmTarget, "", "")
				c.expect(200, "yes")
				start = time.Now()
				go g.listener.drain(grace)
				time.Sleep(sentAt)
				if sentAt > 0 {
					c = dial(t, g)
				}
				c.send("POST /once/", "Content-Length: 4\r\n", "body")
				if h := c.expect(200, "yes"); !h.ClosesConnection() {
					t.Error("response has no Connection: close")
				}
			})
		})
	}
}
