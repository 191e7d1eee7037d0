package dataplane

import "testing"

// Without a lease nobody has confirmed the configuration lately: a route may have been added,
// moved or removed since. The gateway then answers nothing from it, neither a rejection nor a
// response of a server, whether the request needs a key or not, and says when to come back.
// (Found by incidents 0021 and 0022: it answered 404 for a route that was added meanwhile, and
// sent requests without a key to the server of a route that was removed.)
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
				server := newBackend(t, good("yes"))
				g := newGateway(t, server)
				g.lease.expiresAt.Store(0)
				c := dial(t, g)
				write(c, request)
				if h := c.want(503, ""); h.Get("Retry-After") == "" {
					t.Error("no Retry-After")
				}
				if ran := server.seen.Load(); ran != 0 {
					t.Errorf("a server was sent %d requests", ran)
				}
			})
		})
	}
}
