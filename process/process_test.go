package process

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

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

// An operator's connection ends with the first response after the shutdown has begun, while the data plane still
// drains. Calls on kept connections used to go on until the server was closed under one of them.
func TestShutdownClosesOperatorConnections(t *testing.T) {
	t.Parallel()
	m := newMachine(t)
	p := m.newProcess()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	c, err := net.Dial("tcp", m.control)
	if err != nil {
		t.Fatal(err)
	}
	defer closeAtEnd(t, c)
	in := bufio.NewReader(c)
	getStatus := func() *http.Response {
		t.Helper()
		if _, err := io.WriteString(c, "GET /v1/Status HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
		return resp
	}
	if getStatus().Close {
		t.Error("a response before the shutdown closes the connection")
	}
	cancel()
	for end := time.Now().Add(hangTimeout); !p.leaving.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the shutdown does not begin")
		}
	}
	if !getStatus().Close {
		t.Error("a response during the shutdown keeps the connection")
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
