package api

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ConfigSplit is a configuration split into rows, that remembers in which order they
// stood: the next one differs from it in a few rows, and takes all the
// others over, compared by their bytes alone. It is not changed once it is made.
type ConfigRows struct {
	Revision uint64
	Rows     map[string][]byte // may be shared with other versions; not to be changed

	routes, upstreams, tenants []splitRow // in their order
	sound                      bool       // all of it was checked here
}

type splitRow struct {
	key string
	raw []byte
}

// SplitConfig splits a configuration that was checked. Rows that before has too are
// taken over from it; before may be nil.
func BuildConfigRows(data []byte, before *ConfigRows) (*ConfigRows, error) {
	s, _, err := split(data, before, false)
	return s, err
}

// CheckConfig splits a configuration and checks all that [ParseConfig] does. Where
// before was checked, rows that it has too are not checked again.
func ValidateConfig(data []byte, before *ConfigRows) (*ConfigRows, error) {
	if before != nil && before.sound {
		if s, next, err := split(data, before, true); err == nil && s.soundAfter(before, next) {
			s.sound = true
			return s, nil
		}
	}
	if _, err := ParseConfig(data); err != nil { // which names each fault by its place
		return nil, err
	}
	s, err := BuildConfigRows(data, before)
	if err == nil {
		s.sound = true
	}
	return s, err
}

// soundAfter tells whether a configuration is sound given that the one before was: it
// checks the rows that differ. False: it isn't, or that can't be told from them alone.
func (s *ConfigRows) soundAfter(before *ConfigRows, news *Config) bool {
	if len(s.Rows) != len(s.routes)+len(s.upstreams)+len(s.tenants)+s.limits() {
		return false // two of one name
	}
	for _, u := range before.upstreams {
		if _, is := s.Rows[u.key]; !is {
			return false // a route that stayed may name it
		}
	}
	return news.Validate() == nil
}

func (s *ConfigRows) limits() int {
	if _, has := s.Rows[limitsRow]; has {
		return 1
	}
	return 0
}

// split returns the rows and, where they are to be checked, a configuration with what is to be
// of them: routes that differ, all services, and all tenants where one of them differs.
func split(data []byte, before *ConfigRows, check bool) (*ConfigRows, *Config, error) {
	var c struct {
		Revision  uint64            `cbor:"revision"`
		Routes    []cbor.RawMessage `cbor:"route_table"`
		Upstreams []cbor.RawMessage `cbor:"upstream_table"`
		Limits    cbor.RawMessage   `cbor:"request_limits"`
		Tenants   []cbor.RawMessage `cbor:"tenant_table"`
	}
	if err := Unmarshal(data, &c); err != nil {
		return nil, nil, fmt.Errorf("api: %w", err)
	}
	if before == nil {
		before = &ConfigRows{}
	}
	s := &ConfigRows{Revision: c.Revision, Rows: make(map[string][]byte, len(c.Routes)+len(c.Upstreams)+len(c.Tenants)+1)}
	news := &Config{Revision: c.Revision}
	// What only names a row is read where nothing is checked: a member need not know the rest.
	into := func(raw []byte, name, whole any) error {
		if check {
			return strict.Unmarshal(raw, whole)
		}
		return strict.Unmarshal(raw, name)
	}
	var err error
	if s.routes, err = s.take(c.Routes, before.routes, func(raw []byte) (string, error) {
		var name struct {
			Host   string `cbor:"host_match"`
			Prefix string `cbor:"path_prefix"`
		}
		var r Route
		if err := into(raw, &name, &r); err != nil || !check {
			return RouteKey(name.Host, name.Prefix), err
		}
		news.Routes = append(news.Routes, r)
		return RouteKey(r.Host, r.Prefix), nil
	}); err != nil {
		return nil, nil, err
	}
	differ := 0
	named := func(kind byte) func(raw []byte) (string, error) {
		return func(raw []byte) (string, error) {
			var x struct {
				Name string `cbor:"name"`
			}
			differ++
			err := strict.Unmarshal(raw, &x)
			return string(kind) + x.Name, err
		}
	}
	if s.upstreams, err = s.take(c.Upstreams, before.upstreams, named(upstreamRow)); err != nil {
		return nil, nil, err
	}
	differ = 0
	if s.tenants, err = s.take(c.Tenants, before.tenants, named(tenantRow)); err != nil {
		return nil, nil, err
	}
	if len(c.Limits) > 0 {
		s.Rows[limitsRow] = c.Limits
	}
	if !check {
		return s, nil, nil
	}
	if news.Upstreams, err = whole[Upstream](s.upstreams); err != nil {
		return nil, nil, err
	}
	if differ > 0 { // a key may be another tenant's
		if news.Tenants, err = whole[Tenant](s.tenants); err != nil {
			return nil, nil, err
		}
	}
	if len(c.Limits) > 0 {
		if err := strict.Unmarshal(c.Limits, &news.Limits); err != nil {
			return nil, nil, fmt.Errorf("api: %w", err)
		}
	}
	return s, news, nil
}

// whole reads rows.
func whole[T any](rows []splitRow) ([]T, error) {
	out := make([]T, len(rows))
	for i, r := range rows {
		if err := strict.Unmarshal(r.raw, &out[i]); err != nil {
			return nil, fmt.Errorf("api: %w", err)
		}
	}
	return out, nil
}

// take makes rows of raws. What stands at the same place of before, seen from the
// beginning or from the end, is not read again; read reads what differs.
func (s *ConfigRows) take(raws []cbor.RawMessage, before []splitRow, read func(raw []byte) (key string, err error)) ([]splitRow, error) {
	out := make([]splitRow, len(raws))
	head, tail := 0, 0
	for head < min(len(raws), len(before)) && bytes.Equal(raws[head], before[head].raw) {
		head++
	}
	for tail < min(len(raws), len(before))-head && bytes.Equal(raws[len(raws)-1-tail], before[len(before)-1-tail].raw) {
		tail++
	}
	copy(out, before[:head])
	copy(out[len(out)-tail:], before[len(before)-tail:])
	old := map[string]string{} // of those between, the keys by their bytes
	for _, b := range before[head : len(before)-tail] {
		old[string(b.raw)] = b.key
	}
	for i := head; i < len(raws)-tail; i++ {
		out[i].raw = raws[i]
		if key, is := old[string(raws[i])]; is {
			out[i].key = key
			continue
		}
		var err error
		if out[i].key, err = read(raws[i]); err != nil {
			return nil, fmt.Errorf("api: %w", err)
		}
	}
	for _, r := range out {
		s.Rows[r.key] = r.raw
	}
	return out, nil
}
