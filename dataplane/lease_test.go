package dataplane

import (
	"testing"
	"time"

	"example.org/elmspan/settings"
)

// Without a lease, the configuration may be stale: a route may have been added, changed or removed since. The gateway
// then rejects every request with 503 and Retry-After, whether or not the request needs a key. It used to answer 404
// for a route that had been added meanwhile, and to forward anonymous requests to the server of a route that had been
// removed (incidents 0021 and 0022).
func TestNothingIsAnsweredFromAConfigurationWithoutALease(t *testing.T) {
	t.Parallel()
	for name, request := range map[string]string{
		"known key":   "GET /get/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nAuthorization: Token k\r\n\r\n",
		"unknown key": "GET /get/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nAuthorization: Token bad\r\n\r\n",
		"no key":      "GET /get/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
		"anonymous":   "GET /open/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
		"no route":    "GET /none/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n",
		"other host":  "GET /get/ HTTP/1.1\r\nHost: other\r\nAttempt-Id: a\r\nAuthorization: Token k\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			inFakeTime(t, func(t testing.TB) {
				server := newBackend(t, respondOK("yes"))
				g := newGateway(t, server)
				g.lease.expiresAt.Store(0)
				c := dial(t, g)
				write(c, request)
				if h := c.expect(503, ""); h.Get("Retry-After") == "" {
					t.Error("no Retry-After")
				}
				if ran := server.requests.Load(); ran != 0 {
					t.Errorf("server got %d requests, want none", ran)
				}
			})
		})
	}
}

// A revocation limit of 500 ms made the lease 0, which means that none is needed: keys were served for ever from an old
// configuration (docs/incidents/0029). Whatever the limit, a lease is needed, and it ends before the limit.
func TestLeaseIsNeededWhateverTheRevocationLimit(t *testing.T) {
	t.Parallel()
	for _, limit := range []time.Duration{1, time.Millisecond, 499 * time.Millisecond, revokeMargin, 5 * time.Second} {
		d := leaseDuration(limit)
		if d <= 0 || d > limit || limit == 5*time.Second && d != limit-revokeMargin {
			t.Errorf("limit %v: a lease of %v", limit, d)
		}
	}
	inFakeTime(t, func(t testing.TB) {
		timing := settings.Timing{StrictRevocation: true, RevokeMs: inMs(revokeMargin), GraceS: 3}
		g := newGatewayWithTiming(t, timing, newBackend(t, respondOK("yes")))
		c := dial(t, g)
		c.send("GET /get/", "", "")
		c.expect(200, "yes")
		time.Sleep(revokeMargin)
		c.send("GET /get/", "", "")
		c.expect(503, "")
	})
}
