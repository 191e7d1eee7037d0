package api

import (
	"fmt"
	"strings"
)

// A configuration is distributed as a table of rows (package versioned), so that limiters
// receive only the changes. The key of a row begins with its kind. The value is the entry's
// CBOR as the operator sent it.
const (
	routeRow    = 'r' // followed by the host, a space and the prefix
	tenantRow   = 't' // followed by the name
	upstreamRow = 'u' // followed by the name
	limitsRow   = "l" // the complete key
)

// noTenantsRow is the complete key of the row that stands for a tenant table without entries:
// without any tenant row, a limiter could not distinguish it from a table that was left out, and would
// serve requests without a key (docs/incidents/0028). It is the row of a tenant that no
// configuration can have, with an empty name and no key, so that limiters of earlier versions
// require keys too.
const noTenantsRow = string(tenantRow)

// namelessTenant is the value of the row noTenantsRow: the CBOR of {"name": ""}.
var namelessTenant = []byte{0xa1, 0x64, 'n', 'a', 'm', 'e', 0x60}

// RouteKey returns the key of a route's row. Hosts that differ only in case have the same key.
func RouteKey(host, prefix string) string {
	return string(routeRow) + strings.ToLower(host) + " " + prefix
}

// ConfigRow is a decoded row of a configuration. Exactly one of the pointers is set.
type ConfigRow struct {
	// Removed reports that the entry is no longer in the configuration. Only the fields that
	// are part of the row's key are set.
	Removed  bool
	Route    *Route
	Tenant   *Tenant
	Upstream *Upstream
	Limits   *RequestLimits
}

// ParseConfigRow decodes a row. A nil value stands for a removed row. The error is
// [ErrMalformedRow].
func ParseConfigRow(key string, value []byte) (ConfigRow, error) {
	row := ConfigRow{Removed: value == nil}
	entry, err := row.setKind(key)
	if err != nil || row.Removed {
		return row, err
	}
	if err := strictDecMode.Unmarshal(value, entry); err != nil {
		return row, fmt.Errorf("%w: %q: %w", ErrMalformedRow, key, err)
	}
	return row, nil
}

// setKind sets the pointer that belongs to a key and returns it as the target for decoding.
func (row *ConfigRow) setKind(key string) (entry any, err error) {
	if key == "" {
		return nil, fmt.Errorf("%w: key is empty", ErrMalformedRow)
	}
	switch name := key[1:]; key[0] {
	case routeRow:
		host, prefix, ok := strings.Cut(name, " ")
		if !ok {
			return nil, fmt.Errorf("%w: key %q has no path prefix", ErrMalformedRow, key)
		}
		row.Route = &Route{Host: host, Prefix: prefix}
		return row.Route, nil
	case tenantRow:
		row.Tenant = &Tenant{Name: name}
		return row.Tenant, nil
	case upstreamRow:
		row.Upstream = &Upstream{Name: name}
		return row.Upstream, nil
	case limitsRow[0]:
		row.Limits = &RequestLimits{}
		return row.Limits, nil
	}
	return nil, fmt.Errorf("%w: key %q has an unknown kind", ErrMalformedRow, key)
}
