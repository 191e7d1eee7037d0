package api

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ConfigRows is a configuration encoded as rows. It also keeps the entries in the operator's
// order: the next configuration usually differs only in a few entries, and comparing the entries
// in order finds the rows that it can reuse. It is immutable once built.
type ConfigRows struct {
	Revision uint64
	Rows     map[string][]byte // by key; values may be shared with other versions and must not be modified

	// The entries of each table, in the operator's order.
	routes, upstreams, tenants []encodedRow
	validated                  bool // by ValidateConfig, completely
}

// encodedRow is an entry as the operator sent it, with the key of its row.
type encodedRow struct {
	key string
	raw []byte
}

// encodedConfig is a configuration whose entries have not been decoded.
type encodedConfig struct {
	Revision  uint64            `cbor:"revision"`
	Routes    []cbor.RawMessage `cbor:"route_table"`
	Upstreams []cbor.RawMessage `cbor:"upstream_table"`
	Limits    cbor.RawMessage   `cbor:"request_limits"`
	Tenants   []cbor.RawMessage `cbor:"tenant_table"`
}

// BuildConfigRows encodes a validated configuration as rows. It reuses the rows that are equal
// in previous, which may be nil. It returns an error if the configuration can't be decoded.
func BuildConfigRows(data []byte, previous *ConfigRows) (*ConfigRows, error) {
	rows, _, err := buildRows(data, previous, false)
	return rows, err
}

// ValidateConfig validates a configuration as [ParseConfig] does, with the same errors, and
// encodes it as rows. If previous has been validated, only the entries that differ from it are
// decoded and validated. previous may be nil.
func ValidateConfig(data []byte, previous *ConfigRows) (*ConfigRows, error) {
	if previous != nil && previous.validated {
		rows, changed, err := buildRows(data, previous, true)
		if err == nil && rows.validAfter(previous, changed) {
			rows.validated = true
			return rows, nil
		}
	}
	// Only full validation reports each fault with its position in the configuration.
	if _, err := ParseConfig(data); err != nil {
		return nil, err
	}
	rows, err := BuildConfigRows(data, previous)
	if err == nil {
		rows.validated = true
	}
	return rows, err
}

// validAfter reports whether a configuration is valid, given that previous is valid and that
// changed contains the entries that [buildRows] selects for validation. It returns false if the
// configuration is invalid or if these entries alone can't decide it.
func (c *ConfigRows) validAfter(previous *ConfigRows, changed *Config) bool {
	if len(c.Rows) != len(c.routes)+len(c.upstreams)+len(c.tenants)+c.rowsWithoutEntry() {
		return false // two entries have the same key
	}
	for _, u := range previous.upstreams {
		if _, ok := c.Rows[u.key]; !ok {
			return false // an unchanged route may refer to it
		}
	}
	return changed.Validate() == nil
}

// rowsWithoutEntry returns the number of rows that belong to no entry of a table.
func (c *ConfigRows) rowsWithoutEntry() (count int) {
	for _, key := range []string{limitsRow, noTenantsRow} {
		if _, ok := c.Rows[key]; ok {
			count++
		}
	}
	return count
}

// buildRows returns the rows and, if validate is set, a configuration with the entries that
// need validation: the routes that differ from previous, all upstreams (as routes refer to
// them), and all tenants if any tenant differs.
func buildRows(data []byte, previous *ConfigRows, validate bool) (*ConfigRows, *Config, error) {
	var entries encodedConfig
	if err := Unmarshal(data, &entries); err != nil {
		return nil, nil, fmt.Errorf("api: the configuration can't be decoded: %w", err)
	}
	if previous == nil {
		previous = &ConfigRows{}
	}
	n := len(entries.Routes) + len(entries.Upstreams) + len(entries.Tenants) + 1
	rows := &ConfigRows{Revision: entries.Revision, Rows: make(map[string][]byte, n)}
	changed := &Config{Revision: entries.Revision}

	readRoute := routeKeyOf
	if validate {
		readRoute = changed.addRoute
	}
	tenantsChanged := false
	readTenant := func(raw []byte) (string, error) {
		tenantsChanged = true
		return nameKeyOf(tenantRow, raw)
	}
	readUpstream := func(raw []byte) (string, error) { return nameKeyOf(upstreamRow, raw) }

	var err error
	if rows.routes, err = rows.addEntries(entries.Routes, previous.routes, readRoute); err != nil {
		return nil, nil, fmt.Errorf("api: route_table: %w", err)
	}
	if rows.upstreams, err = rows.addEntries(entries.Upstreams, previous.upstreams, readUpstream); err != nil {
		return nil, nil, fmt.Errorf("api: upstream_table: %w", err)
	}
	if rows.tenants, err = rows.addEntries(entries.Tenants, previous.tenants, readTenant); err != nil {
		return nil, nil, fmt.Errorf("api: tenant_table: %w", err)
	}
	if len(entries.Limits) > 0 {
		rows.Rows[limitsRow] = entries.Limits
	}
	if entries.Tenants != nil && len(entries.Tenants) == 0 {
		rows.Rows[noTenantsRow] = namelessTenant
	}
	if !validate {
		return rows, nil, nil
	}
	if err := rows.decodeTables(changed, tenantsChanged); err != nil {
		return nil, nil, err
	}
	return rows, changed, nil
}

// decodeTables decodes into a configuration all entries of the upstream table, the limits and, if
// tenants is set, all entries of the tenant table. Unlike routes, these entries are not validated
// one at a time.
func (c *ConfigRows) decodeTables(into *Config, tenants bool) (err error) {
	if into.Upstreams, err = decodeRows[Upstream](c.upstreams); err != nil {
		return fmt.Errorf("api: upstream_table: %w", err)
	}
	if tenants { // an API key must not belong to two tenants
		if into.Tenants, err = decodeRows[Tenant](c.tenants); err != nil {
			return fmt.Errorf("api: tenant_table: %w", err)
		}
	}
	if limits, ok := c.Rows[limitsRow]; ok {
		if err := strictDecMode.Unmarshal(limits, &into.Limits); err != nil {
			return fmt.Errorf("api: request_limits: %w", err)
		}
	}
	return nil
}

func decodeRows[T any](rows []encodedRow) ([]T, error) {
	out := make([]T, len(rows))
	for i, r := range rows {
		if err := strictDecMode.Unmarshal(r.raw, &out[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// routeKeyOf decodes only the fields of a route's key: a member that applies a committed
// configuration need not understand the other fields.
func routeKeyOf(raw []byte) (string, error) {
	var route struct {
		Host   string `cbor:"host_match"`
		Prefix string `cbor:"path_prefix"`
	}
	err := strictDecMode.Unmarshal(raw, &route)
	return RouteKey(route.Host, route.Prefix), err
}

// addRoute decodes and appends a route, and returns the key of its row.
func (c *Config) addRoute(raw []byte) (string, error) {
	var r Route
	if err := strictDecMode.Unmarshal(raw, &r); err != nil {
		return "", err
	}
	c.Routes = append(c.Routes, r)
	return RouteKey(r.Host, r.Prefix), nil
}

// nameKeyOf returns the row key of an upstream or a tenant. It decodes only the name.
func nameKeyOf(kind byte, raw []byte) (string, error) {
	var entry struct {
		Name string `cbor:"name"`
	}
	err := strictDecMode.Unmarshal(raw, &entry)
	return string(kind) + entry.Name, err
}

// addEntries adds the rows of a table's entries and returns them in order. Keys of entries that
// are also in previous are reused: the common prefix and suffix of both lists are copied, and
// the entries between them are looked up by their bytes. read returns the key of an entry that
// is not in previous.
func (c *ConfigRows) addEntries(
	entries []cbor.RawMessage, previous []encodedRow, read func(raw []byte) (key string, err error),
) ([]encodedRow, error) {
	head, tail := commonPrefixAndSuffix(entries, previous)
	out := make([]encodedRow, len(entries))
	copy(out, previous[:head])
	copy(out[len(out)-tail:], previous[len(previous)-tail:])
	keys := map[string]string{} // of the previous entries between head and tail, by their bytes
	for _, p := range previous[head : len(previous)-tail] {
		keys[string(p.raw)] = p.key
	}
	for i := head; i < len(entries)-tail; i++ {
		key, ok := keys[string(entries[i])]
		if !ok {
			var err error
			if key, err = read(entries[i]); err != nil {
				return nil, fmt.Errorf("entry %d: %w", i, err)
			}
		}
		out[i] = encodedRow{key: key, raw: entries[i]}
	}
	for _, r := range out {
		c.Rows[r.key] = r.raw
	}
	return out, nil
}

// commonPrefixAndSuffix returns the lengths of the common prefix and the common suffix of entries
// and previous. They do not overlap.
func commonPrefixAndSuffix(entries []cbor.RawMessage, previous []encodedRow) (head, tail int) {
	shorter := min(len(entries), len(previous))
	for head < shorter && bytes.Equal(entries[head], previous[head].raw) {
		head++
	}
	for tail < shorter-head &&
		bytes.Equal(entries[len(entries)-1-tail], previous[len(previous)-1-tail].raw) {
		tail++
	}
	return head, tail
}
