package process

import (
	"bufio"
	"context"
	"errors"
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

// hangTimeout ends a test that hangs. No test result depends on its value.
const hangTimeout = 5 * time.Minute

// machine is a machine on loopback with both roles. It is the only seed, and its platform lists
// one server.
type machine struct {
	t                     *testing.T
	ip, dir               string
	internalPort          int
	front, ready, control string // listener addresses
	platform              string // address of the platform's API
}

// freePorts returns n ports of an address that are free at the moment. The address must be one
// that no other test uses, so that the ports stay free.
func freePorts(t *testing.T, ip string, n int) []int {
	t.Helper()
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer closeAtEnd(t, l) // all stay open until the last is chosen, so that they differ
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// closeAtEnd closes c, which the code under test may have closed already.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// listenLoopback listens on a free port until the test ends.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAtEnd(t, l) })
	return l
}

// startUpstream starts a server that sends the same response to every request, and returns its
// address.
func startUpstream(t *testing.T) string {
	l := listenLoopback(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(c)
		}
	}()
	return l.Addr().String()
}

// answerAll answers the requests of a connection until it is closed or hangTimeout has passed.
func answerAll(c net.Conn) {
	defer func() { _ = c.Close() }() // the other end may have closed it
	if err := c.SetDeadline(time.Now().Add(hangTimeout)); err != nil {
		return
	}
	in := bufio.NewReader(c)
	for {
		h, _, err := h1.ReadFullRequest(in, 1<<14)
		if err != nil {
			return
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nyes",
			h.Get("Attempt-Id"))
		if err != nil {
			return
		}
	}
}

// startPlatform starts a platform API that lists one server, and returns its address.
func startPlatform(t *testing.T, upstream string) string {
	server := api.Server{ID: "i-1", Upstream: "s", Addr: upstream, Zone: "z", Capacity: 4, State: "in_service"}
	list, err := cbor.Marshal(map[string]any{"members": []api.Server{server}})
	if err != nil {
		t.Fatal(err)
	}
	l := listenLoopback(t)
	srv := &http.Server{
		ReadHeaderTimeout: hangTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(list) // the process under test may have ended
		}),
	}
	go func() { _ = srv.Serve(l) }() // returns when the test closes it
	t.Cleanup(func() { closeAtEnd(t, srv) })
	return l.Addr().String()
}

func newMachine(t *testing.T) *machine {
	t.Helper()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>16%64, pid>>8%256, 1+pid%250)
	ports := freePorts(t, ip, 4)
	addr := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	m := &machine{
		t: t, ip: ip, dir: t.TempDir(), internalPort: ports[0],
		front: addr(1), ready: addr(2), control: addr(3),
		platform: startPlatform(t, startUpstream(t)),
	}
	m.writeSettings(true)
	return m
}

func (m *machine) path() string { return filepath.Join(m.dir, "node.toml") }

// settingsText is a settings file with placeholders for values that differ between machines.
const settingsText = `node_name = "n"
served_roles = ["edge", "control"]
ip = %q
zone = "z"
internal_port_range = [%d, %d]
seed_peers = [%q]
bootstrap = %v
quorum_member = true
data_dir = %q
[listeners]
front_port = %q
ready_port = %q
control_port = %q
[timing_bounds]
drain_ms = 3000
grace_s = 6
config_apply_ms = 3000
strict_revocation = true
revoke_ms = 5000
[cloud_api]
address = %q
rate_per_s = 50.0
`

func (m *machine) writeSettings(bootstrap bool) {
	m.t.Helper()
	text := fmt.Sprintf(settingsText, m.ip, m.internalPort, m.internalPort+1, m.control, bootstrap, m.dir,
		m.front, m.ready, m.control, m.platform)
	if err := os.WriteFile(m.path(), []byte(text), 0o600); err != nil {
		m.t.Fatal(err)
	}
}

// removeEdgeRole removes the role with the data plane from the settings.
func (m *machine) removeEdgeRole() {
	m.t.Helper()
	text, err := os.ReadFile(m.path())
	if err != nil {
		m.t.Fatal(err)
	}
	if err := os.WriteFile(m.path(), []byte(strings.Replace(string(text), `"edge", `, "", 1)), 0o600); err != nil {
		m.t.Fatal(err)
	}
}

// newProcess opens the machine's process.
func (m *machine) newProcess() *Process {
	m.t.Helper()
	p, err := New(Options{
		SettingsPath: m.path(),
		Tuning:       settings.DefaultTuning(),
		Log:          slog.New(slog.DiscardHandler),
	})
	if err != nil {
		m.t.Fatal(err)
	}
	return p
}

// start runs the machine's process. stop shuts it down and waits until it has ended.
func (m *machine) start() (p *Process, stop func()) {
	m.t.Helper()
	p = m.newProcess()
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
		case <-time.After(hangTimeout):
			m.t.Fatal("the process does not end after its context was cancelled")
		}
	}
}

// callUntilOK repeats a request until the response has status 200, and returns its body.
func (m *machine) callUntilOK(method, url string, header http.Header, body []byte) []byte {
	m.t.Helper()
	last := ""
	for end := time.Now().Add(hangTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		req, err := http.NewRequest(method, url, strings.NewReader(string(body)))
		if err != nil {
			m.t.Fatal(err)
		}
		req.Header = header
		status, got, err := do(req)
		if err == nil && status == http.StatusOK {
			return got
		}
		last = fmt.Sprint(status, string(got), err)
	}
	m.t.Fatalf("%s %s: %s, want 200", method, url, last)
	return nil
}

// do makes one request and reads the whole response.
func do(req *http.Request) (status int, body []byte, err error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, errors.Join(err, resp.Body.Close())
}

// get makes a client request and returns the body of the server's response.
func (m *machine) get() []byte {
	m.t.Helper()
	header := http.Header{"Authorization": {"Token k"}, "Attempt-Id": {"a"}}
	return m.callUntilOK("GET", "http://"+m.front+"/x", header, nil)
}

// replaceConfig replaces the configuration through the operator interface.
func (m *machine) replaceConfig(base string, conf []byte) {
	m.t.Helper()
	m.callUntilOK("POST", "http://"+m.control+"/v1/Config.Replace", http.Header{"Base-Revision": {base}}, conf)
}

// getConfig reads the configuration through the operator interface.
func (m *machine) getConfig() []byte {
	m.t.Helper()
	return m.callUntilOK("GET", "http://"+m.control+"/v1/Config.Get", nil, nil)
}
