package api

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ConfigRows is a configuration encoded as rows. It also remembers the order of the entries:
// the next configuration usually differs in a few of them, and takes over the rows of the
// others, compared by their bytes alone. It is immutable once it is built.
type ConfigRows struct {
	Revision uint64
	Rows     map[string][]byte // by key; values may be shared with other versions, and must not be changed

	// The entries in the order in which they stood.
	routes, upstreams, tenants []encodedRow
	validated                  bool // ValidateConfig has validated all of it
}

// encodedRow is an entry as the operator sent it, and the key of its row.
type encodedRow struct {
	key string
	raw []byte
}

// encodedConfig is a configuration whose entries are not decoded.
type encodedConfig struct {
	Revision  uint64            `cbor:"revision"`
	Routes    []cbor.RawMessage `cbor:"route_table"`
	Upstreams []cbor.RawMessage `cbor:"upstream_table"`
	Limits    cbor.RawMessage   `cbor:"request_limits"`
	Tenants   []cbor.RawMessage `cbor:"tenant_table"`
}

// BuildConfigRows encodes a configuration that has been validated as rows. Rows that previous
// has too are taken over from it; previous may be nil. The error says that the configuration
// can't be decoded.
func BuildConfigRows(data []byte, previous *ConfigRows) (*ConfigRows, error) {
	rows, _, err := buildRows(data, previous, false)
	return rows, err
}

// ValidateConfig validates a configuration as [ParseConfig] does, with the same errors, and
// encodes it as rows. Where previous has been validated, only the entries that differ are
// decoded and validated; it may be nil.
func ValidateConfig(data []byte, previous *ConfigRows) (*ConfigRows, error) {
	if previous != nil && previous.validated {
		rows, changed, err := buildRows(data, previous, true)
		if err == nil && rows.validAfter(previous, changed) {
			rows.validated = true
			return rows, nil
		}
	}
	// The complete validation names each fault by its position in the configuration.
	if _, err := ParseConfig(data); err != nil {
		return nil, err
	}
	rows, err := BuildConfigRows(data, previous)
	if err == nil {
		rows.validated = true
	}
	return rows, err
}

// validAfter reports whether a configuration is valid given that the previous one is. changed
// has the entries that differ. False: it is not, or that can't be decided from them alone.
func (c *ConfigRows) validAfter(previous *ConfigRows, changed *Config) bool {
	if len(c.Rows) != len(c.routes)+len(c.upstreams)+len(c.tenants)+c.limitsRows() {
		return false // two entries have the same key
	}
	for _, u := range previous.upstreams {
		if _, ok := c.Rows[u.key]; !ok {
			return false // a route that did not change may name it
		}
	}
	return changed.Validate() == nil
}

func (c *ConfigRows) limitsRows() int {
	if _, ok := c.Rows[limitsRow]; ok {
		return 1
	}
	return 0
}

// buildRows returns the rows and, where they are to be validated, a configuration with the
// entries that have to be: the routes that differ from previous, all upstreams (routes name
// them), and all tenants if one of them differs.
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
	if rows.routes, err = rows.takeOver(entries.Routes, previous.routes, readRoute); err != nil {
		return nil, nil, fmt.Errorf("api: route_table: %w", err)
	}
	if rows.upstreams, err = rows.takeOver(entries.Upstreams, previous.upstreams, readUpstream); err != nil {
		return nil, nil, fmt.Errorf("api: upstream_table: %w", err)
	}
	if rows.tenants, err = rows.takeOver(entries.Tenants, previous.tenants, readTenant); err != nil {
		return nil, nil, fmt.Errorf("api: tenant_table: %w", err)
	}
	if len(entries.Limits) > 0 {
		rows.Rows[limitsRow] = entries.Limits
	}
	if !validate {
		return rows, nil, nil
	}
	if err := rows.decodeTables(changed, tenantsChanged); err != nil {
		return nil, nil, err
	}
	return rows, changed, nil
}

// decodeTables decodes what is validated as a complete table, into a configuration.
func (c *ConfigRows) decodeTables(into *Config, tenants bool) (err error) {
	if into.Upstreams, err = decodeRows[Upstream](c.upstreams); err != nil {
		return fmt.Errorf("api: upstream_table: %w", err)
	}
	if tenants { // a key may be another tenant's
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

// routeKeyOf decodes only what is in a route's key: a member that takes over a committed
// configuration need not understand the rest.
func routeKeyOf(raw []byte) (string, error) {
	var route struct {
		Host   string `cbor:"host_match"`
		Prefix string `cbor:"path_prefix"`
	}
	err := strictDecMode.Unmarshal(raw, &route)
	return RouteKey(route.Host, route.Prefix), err
}

// addRoute decodes a route, appends it and returns the key of its row.
func (c *Config) addRoute(raw []byte) (string, error) {
	var r Route
	if err := strictDecMode.Unmarshal(raw, &r); err != nil {
		return "", err
	}
	c.Routes = append(c.Routes, r)
	return RouteKey(r.Host, r.Prefix), nil
}

// nameKeyOf decodes only the name of an upstream or a tenant.
func nameKeyOf(kind byte, raw []byte) (string, error) {
	var entry struct {
		Name string `cbor:"name"`
	}
	err := strictDecMode.Unmarshal(raw, &entry)
	return string(kind) + entry.Name, err
}

// takeOver adds the rows of a table's entries and returns them in order. The key of an entry
// that stands in previous too is taken from there: entries are compared from the beginning
// and from the end, and those between by their bytes. read returns the key of an entry that
// previous does not have.
func (c *ConfigRows) takeOver(
	entries []cbor.RawMessage, previous []encodedRow, read func(raw []byte) (key string, err error),
) ([]encodedRow, error) {
	head, tail := commonEnds(entries, previous)
	out := make([]encodedRow, len(entries))
	copy(out, previous[:head])
	copy(out[len(out)-tail:], previous[len(previous)-tail:])
	keys := map[string]string{} // of previous between head and tail, by their bytes
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

// commonEnds returns how many entries at the beginning and at the end are those of previous.
// They do not overlap.
func commonEnds(entries []cbor.RawMessage, previous []encodedRow) (head, tail int) {
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
