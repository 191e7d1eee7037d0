package controlplane

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// An empty tenant table, which lets no request pass without a key, stays one in the log, in a
// snapshot, in an export that is restored, among earlier revisions, and as a delta to limiters
// (docs/incidents/0028).
func TestEmptyTenantTableIsStoredAndRestored(t *testing.T) {
	for name, c := range map[string]struct {
		table        any
		requiresKeys bool
	}{
		"empty": {[]any{}, true}, "null": {nil, false}, "a tenant": {[]api.Tenant{{Name: "t"}}, true},
	} {
		config, err := cbor.Marshal(map[string]any{"revision": 1, "tenant_table": c.table})
		if err != nil {
			t.Fatal(err)
		}
		for form, s := range storedForms(t, config) {
			data, err := s.ConfigAt(1)
			if err != nil {
				t.Fatalf("%s, %s: %v", name, form, err)
			}
			rows, err := api.BuildConfigRows(data, nil)
			if err != nil {
				t.Fatalf("%s, %s: %v", name, form, err)
			}
			if got := requiresKeysAtLimiter(t, rows.Rows); got != c.requiresKeys {
				t.Errorf("%s, %s: keys are required: %t, want %t", name, form, got, c.requiresKeys)
			}
		}
	}
}

// storedForms returns states that hold a configuration of revision 1, by the way in which they came
// to it.
func storedForms(t *testing.T, config []byte) map[string]*State {
	t.Helper()
	var applied State
	entry, err := encodeReplaceCommand(0, 1, config)
	if err != nil {
		t.Fatal(err)
	}
	applied.Apply(entry)
	snapshot := transcode[State](t, &applied)
	file, err := Export(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Import(file)
	if err != nil {
		t.Fatal(err)
	}
	later := *restored
	next, err := cbor.Marshal(map[string]any{"revision": 2})
	if err != nil {
		t.Fatal(err)
	}
	if entry, err = encodeReplaceCommand(1, 2, next); err != nil {
		t.Fatal(err)
	}
	later.Apply(entry)
	return map[string]*State{"applied": &applied, "snapshot": snapshot, "restored": restored, "earlier": &later}
}

// requiresKeysAtLimiter sends rows to a limiter and reports whether it has a tenant then, which is
// when limiters of any version require keys.
func requiresKeysAtLimiter(t *testing.T, rows map[string][]byte) bool {
	t.Helper()
	var table versioned.Table
	table.Replace(1, rows)
	encoded, err := table.DeltaSince(0)
	if err != nil {
		t.Fatal(err)
	}
	delta, err := versioned.OpenDelta(encoded.Data)
	if err != nil {
		t.Fatal(err)
	}
	received, err := delta.ApplyTo(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	for key, value := range received {
		if row, err := api.ParseConfigRow(key, value); err != nil {
			t.Fatal(err)
		} else if row.Tenant != nil {
			return true
		}
	}
	return false
}
