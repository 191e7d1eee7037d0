package dataplane

import (
	"bufio"
	"sync/atomic"
	"testing"
	"time"

	"example.org/elmspan/dataplane/h1"
)

// A server drops idle connections without closing them, so the next request on one is reset. The first non-idempotent
// request affected gets 502, as it may have run. Once another limiter has reported the same, such requests use new
// connections and none fails. When each limiter had to learn this from several failures of its own, 228 of 14,235
// non-idempotent requests failed in simulated days with idle_race.
func TestStaleConnectionsAreAvoided(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		// In idle-age group 2 of connpool (50 to 100 ms), the group that the other limiter reports below.
		const idleTime = 60 * time.Millisecond
		l := listenOn(t)
		var dropsIdle atomic.Bool
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					defer closeConn(c)
					in := bufio.NewReader(c)
					for first := true; ; first = false {
						setDeadline(c, time.Now().Add(hangTimeout))
						if _, err := in.Peek(1); err != nil {
							return
						}
						if !first && dropsIdle.Load() {
							resetOnClose(c)
							return
						}
						h, body, err := h1.ReadFullRequest(in, 1<<16)
						if err != nil || !respondOK("filed")(c, h, body) {
							return
						}
					}
				}()
			}
		}()
		g := newGateway(t, &backend{addr: l.Addr().String()})
		c := dial(t, g)
		post := func() int {
			for g.forwarder.pool.IdleConns("i-0") > 0 && g.forwarder.pool.IdleTime("i-0") < idleTime {
				time.Sleep(time.Millisecond)
			}
			c.send("POST /once/", "Content-Length: 4\r\n", "body")
			h, _, err := c.readResponse()
			if err != nil {
				t.Fatal(err)
			}
			return h.Status
		}
		post()
		dropsIdle.Store(true)
		if status := post(); status != 502 {
			t.Errorf("first request on a dropped connection got status %d, want 502", status)
		}
		g.forwarder.pool.RecordStale(2, 7) // as if reported by limiter 7
		for range 6 {
			if status := post(); status != 200 {
				t.Errorf("later request got status %d, want 200", status)
			}
		}
	})
}
