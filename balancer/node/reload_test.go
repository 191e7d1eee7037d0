package node

import (
	"net/http"
	"os"
	"strings"
	"testing"
)

// writeConfig replaces the limiter's configuration file.
func (r *harness) writeConfig(data []byte) {
	r.t.Helper()
	if err := os.WriteFile(r.node.cfg.path, data, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// awaitServedBy waits until requests are served by the server with this name.
func (r *harness) awaitServedBy(by string) {
	r.t.Helper()
	eventually(r.t, "served by "+by, func() bool {
		_, body, _ := r.do(r.newRequest("status-check", "enterprise", ""))
		return body == by
	})
}

// serveName runs a server that responds with its name.
func serveName(t *testing.T, name string) string {
	return serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(name)) })
}

// A new discovery address takes effect on a reload: the old watch ends at once, the complete list
// is requested from the new address, and requests in flight continue.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := startNode(t, server("s-a", srv.addr))
	out := r.send(r.newRequest("send-bulk-paid", "enterprise", ""))
	c := srv.accept()
	c.request()
	eventually(t, "a watch is open", func() bool { return r.discovery.openWatches.Load() == 1 })

	next := newDiscovery(t, server("s-b", serveName(t, "b")))
	next.list.Seq = 1 // lower than the index at the old address
	r.writeConfig(configText(next.addr))
	r.node.Reload()
	eventually(t, "the old watch ends", func() bool { return r.discovery.openWatches.Load() == 0 })
	// Until the new list is applied, requests would go to the old server, which does not respond.
	eventually(t, "the new list is watched", func() bool { return next.openWatches.Load() == 1 })
	r.awaitServedBy("b")
	next.mu.Lock()
	if next.firstURI != "/v1/servers" {
		t.Errorf("the first call was %q", next.firstURI)
	}
	next.mu.Unlock()
	calls := r.discovery.callCount()
	next.set(server("s-c", serveName(t, "c")))
	r.awaitServedBy("c")
	if n := r.discovery.callCount(); n != calls {
		t.Errorf("%d more calls to the old address", n-calls)
	}
	c.respond("200 OK", "in flight")
	if res := r.await(out); res.status != 200 || res.body != "in flight" {
		t.Errorf("the request in flight got %d %q", res.status, res.body)
	}
}

// An invalid file changes nothing. As it may be only partly written, loading it is retried soon,
// without another signal.
func TestReloadOfABadFile(t *testing.T) {
	t.Parallel()
	r := startNode(t, server("s-a", serveName(t, "a")))
	next := newDiscovery(t, server("s-b", serveName(t, "b")))
	good := configText(next.addr)
	for _, text := range []string{"", string(good[:len(good)/2]),
		strings.Replace(string(good), next.addr, "nowhere", 1)} {
		r.writeConfig([]byte(text))
		lines := strings.Count(r.log.String(), "configuration reload failed")
		r.node.Reload()
		eventually(t, "the invalid file is reported", func() bool {
			return strings.Count(r.log.String(), "configuration reload failed") > lines
		})
		if _, body, _ := r.do(r.newRequest("status-check", "enterprise", "")); body != "a" {
			t.Errorf("served by %q", body)
		}
	}
	if next.callCount() > 0 {
		t.Error("an invalid file changed the discovery address")
	}
	r.writeConfig(good)
	r.awaitServedBy("b")
}

// The environment overrides the file at startup, but can't change later. On a reload, an address
// that is new in the file takes effect, while an unchanged file keeps the address in use.
func TestReloadOverridesEnvironment(t *testing.T) {
	t.Parallel()
	old, next := newDiscovery(t, server("s-a", serveName(t, "a"))), newDiscovery(t, server("s-b", serveName(t, "b")))
	r := startNodeWith(t, func(c *Config) {
		c.Discovery = old.addr
		c.getenv = func(name string) string {
			return map[string]string{"NODE_DISCOVERY": old.addr}[name]
		}
	}, server("s-x", serveName(t, "x")))
	r.awaitServedBy("a")
	calls := r.discovery.callCount()
	r.node.Reload() // the unchanged file, whose address is not in use
	eventually(t, "the file is read", func() bool {
		return strings.Contains(r.log.String(), "configuration reloaded")
	})
	r.writeConfig(configText(next.addr))
	r.node.Reload()
	r.awaitServedBy("b")
	if n := r.discovery.callCount(); n != calls {
		t.Errorf("%d calls to the address in the unchanged file", n-calls)
	}
}
