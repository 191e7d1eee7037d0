package dataplane

import (
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// After the last tenant was taken away, its key and any other opened every route, and servers were shown the key
// (docs/incidents/0028). With an empty tenant table no key is valid, whether it arrives as a delta or as a full table;
// with a table that is left out, none is needed.
func TestNoKeyIsValidAfterTheLastTenantIsTakenAway(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		b := newBackend(t, respondOK("yes"))
		g, table := newGateway(t, b), &versioned.Table{}
		revision := uint64(1)
		apply := func(tenants []api.Tenant, full bool) {
			revision++
			if full {
				table = &versioned.Table{}
			}
			c := testConfig(3000, api.RequestLimits{})
			c.Revision, c.Tenants = revision, tenants
			applyConfig(t, g, table, c)
		}
		some := slices.Clone(testConfig(1, api.RequestLimits{}).Tenants)
		for _, full := range []bool{false, true} {
			apply(some, full)
			expectKeys(t, g, b, map[string]int{"k": 200, "other": 401, "": 401})
			apply([]api.Tenant{}, full)
			expectKeys(t, g, b, map[string]int{"k": 401, "other": 401, "": 401})
			apply(nil, full)
			expectKeys(t, g, b, map[string]int{"k": 200, "other": 200, "": 200})
			apply([]api.Tenant{}, full)
			expectKeys(t, g, b, map[string]int{"k": 401, "other": 401, "": 401})
			apply([]api.Tenant{{Name: "t"}}, full)
			expectKeys(t, g, b, map[string]int{"k": 401, "other": 401, "": 401})
		}
	})
}

// expectKeys sends a request with each API key, and one without. It expects the status of each, that none that was
// refused reached the server, and that no key of a tenant was passed on, also not on an anonymous route.
func expectKeys(t testing.TB, g *Gateway, b *backend, want map[string]int) {
	t.Helper()
	c := dial(t, g)
	for key, status := range want {
		authorization := "Authorization: Token " + key + "\r\n"
		if key == "" {
			authorization = ""
		}
		before := b.requests.Load()
		write(c, "GET /get/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n", authorization, "\r\n")
		c.expect(status, "")
		if ran := b.requests.Load() - before; ran != map[int]int64{200: 1}[status] {
			t.Errorf("key %q: status %d, %d requests reached the server", key, status, ran)
		}
		write(c, "GET /open/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a1\r\n", authorization, "\r\n")
		c.expect(200, "yes")
		required := want["other"] == 401
		if got := b.lastRequest.Load().Get("Authorization"); required && got != "" {
			t.Errorf("the server was shown %q", got)
		}
	}
}

// A tenant's name with a line feed ended the head of its requests for servers that take a bare line feed as a line's
// end (docs/incidents/0029). Validation rejects it; one that an earlier version has accepted opens no route.
func TestTenantNameThatIsNoFieldValueIsNotSent(t *testing.T) {
	t.Parallel()
	inFakeTime(t, func(t testing.TB) {
		b := newBackend(t, respondOK("yes"))
		g := newGateway(t, b)
		for revision, name := range []string{"t\nContent-Length: 0\n", "t\r", "t\x00", "t\x7f"} {
			value, err := cbor.Marshal(api.Tenant{Name: name, Keys: []string{"k"}})
			if err != nil {
				t.Fatal(err)
			}
			rows := configRows(t, testConfig(3000, api.RequestLimits{}))
			delete(rows, "tt")
			rows["t"+name] = value
			table := &versioned.Table{}
			table.Replace(uint64(revision+2), rows)
			if err := g.ApplyConfig(openDelta(t, table, 0)); err != nil {
				t.Fatal(err)
			}
			c := dial(t, g)
			c.send("GET /get/", "", "")
			c.expect(401, "")
		}
		if n := b.requests.Load(); n != 0 {
			t.Errorf("%d requests reached the server", n)
		}
	})
}
