package api

import (
	"errors"
	"fmt"
	"strings"
)

// maxFieldErrors bounds the number of errors that are reported for one configuration.
const maxFieldErrors = 20

// ParseConfig decodes a configuration and validates everything that does not depend on the
// previous configuration. It returns a decoding error or the error of [Config.Validate].
func ParseConfig(data []byte) (*Config, error) {
	c := &Config{}
	if err := Unmarshal(data, c); err != nil {
		return nil, fmt.Errorf("the configuration can't be read whole: %w", err)
	}
	return c, c.Validate()
}

// Validate returns up to 20 validation errors, each a [FieldError] on a line of its own, or nil
// if the configuration is valid.
func (c *Config) Validate() error {
	v := &validator{services: make(map[string]bool, len(c.Upstreams))}
	if c.Revision == 0 {
		v.report("revision", "is missing or 0")
	}
	v.upstreams(c.Upstreams)
	v.routes(c.Routes)
	v.tenants(c.Tenants)
	return errors.Join(v.errs...)
}

// validator collects the validation errors of one configuration.
type validator struct {
	services map[string]bool // names in upstream_table
	errs     []error
}

func (v *validator) report(field, format string, args ...any) {
	if len(v.errs) < maxFieldErrors {
		v.errs = append(v.errs, &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)})
	}
}

func (v *validator) upstreams(upstreams []Upstream) {
	for i, u := range upstreams {
		if u.Name == "" || v.services[u.Name] {
			v.report(fmt.Sprintf("upstream_table.%d.name", i), "%q is empty or not the only one", u.Name)
		}
		v.services[u.Name] = true
	}
}

func (v *validator) routes(routes []Route) {
	firsts := make(map[string]int, len(routes)) // index of the first route, by host and prefix
	for i := range routes {
		r := &routes[i]
		field := fmt.Sprintf("route_table.%d (%s)", i, r.Name)
		key := RouteKey(r.Host, r.Prefix)
		if first, ok := firsts[key]; ok {
			v.report(field, "shares host_match and path_prefix with route_table.%d", first)
		}
		firsts[key] = i
		v.route(field, r)
	}
}

// The comparisons below are negated so that NaN, which CBOR can encode, is rejected too.

func (v *validator) route(field string, r *Route) {
	if r.Host == "" {
		v.report(field+".host_match", "is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.report(field+".path_prefix", "%q does not begin and end with a slash", r.Prefix)
	}
	if !(r.TimeoutMs > 0) {
		v.report(field+".timeout_ms", "%v: must be above 0", r.TimeoutMs)
	}
	if r.MaxAttempts < 0 {
		v.report(field+".retry_count", "%d is below 0", r.MaxAttempts)
	}
	if len(r.TrafficSplit) > 0 {
		v.trafficSplit(field+".traffic_split", r.TrafficSplit)
	} else if !v.services[r.Upstream] {
		v.report(field+".upstream", "%q is no service of upstream_table", r.Upstream)
	}
}

func (v *validator) trafficSplit(field string, split []WeightedUpstream) {
	sum := 0.0
	for i, s := range split {
		if !v.services[s.Upstream] {
			v.report(fmt.Sprintf("%s.%d.upstream", field, i), "%q is no service of upstream_table", s.Upstream)
		}
		if !(s.Weight >= 0) {
			v.report(fmt.Sprintf("%s.%d.weight", field, i), "%v is below 0", s.Weight)
		}
		sum += s.Weight
	}
	if !(sum > 0) {
		v.report(field, "the weights sum to 0")
	}
}

func (v *validator) tenants(tenants []Tenant) {
	names, keyOwners := map[string]bool{}, map[string]string{}
	for i := range tenants {
		t := &tenants[i]
		if t.Name == "" || names[t.Name] {
			v.report(fmt.Sprintf("tenant_table.%d.name", i), "%q is empty or not the only one", t.Name)
		}
		names[t.Name] = true
		if !IsFieldValue(t.Name) {
			v.report(fmt.Sprintf("tenant_table.%d.name", i), "%q holds a control character", t.Name)
		}
		if !(t.Rate >= 0) || !(t.Burst >= 0) {
			v.report(tenantField(i, t), "rate_per_s or burst_size is below 0")
		}
		v.keys(i, t, keyOwners)
	}
}

// IsFieldValue reports whether a text can be sent as the value of a header field. A tenant's name is
// sent to servers in Tenant-Name; a line feed in it would end the field, and for some servers the
// head.
func IsFieldValue(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f }) < 0
}

// keys validates the API keys of a tenant and records the tenant as their owner.
func (v *validator) keys(i int, t *Tenant, owners map[string]string) {
	for k, key := range t.Keys {
		if owner, ok := owners[key]; ok && owner != t.Name {
			v.report(keyField(i, t, k), "also a key of %s", owner)
		}
		if key == "" {
			v.report(keyField(i, t, k), "is empty")
		}
		owners[key] = t.Name
	}
}

// As there may be many tenants, their field names are formatted only for errors.

func tenantField(i int, t *Tenant) string { return fmt.Sprintf("tenant_table.%d (%s)", i, t.Name) }

func keyField(i int, t *Tenant, k int) string {
	return fmt.Sprintf("%s.api_keys.%d", tenantField(i, t), k)
}
