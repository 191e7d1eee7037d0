package api

import (
	"fmt"
	"strings"
)

// A configuration is distributed as a table of rows (package versioned), so that a limiter
// gets only what changed. A row's key begins with its kind, its value is the entry's CBOR as
// the operator sent it.
const (
	routeRow    = 'r' // followed by the host, a space and the prefix
	tenantRow   = 't' // followed by the name
	upstreamRow = 'u' // followed by the name
	limitsRow   = "l" // the whole key
)

// RouteKey is the key of a route's row. Hosts that differ in case alone have the same key.
func RouteKey(host, prefix string) string {
	return string(routeRow) + strings.ToLower(host) + " " + prefix
}

// ConfigRow is one decoded row of a configuration: one of the pointers is set.
type ConfigRow struct {
	// Removed: the entry is not in the configuration any more. It has only the fields that
	// are in the row's key.
	Removed  bool
	Route    *Route
	Tenant   *Tenant
	Upstream *Upstream
	Limits   *RequestLimits
}

// ParseConfigRow decodes a row. A nil value is that of a removed row. The error is
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

// setKind sets the pointer for a key and returns it, for the value to be decoded into.
func (row *ConfigRow) setKind(key string) (entry any, err error) {
	if key == "" {
		return nil, fmt.Errorf("%w: an empty key", ErrMalformedRow)
	}
	switch name := key[1:]; key[0] {
	case routeRow:
		host, prefix, ok := strings.Cut(name, " ")
		if !ok {
			return nil, fmt.Errorf("%w: %q has no prefix", ErrMalformedRow, key)
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
	return nil, fmt.Errorf("%w: %q is of no known kind", ErrMalformedRow, key)
}
