package dataplane

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// configRows returns the table rows of a configuration.
func configRows(t testing.TB, c *api.Config) map[string][]byte {
	t.Helper()
	data, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	split, err := api.BuildConfigRows(data, nil)
	if err != nil {
		t.Fatal(err)
	}
	return split.Rows
}

// openDelta returns a reader of the changes to a table after a version.
func openDelta(t testing.TB, table *versioned.Table, from uint64) *versioned.DeltaReader {
	t.Helper()
	b, err := table.DeltaSince(from)
	if err != nil {
		t.Fatal(err)
	}
	r, err := versioned.OpenDelta(b.Data)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// applyConfig applies a configuration to a gateway as a delta of a table.
func applyConfig(t testing.TB, g *Gateway, table *versioned.Table, c *api.Config) {
	t.Helper()
	table.Replace(c.Revision, configRows(t, c))
	if err := g.ApplyConfig(openDelta(t, table, g.Revision())); err != nil {
		t.Fatal(err)
	}
}

// applyServers applies a server list to a gateway as a delta of a table.
func applyServers(t testing.TB, g *Gateway, table *versioned.Table, version uint64, list []api.Server) {
	t.Helper()
	rows := map[string][]byte{}
	for _, s := range list {
		row, err := api.EncodeServerRow(s, s.WarmupMs)
		if err != nil {
			t.Fatal(err)
		}
		rows[s.ID] = row
	}
	table.Replace(version, rows)
	if err := g.ApplyEndpoints(openDelta(t, table, g.EndpointsVersion()), 0); err != nil {
		t.Fatal(err)
	}
}

// configWithRoutes returns a configuration with a number of routes, four per host.
func configWithRoutes(revision uint64, routes int) *api.Config {
	c := &api.Config{Revision: revision, Upstreams: []api.Upstream{{Name: "a"}, {Name: "b"}},
		Tenants: []api.Tenant{{Name: "t", Keys: []string{"k"}, Rate: 10, Burst: 10}}}
	for i := range routes {
		c.Routes = append(c.Routes, api.Route{
			Name: fmt.Sprint("r", i), Host: fmt.Sprintf("h%d.example", i/4), Prefix: fmt.Sprintf("/p%d/", i),
			Type: api.Idempotent, TimeoutMs: 1000, Upstream: "a", MaxAttempts: 1,
		})
	}
	return c
}
