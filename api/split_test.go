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

// A configuration is judged and split by what differs from one that was checked just as
// it is on its own, whatever the difference is.
func TestSplitByDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c := &Config{Upstreams: []Upstream{{Name: "a"}, {Name: "b"}}}
		for i := range 12 {
			c.Routes = append(c.Routes, Route{Name: "r", Host: fmt.Sprint("h", i), Prefix: "/", TimeoutMs: 1, Upstream: "a"})
			c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("t", i), Keys: []string{fmt.Sprint("k", i)}})
		}
		var last *ConfigRows
		for range 30 {
			next := &Config{Revision: c.Revision + 1, Limits: c.Limits,
				Routes: slices.Clone(c.Routes), Upstreams: slices.Clone(c.Upstreams), Tenants: slices.Clone(c.Tenants)}
			for range rng.IntN(3) {
				r, n := &next.Routes[rng.IntN(len(next.Routes))], rng.IntN(14)
				k := &next.Tenants[rng.IntN(len(next.Tenants))]
				switch rng.IntN(12) {
				case 0:
					r.Host = fmt.Sprint("H", n) // may be another's
				case 1:
					r.Upstream = []string{"a", "b", "none"}[rng.IntN(3)]
				case 2:
					r.TimeoutMs = float64(rng.IntN(4))
				case 3:
					k.Keys = []string{fmt.Sprint("k", n)}
				case 4:
					k.Name = fmt.Sprint("t", n)
				case 5:
					next.Upstreams = next.Upstreams[:rng.IntN(len(next.Upstreams)+1)]
				case 6:
					next.Upstreams = append(next.Upstreams, Upstream{Name: []string{"b", "c", ""}[rng.IntN(3)]})
				case 7:
					next.Limits.MaxBodyBytes = int64(n)
				case 8:
					next.Routes = slices.Insert(next.Routes, rng.IntN(len(next.Routes)), Route{Host: fmt.Sprint("n", n), Prefix: "/", TimeoutMs: 1, Upstream: "a"})
				case 9:
					next.Routes = slices.Delete(next.Routes, 0, min(1, len(next.Routes)-1))
				case 10:
					rng.Shuffle(len(next.Tenants), func(i, j int) { next.Tenants[i], next.Tenants[j] = next.Tenants[j], next.Tenants[i] })
				case 11:
					next.Revision = 0
				}
			}
			data, err := cbor.Marshal(next)
			if err != nil {
				t.Fatal(err)
			}
			_, want := ParseConfig(data)
			s, err := ValidateConfig(data, last)
			if fmt.Sprint(err) != fmt.Sprint(want) {
				t.Fatalf("by difference: %v; on its own: %v", err, want)
			}
			if want != nil {
				continue
			}
			revision, rows, err := configRows(data)
			if err != nil || revision != s.Revision || !maps.EqualFunc(rows, s.Rows, bytes.Equal) {
				t.Fatalf("%v: revision %d and %d, %d and %d rows", err, revision, s.Revision, len(rows), len(s.Rows))
			}
			last, c = s, next
		}
	})
}

// Of a configuration with one changed row everything else is taken over, and only that
// row is read.
func TestSplitReadsWhatDiffers(t *testing.T) {
	c := &Config{Revision: 1, Upstreams: []Upstream{{Name: "a"}}}
	for i := range 2000 {
		c.Routes = append(c.Routes, Route{Host: fmt.Sprint("h", i), Prefix: "/", TimeoutMs: 1, Upstream: "a"})
	}
	split := func(before *ConfigRows) *ConfigRows {
		data, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		s, err := ValidateConfig(data, before)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first := split(nil)
	c.Revision, c.Routes[7].TimeoutMs = 2, 2
	second := split(first)
	shared := 0
	for k, v := range second.Rows {
		if old := first.Rows[k]; len(old) > 0 && &old[0] == &v[0] {
			shared++
		}
	}
	if shared != len(second.Rows)-2 { // the changed route; the one service is read again
		t.Errorf("%d of %d rows are taken over", shared, len(second.Rows))
	}
	data, _ := cbor.Marshal(c)
	_, news, err := split3(data, second)
	if err != nil || len(news.Routes) != 0 {
		t.Errorf("%d routes of the same configuration are read, %v", len(news.Routes), err)
	}
}

func split3(data []byte, before *ConfigRows) (*ConfigRows, *Config, error) {
	return split(data, before, true)
}

// configRows splits a configuration into rows without any other: what [SplitConfig] is
// held against.
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
		if err := strict.Unmarshal(raw, &r); err != nil {
			return 0, nil, fmt.Errorf("api: %w", err)
		}
		rows[RouteKey(r.Host, r.Prefix)] = raw
	}
	named := func(kind byte, raws []cbor.RawMessage) error {
		for _, raw := range raws {
			var x struct {
				Name string `cbor:"name"`
			}
			if err := strict.Unmarshal(raw, &x); err != nil {
				return fmt.Errorf("api: %w", err)
			}
			rows[string(kind)+x.Name] = raw
		}
		return nil
	}
	if err := errors.Join(named(upstreamRow, c.Upstreams), named(tenantRow, c.Tenants)); err != nil {
		return 0, nil, err
	}
	if len(c.Limits) > 0 {
		rows[limitsRow] = c.Limits
	}
	return c.Revision, rows, nil
}
