package api

import (
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

func validConfig() *Config {
	return &Config{
		Revision:  3,
		Upstreams: []Upstream{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "r", Host: "h", Prefix: "/x/", Type: Idempotent, TimeoutMs: 100, Upstream: "a", MaxAttempts: 2},
			{
				Name: "s", Host: "h", Prefix: "/x/y/", TimeoutMs: 100,
				TrafficSplit: []WeightedUpstream{{"a", 90}, {"b", 10}},
			},
		},
		Tenants: []Tenant{
			{Name: "t", Keys: []string{"k1", "k2"}, Rate: 5, Burst: 5},
			{Name: "u", Keys: []string{"k3"}},
		},
	}
}

// Each validation error names its field, and all errors are reported together.
func TestConfigValidateNamesEachField(t *testing.T) {
	if err := validConfig().Validate(); err != nil {
		t.Fatal(err)
	}
	for want, invalidate := range map[string]func(*Config){
		"revision":                       func(c *Config) { c.Revision = 0 },
		"route_table.0 (r).upstream":     func(c *Config) { c.Routes[0].Upstream = "z" },
		"route_table.1 (s).traffic_spl":  func(c *Config) { c.Routes[1].TrafficSplit[1].Upstream = "z" },
		"the weights sum to 0":           func(c *Config) { c.Routes[1].TrafficSplit = []WeightedUpstream{{"a", 0}} },
		"is below 0":                     func(c *Config) { c.Routes[1].TrafficSplit[0].Weight = -1 },
		"route_table.0 (r).timeout_ms":   func(c *Config) { c.Routes[0].TimeoutMs = 0 },
		"shares host_match":              func(c *Config) { c.Routes[1].Prefix = "/x/" },
		"route_table.0 (r).path_prefix":  func(c *Config) { c.Routes[0].Prefix = "/x" },
		"tenant_table.1 (u).api_keys.0":  func(c *Config) { c.Tenants[1].Keys[0] = "k2" },
		"tenant_table.1.name":            func(c *Config) { c.Tenants[1].Name = "t" },
		"holds a control character":      func(c *Config) { c.Tenants[0].Name = "t\n" },
		"tenant_table.0 (t): rate_per_s": func(c *Config) { c.Tenants[0].Rate = -1 },
	} {
		c := validConfig()
		invalidate(c)
		if err := c.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q in %v", want, err)
		}
		var first *FieldError
		if err := c.Validate(); !errors.As(err, &first) || first.Field == "" || !strings.Contains(first.Error(), want) {
			t.Errorf("want %q in the first error, %+v", want, first)
		}
	}
	c := validConfig()
	c.Routes[0].TimeoutMs, c.Routes[0].Upstream = 0, ""
	if err := c.Validate(); strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("want two errors, got %q", err)
	}
}

// Truncated input and input with trailing data are rejected.
func TestParseConfigRejectsIncompleteInput(t *testing.T) {
	data, err := cbor.Marshal(validConfig())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseConfig(data); err != nil {
		t.Fatal(err)
	}
	for n := range data {
		if _, err := ParseConfig(data[:n]); err == nil {
			t.Fatalf("%d of %d bytes were accepted", n, len(data))
		}
	}
	if _, err := ParseConfig(append(data, data...)); err == nil {
		t.Error("two concatenated configurations were accepted")
	}
}

func FuzzParseConfig(f *testing.F) {
	data, err := cbor.Marshal(validConfig())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := ParseConfig(b)
		if err != nil {
			return
		}
		if c.Revision == 0 || c.Validate() != nil {
			t.Error("an invalid configuration was accepted")
		}
		// A valid configuration can be encoded as rows: members of the control plane stop otherwise.
		if rows, err := BuildConfigRows(b, nil); err != nil || rows.Revision != c.Revision {
			t.Fatalf("%x is valid and can't be encoded as rows: %v", b, err)
		}
		if revision, _, err := configRows(b); err != nil || revision != c.Revision {
			t.Errorf("the reference encoding of an accepted configuration failed: revision %d, %v", revision, err)
		}
	})
}
