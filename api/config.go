package api

// MaxConfigBytes is the most bytes of a configuration. Callers' requests with more are rejected.
const MaxConfigBytes = 8 << 20

// Config is a complete configuration as an operator sends it, with the users' names.
type Config struct {
	// Revision is above 0, and above that of the configuration that it replaces.
	Revision  uint64        `cbor:"revision"`
	Routes    []Route       `cbor:"route_table"`
	Upstreams []Upstream    `cbor:"upstream_table"`
	Limits    RequestLimits `cbor:"request_limits"`
	Tenants   []Tenant      `cbor:"tenant_table"` // empty: requests need no key
}

// Route forwards the requests of a host and a path prefix to a service.
type Route struct {
	Name string `cbor:"name"`
	// Host is compared with the request's Host header; case does not matter.
	Host string `cbor:"host_match"`
	// Prefix begins and ends with a slash. Of the routes of a host the longest that fits is taken.
	Prefix string `cbor:"path_prefix"`
	// Type is [Idempotent], [Download], or anything else: not to be repeated.
	Type string `cbor:"route_type"`
	// TimeoutMs is the longest that a request may be held, in milliseconds. Above 0.
	TimeoutMs float64 `cbor:"timeout_ms"`
	// TargetMs is the latency target, in milliseconds.
	TargetMs float64 `cbor:"target_latency_ms"`
	// Priority is the rank of the route's requests: 0 is the highest.
	Priority int `cbor:"priority"`
	// Upstream names the service, where TrafficSplit is empty.
	Upstream string `cbor:"upstream"`
	// TrafficSplit distributes the requests over several services by weight.
	TrafficSplit []WeightedUpstream `cbor:"traffic_split"`
	// Retries is the most servers that one attempt of a client may be sent to.
	Retries int `cbor:"retry_count"`
	// Anonymous: requests need no key.
	Anonymous bool `cbor:"anonymous"`
}

// WeightedUpstream is one service of a route's traffic split.
type WeightedUpstream struct {
	Upstream string `cbor:"upstream"`
	// Weight is relative to the sum of the route's weights. 0 or more; the sum is above 0.
	Weight float64 `cbor:"weight"`
}

// Upstream is a service.
type Upstream struct {
	Name string `cbor:"name"`
	// HealthCheck is the path of health checks.
	HealthCheck string `cbor:"health_check"`
	// MaxConnections is the most connections that a server of the service takes, over all
	// limiters together.
	MaxConnections int    `cbor:"max_connections"`
	Protocol       string `cbor:"protocol"`
	TLS            bool   `cbor:"tls_enabled"`
}

// RequestLimits bound what a client may send. 0: the data plane's default.
type RequestLimits struct {
	MaxHeaderBytes  int64   `cbor:"max_header_bytes"`
	MaxBodyBytes    int64   `cbor:"max_body_bytes"`
	HeaderTimeoutMs float64 `cbor:"header_timeout_ms"` // to receive a header
	IdleTimeoutMs   float64 `cbor:"idle_timeout_ms"`   // between requests of a connection
}

// Tenant is a customer, with its keys and its quota over all limiters together.
type Tenant struct {
	Name string   `cbor:"name"`
	Keys []string `cbor:"api_keys"` // not empty, and no other tenant's
	// Priority goes before the route's: 0 is the highest.
	Priority int `cbor:"priority"`
	// Rate is in requests per second. 0: there is no limit.
	Rate float64 `cbor:"rate_per_s"`
	// Burst is the most that may be spent at once, in requests.
	Burst float64 `cbor:"burst_size"`
}

// The route types whose requests may be repeated ([Route.Type]). Any other type counts as
// one whose requests run at most once per attempt of a client.
const (
	Idempotent = "idempotent"
	Download   = "download" // large answers, otherwise like Idempotent
)

// IsIdempotent reports whether a request of the route may run more than once.
func (r *Route) IsIdempotent() bool { return r.Type == Idempotent || r.Type == Download }
