package dataplane

import (
	"io"
	"testing"
	"time"

	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/settings"
)

// A request that is sent while connections are still accepted after SIGTERM is answered, also where its server works
// until the last sixth of the grace period begins.
func TestDrainAnswersUntilTheLastSixthOfTheGracePeriod(t *testing.T) {
	t.Parallel()
	const grace = 6 * time.Second
	for name, sentAt := range map[string]time.Duration{
		"kept connection": 0, "as late as connections are accepted": acceptAfterTerm - 50*time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			inFakeTime(t, func(t testing.TB) {
				begun := time.Now()
				b := newBackend(t, func(w io.Writer, h *h1.Head, body []byte) bool {
					if h.Target != warmTarget {
						time.Sleep(time.Until(begun.Add(min(sentAt+2900*time.Millisecond, grace*5/6-time.Millisecond))))
					}
					return good("yes")(w, h, body)
				})
				g := newGatewayOf(t, settings.Timing{GraceS: grace.Seconds()}, b)
				g.listener.acceptFor = acceptAfterTerm
				c := dial(t, g)
				c.send("GET "+warmTarget, "", "")
				c.want(200, "yes")
				begun = time.Now()
				go g.listener.drain(grace)
				time.Sleep(sentAt)
				if sentAt > 0 {
					c = dial(t, g)
				}
				c.send("POST /once/", "Content-Length: 4\r\n", "body")
				if h := c.want(200, "yes"); !h.ClosesConnection() {
					t.Error("the response does not say that the connection closes")
				}
			})
		})
	}
}
