package process

import (
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/settings"
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

// A process that can't be opened leaves no port behind. (Before, the gateway's ports stayed open.)
func TestPortsAreFreeAfterAFailedStart(t *testing.T) {
	t.Parallel()
	m := newMachine(t)
	taken, err := net.Listen("tcp", m.control)
	if err != nil {
		t.Fatal(err)
	}
	defer closeAtEnd(t, taken)
	options := Options{
		SettingsPath: m.path(),
		Tuning:       settings.DefaultTuning(),
		Log:          slog.New(slog.DiscardHandler),
	}
	if _, err := New(options); err == nil || !strings.Contains(err.Error(), "control_port") {
		t.Fatalf("opened though its control port is taken: %v", err)
	}
	for _, addr := range []string{m.front, m.ready} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Errorf("%s is still open: %v", addr, err)
			continue
		}
		closeAtEnd(t, l)
	}
}
