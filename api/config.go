// Package api holds what the processes and their callers say to each other:
// the configuration of the gateway, the platform's list of servers, and the
// messages between the system's own processes, all in CBOR.
package api

import (
	"errors"
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// MaxConfig bounds a configuration's bytes.
const MaxConfigBytes = 8 << 20

// mostFaults bounds the faults that are named of one configuration.
const mostFaults = 20

// Config is a whole configuration as the operator brings it.
type Config struct {
	Revision  uint64        `cbor:"revision"`
	Routes    []Route       `cbor:"route_table"`
	Upstreams []Upstream    `cbor:"upstream_table"`
	Limits    RequestLimits `cbor:"request_limits"`
	Tenants   []Tenant      `cbor:"tenant_table"`
}

// Route sends requests of a host and path to a service.
type Route struct {
	Name         string             `cbor:"name"`
	Host         string             `cbor:"host_match"`
	Prefix       string             `cbor:"path_prefix"`
	Type         string             `cbor:"route_type"`
	TimeoutMs    float64            `cbor:"timeout_ms"`
	TargetMs     float64            `cbor:"target_latency_ms"`
	Priority     int                `cbor:"priority"`
	Upstream     string             `cbor:"upstream"`
	TrafficSplit []WeightedUpstream `cbor:"traffic_split"`
	Retries      int                `cbor:"retry_count"` // the most servers that one try may be sent to
	Anonymous    bool               `cbor:"anonymous"`
}

// Split is one service of a route and its weight.
type WeightedUpstream struct {
	Upstream string  `cbor:"upstream"`
	Weight   float64 `cbor:"weight"`
}

// Upstream is a service.
type Upstream struct {
	Name           string `cbor:"name"`
	HealthCheck    string `cbor:"health_check"`
	MaxConnections int    `cbor:"max_connections"`
	Protocol       string `cbor:"protocol"`
	TLS            bool   `cbor:"tls_enabled"`
}

// RequestLimits bound what a client may send; 0 is the default.
type RequestLimits struct {
	MaxHeaderBytes  int64   `cbor:"max_header_bytes"`
	MaxBodyBytes    int64   `cbor:"max_body_bytes"`
	HeaderTimeoutMs float64 `cbor:"header_timeout_ms"`
	IdleTimeoutMs   float64 `cbor:"idle_timeout_ms"`
}

// Tenant is a customer with its keys and its quota over all limiters together.
type Tenant struct {
	Name     string   `cbor:"name"`
	Keys     []string `cbor:"api_keys"`
	Priority int      `cbor:"priority"`
	Rate     float64  `cbor:"rate_per_s"` // requests; 0: no limit
	Burst    float64  `cbor:"burst_size"`
}

// The route types. Any other counts as one that must not be repeated.
const (
	Idempotent = "idempotent"
	Download   = "download"
)

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool { return r.Type == Idempotent || r.Type == Download }

var strict = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 16,
		MaxArrayElements: 1 << 18, MaxMapPairs: 1 << 16}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Unmarshal reads CBOR from outside, with bounds and without duplicate names.
func Unmarshal(data []byte, v any) error { return strict.Unmarshal(data, v) }

// ParseConfig reads a configuration and checks all of it that needs no other
// version. The error names every fault, one a line, up to a bound.
func ParseConfig(data []byte) (*Config, error) {
	c := &Config{}
	if err := Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("the configuration can't be read whole: %w", err)
	}
	return c, c.Validate()
}

// Validate returns every fault of a configuration, one a line.
func (c *Config) Validate() error {
	var faults []error
	fault := func(format string, args ...any) {
		if len(faults) < mostFaults {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	if c.Revision == 0 {
		fault("revision: is missing or 0")
	}
	services := map[string]bool{}
	for i, u := range c.Upstreams {
		if u.Name == "" || services[u.Name] {
			fault("upstream_table.%d.name: %q is empty or not the only one", i, u.Name)
		}
		services[u.Name] = true
	}
	places := map[string]int{}
	for i := range c.Routes {
		r := &c.Routes[i]
		at := fmt.Sprintf("route_table.%d (%s)", i, r.Name)
		place := strings.ToLower(r.Host) + " " + r.Prefix
		if first, ok := places[place]; ok {
			fault("%s: shares host_match and path_prefix with route_table.%d", at, first)
		}
		places[place] = i
		if r.Host == "" {
			fault("%s.host_match: is empty", at)
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			fault("%s.path_prefix: %q does not begin and end with a slash", at, r.Prefix)
		}
		if !(r.TimeoutMs > 0) {
			fault("%s.timeout_ms: %v: must be above 0", at, r.TimeoutMs)
		}
		if r.Retries < 0 {
			fault("%s.retry_count: %d is below 0", at, r.Retries)
		}
		if len(r.TrafficSplit) == 0 {
			if !services[r.Upstream] {
				fault("%s.upstream: %q is no service of upstream_table", at, r.Upstream)
			}
			continue
		}
		sum := 0.0
		for k, s := range r.TrafficSplit {
			if !services[s.Upstream] {
				fault("%s.traffic_split.%d.upstream: %q is no service of upstream_table", at, k, s.Upstream)
			}
			if !(s.Weight >= 0) {
				fault("%s.traffic_split.%d.weight: %v is below 0", at, k, s.Weight)
			}
			sum += s.Weight
		}
		if !(sum > 0) {
			fault("%s.traffic_split: the weights sum to 0", at)
		}
	}
	names, keys := map[string]bool{}, map[string]string{}
	for i, t := range c.Tenants {
		if t.Name == "" || names[t.Name] {
			fault("tenant_table.%d.name: %q is empty or not the only one", i, t.Name)
		}
		names[t.Name] = true
		if !(t.Rate >= 0) || !(t.Burst >= 0) {
			fault("tenant_table.%d (%s): rate_per_s or burst_size is below 0", i, t.Name)
		}
		for k, key := range t.Keys {
			if other, ok := keys[key]; ok && other != t.Name {
				fault("tenant_table.%d (%s).api_keys.%d: also a key of %s", i, t.Name, k, other)
			}
			if key == "" {
				fault("tenant_table.%d (%s).api_keys.%d: is empty", i, t.Name, k)
			}
			keys[key] = t.Name
		}
	}
	return errors.Join(faults...)
}
