package api

// MaxConfigBytes is the maximum size of an encoded configuration. Larger requests are rejected.
const MaxConfigBytes = 8 << 20

// Config is a complete configuration as an operator sends it, with the field names that users know.
type Config struct {
	// Revision must be above 0 and above the revision of the configuration that it replaces.
	Revision  uint64        `cbor:"revision"`
	Routes    []Route       `cbor:"route_table"`
	Upstreams []Upstream    `cbor:"upstream_table"`
	Limits    RequestLimits `cbor:"request_limits"`
	// Tenants are the customers. Where the table is given, each request needs the API key of a
	// tenant, except on anonymous routes; if it is empty, no key is valid. nil: the table is left
	// out or null, and requests need no API key.
	Tenants []Tenant `cbor:"tenant_table"`
}

// RequiresKeys reports whether requests need an API key.
func (c *Config) RequiresKeys() bool { return c.Tenants != nil }

// Route forwards requests for a host and a path prefix to a service.
type Route struct {
	Name string `cbor:"name"`
	// Host is compared with the request's Host header, ignoring case. If it does not match, it is
	// compared with the header without the port.
	Host string `cbor:"host_match"`
	// Prefix begins and ends with a slash. The longest matching prefix of a host wins.
	Prefix string `cbor:"path_prefix"`
	// Type is [Idempotent], [Download], or any other value for requests that must not be repeated.
	Type string `cbor:"route_type"`
	// TimeoutMs is the maximum time that a request may take, in milliseconds. Above 0; more than
	// a year counts as a year.
	TimeoutMs float64 `cbor:"timeout_ms"`
	// TargetMs is the latency target, in milliseconds: the operator's wish for the answer. No decision
	// uses it.
	TargetMs float64 `cbor:"target_latency_ms"`
	// Priority is the priority of the route's requests; 0 is the highest. Where the
	// machine's link or the servers are short, requests of a lower priority are refused first.
	Priority int `cbor:"priority"`
	// Upstream names the service. It is used if TrafficSplit is empty.
	Upstream string `cbor:"upstream"`
	// TrafficSplit distributes the requests over several services by weight.
	TrafficSplit []WeightedUpstream `cbor:"traffic_split"`
	// MaxAttempts is the maximum number of attempts at servers for one request from a client,
	// including the first. 0 counts as 1. There is no upper bound: no more servers are tried than
	// there are.
	MaxAttempts int `cbor:"retry_count"`
	// Anonymous: requests need no API key.
	Anonymous bool `cbor:"anonymous"`
}

// WeightedUpstream is one service of a route's traffic split.
type WeightedUpstream struct {
	Upstream string `cbor:"upstream"`
	// Weight is relative to the sum of the route's weights. It is not negative, and the sum is
	// above 0.
	Weight float64 `cbor:"weight"`
}

// Upstream is a service. Routes and servers refer to it by name. The data plane does not use the
// other fields.
type Upstream struct {
	Name string `cbor:"name"`
	// HealthCheck is the path of health checks.
	HealthCheck string `cbor:"health_check"`
	// MaxConnections is the maximum number of connections that a server of the service accepts
	// from all limiters together.
	MaxConnections int    `cbor:"max_connections"`
	Protocol       string `cbor:"protocol"`
	TLS            bool   `cbor:"tls_enabled"`
}

// RequestLimits bound what a client may send. A value of 0 or less selects the data plane's
// default.
type RequestLimits struct {
	MaxHeaderBytes  int64   `cbor:"max_header_bytes"` // more than 1 MiB counts as 1 MiB
	MaxBodyBytes    int64   `cbor:"max_body_bytes"`
	HeaderTimeoutMs float64 `cbor:"header_timeout_ms"` // for receiving a header
	IdleTimeoutMs   float64 `cbor:"idle_timeout_ms"`   // between requests on a connection
}

// Tenant is a customer with its API keys and its quota, which applies to all limiters together.
type Tenant struct {
	Name string   `cbor:"name"`
	Keys []string `cbor:"api_keys"` // no key is empty or shared with another tenant
	// Priority takes precedence over the route's priority, which decides between requests of
	// tenants with the same one; 0 is the highest.
	Priority int `cbor:"priority"`
	// Rate is the quota in requests per second. 0, or more than 1e9: unlimited.
	Rate float64 `cbor:"rate_per_s"`
	// Burst is the maximum burst, in requests. 0: the smallest that lets Rate through, a fifth of
	// a second's requests, at least one.
	Burst float64 `cbor:"burst_size"`
}

// Route types whose requests may be repeated ([Route.Type]). A request of any other type
// runs at most once, unless the client itself sends it again.
const (
	Idempotent = "idempotent"
	Download   = "download" // large responses, otherwise like Idempotent
)

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool { return r.Type == Idempotent || r.Type == Download }
