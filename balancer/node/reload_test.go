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

// awaitServedBy waits until the answers come from a server.
func (r *harness) awaitServedBy(by string) {
	r.t.Helper()
	eventually(r.t, "served by "+by, func() bool {
		_, body, _ := r.do(r.newRequest("status-check", "enterprise", ""))
		return body == by
	})
}

// serveName runs a server that answers with a name.
func serveName(t *testing.T, name string) string {
	return serveHTTP(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(name)) })
}

// A new configuration moves the watch: the old one ends at once, the new address
// is asked for the whole list, and what is in hand goes on.
func TestReloadMovesTheWatch(t *testing.T) {
	t.Parallel()
	srv := newRawServer(t)
	r := startNode(t, server("s-a", srv.addr))
	out := r.send(r.newRequest("send-bulk-paid", "enterprise", ""))
	c := srv.accept()
	c.request()
	eventually(t, "a watch is open", func() bool { return r.discovery.openWatches.Load() == 1 })

	next := newDiscovery(t, server("s-b", serveName(t, "b")))
	next.list.Seq = 1 // counts on its own, and below the first one's
	r.writeConfig(configText(next.addr))
	r.node.Reload()
	eventually(t, "the old watch ends", func() bool { return r.discovery.openWatches.Load() == 0 })
	// Until the new list is taken, a request still goes to the old server, which answers none.
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
	c.respond("200 OK", "in hand")
	if res := r.await(out); res.status != 200 || res.body != "in hand" {
		t.Errorf("what was in hand got %d %q", res.status, res.body)
	}
}

// A file that can't be used changes nothing. It may be half written: it is read
// again soon, without another signal.
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
		eventually(t, "the bad file is noticed", func() bool {
			return strings.Count(r.log.String(), "configuration reload failed") > lines
		})
		if _, body, _ := r.do(r.newRequest("status-check", "enterprise", "")); body != "a" {
			t.Errorf("served by %q", body)
		}
	}
	if next.callCount() > 0 {
		t.Error("a bad file moved the watch")
	}
	r.writeConfig(good)
	r.awaitServedBy("b")
}

// The environment goes before the file at the start, but can't change: a file that
// names another address than before moves the watch, and the same file does not.
func TestReloadAgainstTheEnvironment(t *testing.T) {
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
	r.node.Reload() // the file as it was, with an address that was never used
	eventually(t, "the file is read", func() bool {
		return strings.Contains(r.log.String(), "configuration reloaded")
	})
	r.writeConfig(configText(next.addr))
	r.node.Reload()
	r.awaitServedBy("b")
	if n := r.discovery.callCount(); n != calls {
		t.Errorf("%d calls to an address that the unchanged file names", n-calls)
	}
}
