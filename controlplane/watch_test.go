package controlplane

import (
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// serversInStates returns servers i-0, i-1, ... in the given states.
func serversInStates(states ...string) []api.Server {
	var servers []api.Server
	for i, state := range states {
		servers = append(servers, api.Server{
			ID:       fmt.Sprint("i-", i),
			Upstream: "s",
			Addr:     fmt.Sprint("10.0.0.", i, ":80"),
			Zone:     "z",
			Capacity: 2,
			State:    state,
		})
	}
	return servers
}

// serverStates returns the states of the servers that a member sends, by ID, or nil without a lease.
func serverStates(t *testing.T, core *Core) map[string]string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	r, err := core.Watch(ctx, &api.WatchRequest{})
	if err != nil || !r.Lease || r.ServersDelta == nil {
		return nil
	}
	delta, err := versioned.OpenDelta(r.ServersDelta.Data)
	if err != nil {
		t.Fatal(err)
	}
	rows, err := delta.ApplyTo(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	states := map[string]string{}
	for id, row := range rows {
		server, err := api.ParseServerRow(id, row, 0)
		if err != nil {
			t.Fatal(err)
		}
		states[id] = server.State
	}
	return states
}

// requireServerStates requires that a member sends the servers of serversInStates.
func requireServerStates(t *testing.T, core *Core, states ...string) {
	t.Helper()
	want := map[string]string{}
	for _, server := range serversInStates(states...) {
		want[server.ID] = server.State
	}
	if got := serverStates(t, core); !maps.Equal(got, want) {
		t.Errorf("%s sends %v, want %v", core.cfg.Addr, got, want)
	}
}

// Every member answers watches of limiters with a lease, the leader's server list and the
// configuration. A member without a majority grants no lease.
func TestEveryMemberAnswersWatches(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t)
		if replaceConfig(c.client(), 0, testConfig(t, 5)) != http.StatusOK {
			t.Fatal("the configuration was not applied")
		}
		c.awaitLeader().SetServers(serversInStates(api.InService, api.Draining))
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		for addr, core := range c.cores {
			c.waitUntil("a watch response of "+addr, func() bool {
				r, err := core.Watch(ctx, &api.WatchRequest{})
				return err == nil && r.Lease && r.Revision == 5 && r.ConfigDelta != nil && r.ServersDelta != nil
			})
			requireServerStates(t, core, api.InService, api.Draining)
		}
		last := c.stopAllButOne()
		if r, err := last.Watch(ctx, &api.WatchRequest{}); err != nil || r.Lease {
			t.Errorf("a lease without a majority: %+v, %v", r, err)
		}
	})
}

// stopAllButOne stops all members but one and returns that one.
func (c *cluster) stopAllButOne() *Core {
	var last *Core
	for addr, core := range c.cores {
		last = core
		if len(c.cores) > 1 {
			c.stops[addr]()
		}
	}
	return last
}

// Every member sends a change as a delta whose size doesn't depend on the rest of the configuration,
// and sends nothing to limiters that have the current revision.
func TestDeltasHoldOnlyWhatChanged(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t)
		client := c.client()
		config := configOfManyRoutes(1600)
		for base := range uint64(2) {
			config.Revision = base + 1
			config.Routes[7].TimeoutMs += 100
			if got := replaceConfig(client, base, encodeConfig(t, config)); got != http.StatusOK {
				t.Fatalf("revision %d: status %d", config.Revision, got)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		for addr, core := range c.cores {
			var r *api.WatchResponse
			c.waitUntil("a watch response of "+addr, func() bool {
				var err error
				r, err = core.Watch(ctx, &api.WatchRequest{Revision: 1, ServersVersion: math.MaxUint64})
				return err == nil && r.Lease && r.Revision == 2
			})
			if d := r.ConfigDelta; d == nil || d.From != 1 || d.Size > 1000 {
				t.Errorf("%s sends %+v", addr, d)
			}
			r, err := core.Watch(ctx, &api.WatchRequest{Revision: 2, ServersVersion: math.MaxUint64})
			if err != nil || r.ConfigDelta != nil || r.ServersDelta != nil {
				t.Errorf("%s sends a delta to an up-to-date limiter: %+v, %v", addr, r, err)
			}
		}
	})
}

// configOfManyRoutes returns a configuration with the given number of routes.
func configOfManyRoutes(routes int) *api.Config {
	config := &api.Config{Upstreams: []api.Upstream{{Name: "a"}}}
	for i := range routes {
		config.Routes = append(config.Routes, api.Route{
			Name:      fmt.Sprint("r", i),
			Host:      fmt.Sprintf("h%x.example", i*7919),
			Prefix:    "/",
			TimeoutMs: 100,
			Upstream:  "a",
		})
	}
	return config
}

// serversVersion returns the version of a member's server list.
func serversVersion(core *Core) uint64 {
	core.mu.Lock()
	defer core.mu.Unlock()
	return core.endpoints.servers.table.Version()
}

// A new leader continues with the server list of its predecessor: a server that the predecessor saw
// draining doesn't return to service, even if the platform first reports outdated states to the new
// leader. Regression test for a user report: a draining machine continued to receive requests after a
// control process had crashed and restarted immediately.
func TestServerListSurvivesChangeOfLeader(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t)
		if replaceConfig(c.client(), 0, testConfig(t, 1)) != http.StatusOK {
			t.Fatal("the configuration was not applied")
		}
		first := c.awaitLeader()
		first.SetServers(serversInStates(api.InService, api.InService, api.InService))
		first.SetServers(serversInStates(api.InService, api.Draining, api.InService))
		version := serversVersion(first)
		for addr, core := range c.cores {
			c.waitUntil("the server list at "+addr, func() bool { return serversVersion(core) == version })
		}
		c.stops[first.cfg.Addr]()
		next := c.awaitLeader()
		next.SetServers(serversInStates(api.InService, api.InService, api.InService)) // outdated states
		requireServerStates(t, next, api.InService, api.Draining, api.InService)
		next.SetServers(serversInStates(api.InService, api.Draining))
		next.SetServers(serversInStates(api.InService, api.Draining))
		requireServerStates(t, next, api.InService, api.Draining)
		if got := serversVersion(next); got <= version {
			t.Errorf("version %d after %d", got, version)
		}
	})
}

// The memory held for deltas is bounded with 300 limiters on slow links, each of which fetches only
// the first chunk, while versions of 10,000 routes follow each other in quick succession. Regression
// test for docs/incidents/0006: on the fleet pshpta-gw-grown, a leader using 102 MB died while
// serving.
func TestMemoryOfDeltasIsBounded(t *testing.T) {
	t.Parallel()
	const watchers = 300
	var configs versioned.Table
	rows := manyRouteRows(t, 10_000)
	for version := range uint64(8) {
		rows = changeSomeRows(t, rows, version)
		configs.Replace(version+1, rows)
		inFlight := 0
		for watcher := range uint64(watchers) {
			delta, err := newDelta(&configs, watcher%(version+1))
			if err != nil {
				t.Fatal(err)
			}
			inFlight += len(delta.Data)
		}
		if inFlight > watchers*api.ChunkSize || configs.CachedBytes() > 2*versioned.MaxCachedBytes {
			t.Fatalf("version %d: %d bytes in flight, %d bytes cached", version, inFlight, configs.CachedBytes())
		}
	}
}

// manyRouteRows returns the rows of the given number of routes.
func manyRouteRows(t *testing.T, routes int) map[string][]byte {
	t.Helper()
	rows := map[string][]byte{}
	for i := range routes {
		route := api.Route{
			Name:      fmt.Sprint("r", i),
			Host:      fmt.Sprintf("h%x.example", i*7919),
			Prefix:    fmt.Sprintf("/%x/", i*104729),
			TimeoutMs: 100,
			Upstream:  "a",
		}
		rows[api.RouteKey(route.Host, route.Prefix)] = encodeRoute(t, &route)
	}
	return rows
}

func encodeRoute(t *testing.T, route *api.Route) []byte {
	t.Helper()
	row, err := cbor.Marshal(route)
	if err != nil {
		t.Fatal(err)
	}
	return row
}

// changeSomeRows returns a copy of rows in which up to a third of them, all of even length, are
// replaced.
func changeSomeRows(t *testing.T, rows map[string][]byte, version uint64) map[string][]byte {
	t.Helper()
	next := maps.Clone(rows)
	visited := 0
	for key, row := range rows {
		if len(row)%2 == 0 && visited%3 == 0 {
			route := api.Route{
				Name:      fmt.Sprint("v", version),
				Host:      key,
				Prefix:    "/",
				TimeoutMs: 100,
				Upstream:  "a",
			}
			next[key] = encodeRoute(t, &route)
		}
		visited++
	}
	return next
}

// A member that starts with many changes in its log builds a table only for the last one. The time to
// build a table grows with the configuration, and no watch is answered meanwhile. Regression test:
// with 240 changes of 900 routes and a table for each applied change, eight tables delayed the first
// leases by 0.12 s.
func TestChangesAppliedAtOnceArePublishedOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const changes = 20
		c := newStoppedCluster(t, 1)
		addr, dir := c.addrs[0], memoryDir(t)
		c.start(addr, dir, true)
		replaceInTurn(t, c.client(), changes)
		c.stops[addr]()
		c.start(addr, dir, false)
		c.awaitRevision(changes)
		core := c.cores[addr]
		core.mu.Lock()
		defer core.mu.Unlock()
		configs := &core.watches.configs
		if version := configs.Version(); version != changes {
			t.Errorf("version for limiters %d, want the last one", version)
		}
		for version := uint64(1); version < changes; version++ {
			delta, err := configs.DeltaSince(version)
			if err != nil || delta.From != 0 || delta.To != changes {
				t.Errorf("table built for version %d: delta from %d to %d, %v", version, delta.From, delta.To, err)
			}
		}
	})
}
