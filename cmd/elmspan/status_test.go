package main

import (
	"encoding/json"
	"testing"

	"example.org/elmspan/controlplane"
	"example.org/elmspan/dataplane"
)

const (
	coreStatusFields = `{"ID":"","Role":"","Leader":"","Term":0,"Commit":0,"Revision":0,"DiskFails":false,` +
		`"Halted":"","Members":null,"Watches":0,"NewsBytes":0,"NewsBytesMost":0}`
	limiterStatusFields = `{"Ready":false,"Draining":false,"Revision":0,"LeaseLeftMs":0,"InHand":0,"Connections":0,` +
		`"QuotaPart":0,"Peers":0,"Servers":null}`
	// With what is left out where there is none.
	fullLimiterStatusFields = `{"Ready":false,"Draining":false,"Revision":0,"LeaseLeftMs":0,"InHand":0,` +
		`"Connections":0,"QuotaPart":0,"DarkZones":["north"],"Peers":0,` +
		`"Servers":[{"ID":"","Service":"","Zone":"","State":"","Out":0,"Load":0}]}`
)

// Scripts and dashboards read what `elmspan status` prints: its fields keep their
// names, whatever the fields of the code are called.
func TestStatusFieldsKeepTheirNames(t *testing.T) {
	full := dataplane.Status{DarkZones: []string{"north"}, Servers: make([]dataplane.ServerStatus, 1)}
	for want, status := range map[string]any{
		coreStatusFields:        controlplane.CoreStatus{},
		limiterStatusFields:     dataplane.Status{},
		fullLimiterStatusFields: full,
	} {
		got, err := json.Marshal(status)
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != want {
			t.Errorf("%T is shown as\n%s\nwant\n%s", status, got, want)
		}
	}
}
