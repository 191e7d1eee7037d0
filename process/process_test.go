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

// A single process accepts a configuration, serves requests, keeps its settings when the file
// becomes invalid, and after a restart serves again from the state on disk alone.
func TestOneMachineServesAndRestarts(t *testing.T) {
	t.Parallel()
	m := newMachine(t)
	conf, err := cbor.Marshal(&api.Config{
		Revision:  7,
		Upstreams: []api.Upstream{{Name: "s"}},
		Routes: []api.Route{{
			Name: "r", Host: m.ip, Prefix: "/", Type: api.Idempotent, TimeoutMs: 5000, Upstream: "s", MaxAttempts: 2,
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
		t.Error("invalid settings were applied")
	}
	stop()
	m.writeSettings(false)
	_, stop = m.start()
	defer stop()
	m.get()
	if got := m.getConfig(); string(got) != string(conf) {
		t.Errorf("read back a configuration of %d bytes that differs from the %d bytes written", len(got), len(conf))
	}
}

// A process that fails to open closes all its listeners. Guards against ports of the gateway that
// stay open.
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
		t.Fatalf("New with the control port in use: %v", err)
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
