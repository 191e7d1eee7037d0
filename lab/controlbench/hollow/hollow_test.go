package hollow

import (
	"strings"
	"testing"
)

// Every hollow limiter takes over all that it is told, and the report has a line for
// each step with what it held and cost.
func TestHollowLimitersTakeOverAll(t *testing.T) {
	s := Spec{Hollow: 3, Limiters: 40, Zones: 2, Routes: 300, Tenants: 120, Services: 5, Servers: 200, Release: 10, Busy: 50}
	r, err := Run(s)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Steps) != 10 || len(r.Quota) != 5 {
		t.Errorf("%d and %d steps", len(r.Steps), len(r.Quota))
	}
	if held := r.Steps[1].HeapKB; held < 50 || held > 2000 {
		t.Errorf("300 routes and 120 tenants take %.0f KB of heap", held)
	}
	if r.Steps[5].Bytes == 0 || r.Steps[5].Bytes > r.Steps[1].Bytes/4 {
		t.Errorf("one changed route takes %d bytes, the whole %d", r.Steps[5].Bytes, r.Steps[1].Bytes)
	}
	if !strings.Contains(r.Quota[3].Name, "told") || r.Quota[3].Bytes == 0 {
		t.Errorf("of 50 tenants that asked nothing was told: %+v", r.Quota[3])
	}
	var b strings.Builder
	r.Write(&b)
	for _, x := range append(r.Steps, r.Quota...) {
		if !strings.Contains(b.String(), x.Name) {
			t.Errorf("the report lacks %q", x.Name)
		}
	}
}

// What makes no sense is named; what does not fit into a configuration is said.
func TestSpecIsChecked(t *testing.T) {
	_, err := Run(Spec{Hollow: 1, Limiters: 1, Zones: 1, Routes: 1, Tenants: 0, Services: 1, Servers: 1})
	for _, name := range []string{"--tenants", "--limiters"} {
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%v does not name %s", err, name)
		}
	}
	_, err = Run(Spec{Hollow: 1, Limiters: 2, Zones: 1, Routes: 1, Tenants: 140_000, Services: 1, Servers: 1})
	if err == nil || !strings.Contains(err.Error(), "MaxConfig") {
		t.Errorf("a configuration that is too long: %v", err)
	}
}
