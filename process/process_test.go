package process

import (
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

// One process takes a configuration, serves, goes on with its settings while the file is
// broken, and serves again after a restart from what is on disk alone.
func TestOneMachineServesAndRestarts(t *testing.T) {
	t.Parallel()
	m := newMachine(t)
	conf, err := cbor.Marshal(&api.Config{
		Revision:  7,
		Upstreams: []api.Upstream{{Name: "s"}},
		Routes: []api.Route{{
			Name: "r", Host: m.ip, Prefix: "/", Type: api.Idempotent, TimeoutMs: 5000, Upstream: "s", Retries: 2,
		}},
		Tenants: []api.Tenant{{Name: "t", Keys: []string{"k"}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	p, stop := m.start()
	m.replaceConfig("0", conf)
	if got := m.get(); string(got) != "yes" {
		t.Errorf("%q", got)
	}
	m.callUntilOK("GET", "http://"+m.ready+"/v1/readiness", nil, nil)
	if err := os.WriteFile(m.path(), []byte("ip = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.Reload()
	m.get()
	if p.settings.Load().IP != m.ip {
		t.Error("broken settings were taken over")
	}
	stop()
	m.writeSettings(false)
	_, stop = m.start()
	defer stop()
	m.get()
	if got := m.getConfig(); string(got) != string(conf) {
		t.Errorf("%d bytes are read back of %d", len(got), len(conf))
	}
}
