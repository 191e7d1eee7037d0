package api

import (
	"bytes"
	"maps"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// tenantTables are the forms of a tenant table in a configuration. requiresKeys: requests need an
// API key.
var tenantTables = []struct {
	name         string
	fields       map[string]any // of the configuration
	requiresKeys bool
}{
	{"left out", map[string]any{}, false},
	{"null", map[string]any{"tenant_table": nil}, false},
	{"empty", map[string]any{"tenant_table": []any{}}, true},
	{"a tenant without keys", map[string]any{"tenant_table": []any{map[string]any{"name": "t"}}}, true},
	{"a tenant", map[string]any{"tenant_table": []any{
		map[string]any{"name": "t", "api_keys": []string{"k"}},
	}}, true},
}

// encodeWithTenants returns the encoded configuration of a revision with a tenant table.
func encodeWithTenants(t *testing.T, revision uint64, fields map[string]any) []byte {
	t.Helper()
	all := maps.Clone(fields)
	all["revision"] = revision
	all["request_limits"] = nil
	data, err := cbor.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// requiresKeys reads rows as a limiter of any version does: requests need a key if there is a
// tenant.
func requiresKeys(t *testing.T, rows map[string][]byte) bool {
	t.Helper()
	for key, value := range rows {
		row, err := ParseConfigRow(key, value)
		if err != nil {
			t.Fatal(err)
		}
		if row.Tenant != nil {
			return true
		}
	}
	return false
}

// An empty tenant table had the same rows as one that was left out: after the last tenant was taken
// away, limiters served requests with any key, or none (docs/incidents/0028). The rows
// differ, also for limiters of earlier versions, whether they are built anew or by difference.
func TestEmptyTenantTableStillRequiresKeys(t *testing.T) {
	for _, from := range tenantTables {
		previous, err := ValidateConfig(encodeWithTenants(t, 1, from.fields), nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, to := range tenantTables {
			data := encodeWithTenants(t, 2, to.fields)
			byDifference, err := ValidateConfig(data, previous)
			if err != nil {
				t.Fatal(err)
			}
			anew, err := BuildConfigRows(data, nil)
			if err != nil {
				t.Fatal(err)
			}
			if !maps.EqualFunc(byDifference.Rows, anew.Rows, bytes.Equal) {
				t.Errorf("%s, then %s: %q by difference, %q anew", from.name, to.name, byDifference.Rows, anew.Rows)
			}
			if got := requiresKeys(t, anew.Rows); got != to.requiresKeys {
				t.Errorf("%s: keys are required: %t, want %t", to.name, got, to.requiresKeys)
			}
			c, err := ParseConfig(data)
			if err != nil || c.RequiresKeys() != to.requiresKeys {
				t.Errorf("%s, decoded whole: keys are required: %t, %v", to.name, c.RequiresKeys(), err)
			}
		}
	}
}

// A configuration that is decoded and encoded again keeps the form of its tenant table.
func TestTenantTableKeepsItsForm(t *testing.T) {
	for _, table := range tenantTables {
		c, err := ParseConfig(encodeWithTenants(t, 1, table.fields))
		if err != nil {
			t.Fatal(err)
		}
		data, err := cbor.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := ParseConfig(data); err != nil || decoded.RequiresKeys() != table.requiresKeys {
			t.Errorf("%s: keys are required: %t, %v", table.name, decoded.RequiresKeys(), err)
		}
	}
}
