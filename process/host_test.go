package process

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/agreement"
	"example.org/elmspan/agreement/logstore"
	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
)

// newer has a member's store say that a newer program wrote it, in a format that none of
// this time can read.
func newer(t *testing.T, dir string) {
	t.Helper()
	text := fmt.Sprintf("elmspan member, format 99, reader 99, sum %016x\n", xxhash.Sum64String(fmt.Sprint(99, 99)))
	if err := os.WriteFile(filepath.Join(dir, "FORMAT.99"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Truncate(filepath.Join(dir, "SEAL"), 1); err != nil { // a form that isn't known here
		t.Fatal(err)
	}
}

func contents(t *testing.T, dir string) map[string]string {
	t.Helper()
	out := map[string]string{}
	all, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		data, err := os.ReadFile(filepath.Join(dir, f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		out[f.Name()] = string(data)
	}
	return out
}

// A machine that is rolled back over a store of a newer format begins no new member: its
// process serves, stays out of the core, says so, and leaves the files as they are; the
// newer program then goes on with all that was confirmed. (Before, it removed the store.)
func TestRolledBackProcessKeepsTheStore(t *testing.T) {
	t.Parallel()
	m := newMachine(t)
	text, err := os.ReadFile(m.path())
	if err != nil {
		t.Fatal(err)
	}
	text = bytes.Replace(text, []byte(`"edge", `), nil, 1) // no traffic here
	if err := os.WriteFile(m.path(), text, 0o600); err != nil {
		t.Fatal(err)
	}
	p, stop := m.start()
	conf, err := cbor.Marshal(&api.Config{Revision: 7})
	if err != nil {
		t.Fatal(err)
	}
	m.call("POST", "http://"+m.control+"/v1/Config.Replace", http.Header{"Base-Revision": {"0"}}, conf, 200)
	id := p.host.core().Status().ID
	stop()
	dir := filepath.Join(m.dir, "log")
	seal, err := os.ReadFile(filepath.Join(dir, "SEAL"))
	if err != nil {
		t.Fatal(err)
	}
	newer(t, dir)
	was := contents(t, dir)
	p, stop = m.start()
	if p.host.core() != nil || p.client.Local != nil {
		t.Error("it takes part in the core")
	}
	if text := m.call("GET", "http://"+m.control+"/v1/Status", nil, nil, 200); !bytes.Contains(text, []byte("newer program")) {
		t.Errorf("its status doesn't say so: %s", text)
	}
	stop()
	if now := contents(t, dir); !maps.Equal(now, was) {
		t.Error("files of the newer program were changed")
	}
	// The newer program again.
	if err := errors.Join(os.WriteFile(filepath.Join(dir, "SEAL"), seal, 0o600), os.Remove(filepath.Join(dir, "FORMAT.99"))); err != nil {
		t.Fatal(err)
	}
	p, stop = m.start()
	defer stop()
	if got := m.call("GET", "http://"+m.control+"/v1/Config.Get", nil, nil, 200); !bytes.Equal(got, conf) {
		t.Error("what was confirmed is gone")
	}
	if now := p.host.core().Status().ID; now != id {
		t.Errorf("member %s is %s", id, now)
	}
}

// lossy is a store that loses, when told to, what it has promised.
type lossy struct {
	*logstore.Store
	lost chan struct{}
}

func (s *lossy) Save(r agreement.Ready) error {
	select {
	case <-s.lost:
		return fmt.Errorf("opening it again: %w", logstore.ErrCorrupt)
	default:
		return s.Store.Save(r)
	}
}

// A member whose store is found corrupt while the process runs is followed by a new
// one, without a restart of the process: under another id, without a vote at first,
// with all that was confirmed fetched from the others; and the next start of the
// process finds that one. (Before, the member was silent until that start.)
func TestStoreLostWhileRunning(t *testing.T) {
	t.Parallel()
	ls, addrs := make([]net.Listener, 3), make([]string, 3)
	for i := range ls {
		var err error
		if ls[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		addrs[i] = ls[i].Addr().String()
	}
	disk, dirs, hosts, stops := &lossy{lost: make(chan struct{})}, []string{t.TempDir(), t.TempDir(), t.TempDir()}, make([]*host, 3), make([]func(), 3)
	start := func(i int, between func(*logstore.Store) controlplane.Store) *host {
		conns, log := api.NewConns(nil), slog.New(slog.DiscardHandler)
		h := &host{dir: dirs[i], client: &controlplane.Client{Conns: conns, Log: log}, log: log, between: between,
			cfg: controlplane.CoreConfig{Addr: addrs[i], Seeds: addrs, Voters: 3, Conns: conns, Log: log, Seed: uint64(i)}}
		h.client.Learn("", addrs)
		if err := h.begin(true); err != nil {
			t.Fatal(err)
		}
		return h
	}
	for i := range hosts {
		var between func(*logstore.Store) controlplane.Store
		if i == 1 {
			between = func(s *logstore.Store) controlplane.Store {
				if disk.Store != nil {
					return s // of the new member: it loses nothing
				}
				disk.Store = s
				return disk
			}
		}
		h := start(i, between)
		srv := api.NewServer(nil)
		api.RegisterControl(srv, h)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go srv.Serve(ls[i])
		go func() { h.run(ctx); close(done) }()
		hosts[i] = h
		stops[i] = sync.OnceFunc(func() {
			cancel()
			srv.Stop()
			<-done
			h.cfg.Conns.Close()
			h.close()
		})
		t.Cleanup(stops[i])
	}
	bring := func(base, revision uint64) []byte {
		t.Helper()
		conf, err := cbor.Marshal(&api.Config{Revision: revision})
		if err != nil {
			t.Fatal(err)
		}
		if r := hosts[0].client.Replace(t.Context(), &api.Replace{Base: base, Config: conf}); r.Status != http.StatusOK {
			t.Fatalf("%d: %+v", revision, r)
		}
		return conf
	}
	bring(0, 7)
	old := hosts[1].core()
	close(disk.lost)
	conf := bring(7, 8) // it can't save this
	var now controlplane.CoreStatus
	for ; ; time.Sleep(10 * time.Millisecond) { // as long as it takes: the test's own time bounds it
		if c := hosts[1].core(); c != nil && c != old {
			if now = c.Status(); now.Revision == 8 && slices.Contains(now.Members, fmt.Sprintf("%s %s voter", now.ID, addrs[1])) {
				break
			}
		}
	}
	if s := old.Status(); s.Halted == "" || s.ID == now.ID {
		t.Errorf("the member that has lost something: %+v", s)
	}
	if r := hosts[1].client.Get(t.Context(), &api.Read{}); r.Status != http.StatusOK || !bytes.Equal(r.Config, conf) {
		t.Errorf("its process reads %+v", r)
	}
	stops[1]()
	again := start(1, nil)
	if s := again.core().Status(); s.ID != now.ID {
		t.Errorf("at the next start member %s is %s", now.ID, s.ID)
	}
	again.close()
}
