package api

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// configChanges are random changes of a configuration, some of which make it invalid.
var configChanges = []func(c *Config, rng *rand.Rand){
	func(c *Config, rng *rand.Rand) { pickRoute(c, rng).Host = fmt.Sprint("H", rng.IntN(14)) }, // may be a duplicate
	func(c *Config, rng *rand.Rand) { pickRoute(c, rng).Upstream = []string{"a", "b", "none"}[rng.IntN(3)] },
	func(c *Config, rng *rand.Rand) { pickRoute(c, rng).TimeoutMs = float64(rng.IntN(4)) },
	func(c *Config, rng *rand.Rand) { pickTenant(c, rng).Keys = []string{fmt.Sprint("k", rng.IntN(14))} },
	func(c *Config, rng *rand.Rand) { pickTenant(c, rng).Name = fmt.Sprint("t", rng.IntN(14)) },
	func(c *Config, rng *rand.Rand) { c.Upstreams = c.Upstreams[:rng.IntN(len(c.Upstreams)+1)] },
	func(c *Config, rng *rand.Rand) {
		c.Upstreams = append(c.Upstreams, Upstream{Name: []string{"b", "c", ""}[rng.IntN(3)]})
	},
	func(c *Config, rng *rand.Rand) { c.Limits.MaxBodyBytes = int64(rng.IntN(14)) },
	func(c *Config, rng *rand.Rand) {
		added := Route{Host: fmt.Sprint("n", rng.IntN(14)), Prefix: "/", TimeoutMs: 1, Upstream: "a"}
		c.Routes = slices.Insert(c.Routes, rng.IntN(len(c.Routes)), added)
	},
	func(c *Config, _ *rand.Rand) { c.Routes = slices.Delete(c.Routes, 0, min(1, len(c.Routes)-1)) },
	func(c *Config, rng *rand.Rand) {
		rng.Shuffle(len(c.Tenants), func(i, j int) { c.Tenants[i], c.Tenants[j] = c.Tenants[j], c.Tenants[i] })
	},
	func(c *Config, _ *rand.Rand) { c.Revision = 0 },
	func(c *Config, rng *rand.Rand) { c.Tenants = [][]Tenant{nil, {}, {{Name: "t0"}}}[rng.IntN(3)] },
}

func pickRoute(c *Config, rng *rand.Rand) *Route { return &c.Routes[rng.IntN(len(c.Routes))] }

// pickTenant returns one of the tenants, or one that is in no table if there are none.
func pickTenant(c *Config, rng *rand.Rand) *Tenant {
	if len(c.Tenants) == 0 {
		return &Tenant{}
	}
	return &c.Tenants[rng.IntN(len(c.Tenants))]
}

// Incremental validation against a previous valid configuration gives the same errors and the
// same rows as full validation, for any difference between the two.
func TestValidateConfigByDifferenceEqualsFullValidation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c := &Config{Upstreams: []Upstream{{Name: "a"}, {Name: "b"}}}
		for i := range 12 {
			route := Route{Name: "r", Host: fmt.Sprint("h", i), Prefix: "/", TimeoutMs: 1, Upstream: "a"}
			c.Routes = append(c.Routes, route)
			c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprint("k", i)}})
		}
		var last *ConfigRows
		for range 30 {
			next := &Config{Revision: c.Revision + 1, Limits: c.Limits,
				Routes: slices.Clone(c.Routes), Upstreams: slices.Clone(c.Upstreams), Tenants: slices.Clone(c.Tenants)}
			for range rng.IntN(3) {
				configChanges[rng.IntN(len(configChanges))](next, rng)
			}
			data, err := cbor.Marshal(next)
			if err != nil {
				t.Fatal(err)
			}
			_, want := ParseConfig(data)
			s, err := ValidateConfig(data, last)
			if fmt.Sprint(err) != fmt.Sprint(want) {
				t.Fatalf("incremental validation: %v; full validation: %v", err, want)
			}
			if want != nil {
				continue
			}
			revision, rows, err := configRows(data)
			if err != nil || revision != s.Revision || !maps.EqualFunc(rows, s.Rows, bytes.Equal) {
				t.Fatalf("%v: revisions %d and %d, %d and %d rows", err, revision, s.Revision, len(rows), len(s.Rows))
			}
			last, c = s, next
		}
	})
}

// If one entry of a configuration changes, all other rows are reused and only that entry is
// decoded.
func TestBuildConfigRowsDecodesOnlyChanges(t *testing.T) {
	c := &Config{Revision: 1, Upstreams: []Upstream{{Name: "a"}}}
	for i := range 2000 {
		c.Routes = append(c.Routes, Route{Host: fmt.Sprint("h", i), Prefix: "/", TimeoutMs: 1, Upstream: "a"})
	}
	validate := func(previous *ConfigRows) *ConfigRows {
		data, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ValidateConfig(data, previous)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first := validate(nil)
	c.Revision, c.Routes[7].TimeoutMs = 2, 2
	second := validate(first)
	shared := 0
	for k, v := range second.Rows {
		if old := first.Rows[k]; len(old) > 0 && &old[0] == &v[0] {
			shared++
		}
	}
	if shared != len(second.Rows)-2 { // the changed route and the limits
		t.Errorf("%d of %d rows are reused", shared, len(second.Rows))
	}
	data, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	_, changed, err := buildRows(data, second, true)
	if err != nil || len(changed.Routes) != 0 {
		t.Errorf("%d routes of an unchanged configuration were decoded, %v", len(changed.Routes), err)
	}
}

// configRows encodes a configuration as rows without reusing any. It is the reference
// implementation for [BuildConfigRows].
func configRows(data []byte) (revision uint64, rows map[string][]byte, err error) {
	var c struct {
		Revision  uint64            `cbor:"revision"`
		Routes    []cbor.RawMessage `cbor:"route_table"`
		Upstreams []cbor.RawMessage `cbor:"upstream_table"`
		Limits    cbor.RawMessage   `cbor:"request_limits"`
		Tenants   []cbor.RawMessage `cbor:"tenant_table"`
	}
	if err := Unmarshal(data, &c); err != nil {
		return 0, nil, fmt.Errorf("api: %w", err)
	}
	rows = make(map[string][]byte, len(c.Routes)+len(c.Upstreams)+len(c.Tenants)+1)
	for _, raw := range c.Routes {
		var r struct {
			Host   string `cbor:"host_match"`
			Prefix string `cbor:"path_prefix"`
		}
		if err := strictDecMode.Unmarshal(raw, &r); err != nil {
			return 0, nil, fmt.Errorf("api: %w", err)
		}
		rows[RouteKey(r.Host, r.Prefix)] = raw
	}
	addNamed := func(kind byte, raws []cbor.RawMessage) error {
		for _, raw := range raws {
			var x struct {
				Name string `cbor:"name"`
			}
			if err := strictDecMode.Unmarshal(raw, &x); err != nil {
				return fmt.Errorf("api: %w", err)
			}
			rows[string(kind)+x.Name] = raw
		}
		return nil
	}
	if err := errors.Join(addNamed(upstreamRow, c.Upstreams), addNamed(tenantRow, c.Tenants)); err != nil {
		return 0, nil, err
	}
	if len(c.Limits) > 0 {
		rows[limitsRow] = c.Limits
	}
	if c.Tenants != nil && len(c.Tenants) == 0 {
		rows[noTenantsRow] = namelessTenant
	}
	return c.Revision, rows, nil
}
