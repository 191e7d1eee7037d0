package process

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/h1"
	"example.org/elmspan/settings"
)

const patience = 5 * time.Minute // against a hang alone

// A leader asks the platform at once, whatever the age of its process, then at
// its pace, faster while servers come and go; a limiter asks for itself only when
// the core has been silent for long, and the more seldom the more of them there
// are. (docs/incidents/0003: a second without servers after a start of all. Fails
// where the pause counts from the start.)
func TestWhoAsksThePlatform(t *testing.T) {
	calm := duty{asked: true, leads: true, changed: time.Hour, perS: 50}
	with := func(of func(*duty)) duty {
		d := calm
		of(&d)
		return d
	}
	alone := duty{since: time.Hour, silent: silentFor + 1, configured: true, limiters: 3, pages: 1, perS: 50}
	for name, c := range map[string]struct {
		d    duty
		want bool
	}{
		"a new leader":            {duty{leads: true, since: 100 * time.Millisecond, perS: 50}, true},
		"a leader soon after":     {with(func(d *duty) { d.since = listEvery / 2 }), false},
		"a leader at its pace":    {with(func(d *duty) { d.since = listEvery }), true},
		"while servers change":    {with(func(d *duty) { d.since, d.changed = busyEvery, time.Second }), true},
		"a server is missing":     {with(func(d *duty) { d.since, d.doubt = doubtIn, true }), true},
		"the core speaks":         {duty{since: time.Hour, silent: time.Second, configured: true, limiters: 3, perS: 50}, false},
		"the core is silent":      {alone, true},
		"it has asked just now":   {duty{asked: true, since: ownEvery - 1, silent: time.Hour, configured: true, limiters: 3, perS: 50}, false},
		"with hundreds of others": {duty{asked: true, since: ownEvery, silent: time.Hour, configured: true, limiters: 300, pages: 6, perS: 50}, false},
		"nothing to serve yet":    {duty{since: time.Hour, silent: time.Hour, limiters: 3, perS: 50}, false},
	} {
		if got := c.d.due(); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Who is no member of the core doesn't look round until something can be due: while the
// core speaks that is a few times a minute, and never later than it would ask.
func TestNothingIsLookedAtBeforeItCanBeDue(t *testing.T) {
	d := duty{configured: true, since: time.Hour, limiters: 300, pages: 16, perS: 3200}
	looks, asked := 0, time.Duration(0)
	for now := time.Duration(0); now < 2*time.Minute; now += d.rest(false) {
		if now < time.Minute {
			looks++
		}
		heard := min(now, time.Minute-1) // the core answers each 1.5 s for a minute
		heard -= heard % (1500 * time.Millisecond)
		if d.silent = now - heard; asked == 0 && d.due() {
			asked = now
		}
	}
	if looks > 10 {
		t.Errorf("%d looks in a minute in which nothing was due", looks)
	}
	if last := time.Minute - 1500*time.Millisecond; asked < last+silentFor || asked > time.Minute+silentFor+lookEach {
		t.Errorf("silent from %v on, asked at %v", last, asked)
	}
	for _, c := range []struct {
		asked bool
		want  time.Duration
	}{{false, lookEach / 8}, {true, lookEach}} {
		if d := (&duty{asked: c.asked}); d.rest(true) != c.want {
			t.Errorf("a member that has asked (%v) looks after %v", c.asked, d.rest(true))
		}
	}
}

// machine is one machine on loopback: a core of its own, with a platform and a server.
type machine struct {
	t                     *testing.T
	ip, dir               string
	internal              int
	front, ready, control string
	platform              string
}

// freePorts returns so many ports of an address that nobody listened on a moment
// ago. The address is one that no other test uses, so that none takes them.
func freePorts(t *testing.T, ip string, n int) (out []int) {
	t.Helper()
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		out = append(out, l.Addr().(*net.TCPAddr).Port)
	}
	return out
}

func newMachine(t *testing.T) *machine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() { // a server that answers all alike
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				c.SetDeadline(time.Now().Add(patience))
				in := bufio.NewReader(c)
				for {
					h, _, err := h1.ReadWhole(in, 1<<14)
					if err != nil {
						return
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nyes", h.Get("Attempt-Id"))
				}
			}()
		}
	}()
	list, err := cbor.Marshal(map[string]any{"members": []api.Server{{ID: "i-1", Upstream: "s", Addr: l.Addr().String(), Zone: "z", Capacity: 4, State: "in_service"}}})
	if err != nil {
		t.Fatal(err)
	}
	pl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{ReadHeaderTimeout: patience, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(list)
	})}
	go srv.Serve(pl)
	t.Cleanup(func() { srv.Close() })
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>16%64, pid>>8%256, 1+pid%250)
	p := freePorts(t, ip, 4)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	m := &machine{t: t, ip: ip, dir: t.TempDir(), internal: p[0], front: at(p[1]), ready: at(p[2]), control: at(p[3]), platform: pl.Addr().String()}
	m.settings(true)
	return m
}

func (m *machine) path() string { return filepath.Join(m.dir, "node.toml") }

func (m *machine) settings(bootstrap bool) {
	m.t.Helper()
	text := fmt.Sprintf("node_name = \"n\"\nserved_roles = [\"edge\", \"control\"]\nip = %q\nzone = \"z\"\ninternal_port_range = [%d, %d]\n"+
		"seed_peers = [%q]\nbootstrap = %v\nquorum_member = true\ndata_dir = %q\n[listeners]\nfront_port = %q\nready_port = %q\ncontrol_port = %q\n"+
		"[timing_bounds]\ndrain_ms = 3000\ngrace_s = 6\nconfig_apply_ms = 3000\nstrict_revocation = true\nrevoke_ms = 5000\n[cloud_api]\naddress = %q\nrate_per_s = 50.0\n",
		m.ip, m.internal, m.internal+1, m.control, bootstrap, m.dir, m.front, m.ready, m.control, m.platform)
	if err := os.WriteFile(m.path(), []byte(text), 0o600); err != nil {
		m.t.Fatal(err)
	}
}

// start runs the machine's process and returns what ends it in order.
func (m *machine) start() (p *Process, stop func()) {
	m.t.Helper()
	p, err := New(Options{SettingsPath: m.path(), Tuning: settings.DefaultTuning(), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		m.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	return p, func() {
		m.t.Helper()
		cancel()
		select {
		case err := <-done:
			if err != nil {
				m.t.Error(err)
			}
		case <-time.After(patience):
			m.t.Fatal("the process does not end")
		}
	}
}

// call asks until it is answered so.
func (m *machine) call(method, url string, header http.Header, body []byte, want int) []byte {
	m.t.Helper()
	last := ""
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		req, err := http.NewRequest(method, url, strings.NewReader(string(body)))
		if err != nil {
			m.t.Fatal(err)
		}
		req.Header = header
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if last = fmt.Sprint(resp.StatusCode, string(got), err); err == nil && resp.StatusCode == want {
			return got
		}
	}
	m.t.Fatalf("%s %s: %s, want %d", method, url, last, want)
	return nil
}

func (m *machine) get() []byte {
	m.t.Helper()
	return m.call("GET", "http://"+m.front+"/x", http.Header{"Authorization": {"Token k"}, "Attempt-Id": {"a"}}, nil, 200)
}

// One process takes a configuration, serves, keeps serving through broken
// settings, and serves again after a restart from what is on disk alone.
func TestOneMachine(t *testing.T) {
	t.Parallel()
	m := newMachine(t)
	conf, err := cbor.Marshal(&api.Config{Revision: 7, Upstreams: []api.Upstream{{Name: "s"}},
		Routes:  []api.Route{{Name: "r", Host: m.ip, Prefix: "/", Type: api.Idempotent, TimeoutMs: 5000, Upstream: "s", Retries: 2}},
		Tenants: []api.Tenant{{Name: "t", Keys: []string{"k"}}}})
	if err != nil {
		t.Fatal(err)
	}
	p, stop := m.start()
	m.call("POST", "http://"+m.control+"/v1/Config.Replace", http.Header{"Base-Revision": {"0"}}, conf, 200)
	if got := m.get(); string(got) != "yes" {
		t.Errorf("%q", got)
	}
	m.call("GET", "http://"+m.ready+"/v1/readiness", nil, nil, 200)
	if err := os.WriteFile(m.path(), []byte("ip = 3"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.Reload()
	m.get()
	if p.cfg.Load().IP != m.ip {
		t.Error("broken settings were taken over")
	}
	stop()
	m.settings(false)
	_, stop = m.start()
	defer stop()
	m.get()
	if got := m.call("GET", "http://"+m.control+"/v1/Config.Get", nil, nil, 200); string(got) != string(conf) {
		t.Errorf("%d bytes are read back of %d", len(got), len(conf))
	}
}
