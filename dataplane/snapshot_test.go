package dataplane

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// lookupResults returns the results of looking up some hosts, paths and keys in a snapshot.
func lookupResults(s *snapshot) map[string]string {
	out := map[string]string{}
	for i := range 16 {
		for j := range 5 {
			if r := s.route(fmt.Sprintf("H%d.example:80", j), fmt.Sprintf("/p%d/x", i)); r != nil {
				out[fmt.Sprint(i, j)] = r.Name + r.Upstream
			}
		}
	}
	for _, k := range []string{"k", "k2"} {
		if x, ok := s.keys.Get(hashKey(k)); ok {
			out[k] = x.name
		}
	}
	return out
}

// mutateConfig makes a random change to a configuration and increases its revision.
func mutateConfig(conf *api.Config, rng *rand.Rand) {
	conf.Revision += 1 + rng.Uint64N(3)
	switch rng.IntN(4) {
	case 0:
		if len(conf.Routes) > 1 {
			conf.Routes = slices.Delete(slices.Clone(conf.Routes), 0, 1)
		}
	case 1:
		conf.Routes = slices.Clone(conf.Routes)
		conf.Routes[rng.IntN(len(conf.Routes))].Upstream = "b"
	case 2:
		conf.Tenants = []api.Tenant{{Name: "t", Keys: []string{"k"}}, {Name: "u", Keys: []string{"k2"}, Rate: 3}}
	case 3: // a key moves from one tenant to the other
		conf.Tenants = []api.Tenant{{Name: "t", Keys: []string{"k2"}}, {Name: "u", Keys: []string{"k"}, Rate: 3}}
	}
}

// A snapshot built from deltas equals the one built from the complete table, and earlier snapshots stay unchanged.
func TestSnapshotOfDeltasEqualsTheWhole(t *testing.T) {
	type earlier struct {
		snapshot *snapshot
		lookups  map[string]string
	}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var table versioned.Table
		var v *snapshot
		conf := configWithRoutes(1, 12)
		var history []earlier
		for range 12 {
			mutateConfig(conf, rng)
			table.Replace(conf.Revision, configRows(t, conf))
			have := uint64(0)
			if v != nil && rng.IntN(4) > 0 {
				have = v.revision
			}
			next, _, err := v.with(openDelta(t, &table, have))
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			complete, _, err := (*snapshot)(nil).with(openDelta(t, &table, 0))
			if err != nil {
				t.Fatal(err)
			}
			if next.checksum != complete.checksum || next.hosts.Len() != complete.hosts.Len() {
				t.Fatalf("seed %d: %d hosts from deltas, %d from the complete table, or different checksums",
					seed, next.hosts.Len(), complete.hosts.Len())
			}
			if a, b := lookupResults(next), lookupResults(complete); !maps.Equal(a, b) {
				t.Fatalf("seed %d: lookups give %v from deltas, %v from the complete table", seed, a, b)
			}
			for _, e := range history {
				if got := lookupResults(e.snapshot); !maps.Equal(got, e.lookups) {
					t.Fatalf("seed %d: lookups in an earlier snapshot changed to %v from %v", seed, got, e.lookups)
				}
			}
			v, history = next, append(history, earlier{next, lookupResults(next)})
		}
	}
}

// A delta of another table, or one that is based on another version, is rejected as a whole.
func TestDeltaThatDoesNotFitIsRejected(t *testing.T) {
	var a, b versioned.Table
	a.Replace(1, configRows(t, configWithRoutes(1, 3)))
	b.Replace(1, configRows(t, configWithRoutes(1, 4)))
	v, _, err := (*snapshot)(nil).with(openDelta(t, &a, 0))
	if err != nil {
		t.Fatal(err)
	}
	b.Replace(2, configRows(t, configWithRoutes(2, 5)))
	if _, _, err := v.with(openDelta(t, &b, 1)); err == nil {
		t.Error("delta of another table was accepted")
	}
	a.Replace(3, configRows(t, configWithRoutes(3, 3)))
	a.Replace(4, configRows(t, configWithRoutes(4, 2)))
	if _, _, err := v.with(openDelta(t, &a, 3)); err == nil {
		t.Error("delta based on another version was accepted")
	}
	if next, _, err := v.with(openDelta(t, &a, 1)); err != nil || next.hosts.Len() != 1 {
		t.Errorf("delta based on the current version: %v", err)
	}
}

// A server that this limiter has seen draining stays out of service, even if a new leader with an older server list
// or the limiter's own query of the cloud API reports it in service. Once removed, it is not added again.
func TestDrainingStaysDraining(t *testing.T) {
	g := newGateway(t)
	list := []api.Server{{ID: "a", Upstream: "s", Addr: "127.0.0.1:1", Zone: "z", Capacity: 1, State: api.InService},
		{ID: "b", Upstream: "s", Addr: "127.0.0.1:2", Zone: "z", Capacity: 1, State: api.InService}}
	drained := slices.Clone(list)
	drained[0].State = api.Draining
	seen := func() string {
		out := ""
		for _, s := range g.Status().Servers {
			out += s.ID + ":" + s.State + " "
		}
		return out
	}
	var first, second versioned.Table
	applyServers(t, g, &first, 10, list)
	applyServers(t, g, &first, 11, drained)
	const want = "a:draining b:in_service "
	applyServers(t, g, &second, 1<<32, list) // from a new leader that has an older response of the cloud API
	if got := seen(); got != want {
		t.Errorf("after a list from another leader: %s", got)
	}
	g.MergeDiscovered(list)
	if got := seen(); got != want {
		t.Errorf("after the limiter's own query: %s", got)
	}
	applyServers(t, g, &second, 1<<32+1, list[1:])
	applyServers(t, g, &second, 1<<32+2, list)
	if got := seen(); got != "b:in_service " {
		t.Errorf("after the removed server was listed again: %s", got)
	}
}

// BenchmarkRoute measures the lookup of a route in tables of different sizes.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{10, 1600, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table versioned.Table
			table.Replace(1, configRows(b, configWithRoutes(1, n)))
			v, _, err := (*snapshot)(nil).with(openDelta(b, &table, 0))
			if err != nil {
				b.Fatal(err)
			}
			host, path := fmt.Sprintf("h%d.example", (n-1)/4), fmt.Sprintf("/p%d/some/where", n-1)
			b.ReportAllocs()
			for b.Loop() {
				if v.route(host, path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}

// BenchmarkOneChange measures applying a change of one route to tables of different sizes.
func BenchmarkOneChange(b *testing.B) {
	for _, n := range []int{10, 1600, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var table versioned.Table
			c := configWithRoutes(1, n)
			table.Replace(1, configRows(b, c))
			v, _, err := (*snapshot)(nil).with(openDelta(b, &table, 0))
			if err != nil {
				b.Fatal(err)
			}
			c.Revision, c.Routes[0].Upstream = 2, "b"
			table.Replace(2, configRows(b, c))
			blob, err := table.DeltaSince(1)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ReportMetric(float64(len(blob.Data)), "bytes/change")
			for b.Loop() {
				r, err := versioned.OpenDelta(blob.Data)
				if err != nil {
					b.Fatal(err)
				}
				if _, _, err := v.with(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
