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
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
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
	if p.host.core() != nil || p.client.LocalCore() != nil {
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
	*storage.Store
	lost chan struct{}
}

func (s *lossy) Save(r raft.Ready) error {
	select {
	case <-s.lost:
		return fmt.Errorf("opening it again: %w", storage.ErrCorrupt)
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
	c := newCore3(t)
	disk := &lossy{lost: make(chan struct{})}
	for i := range c.hosts {
		var between func(*storage.Store) controlplane.Store
		if i == 1 {
			between = func(s *storage.Store) controlplane.Store {
				if disk.Store != nil {
					return s // of the new member: it loses nothing
				}
				disk.Store = s
				return disk
			}
		}
		c.start(i, between)
	}
	c.bring(0, 7)
	c.until(func() bool { return c.hosts[1].core() != nil })
	old := c.hosts[1].core()
	close(disk.lost)
	conf := c.bring(7, 8) // it can't save this
	c.until(func() bool { return c.hosts[1].core() != old && c.votes(1, 8) })
	now := c.hosts[1].core().Status()
	if s := old.Status(); s.Halted == "" || s.ID == now.ID {
		t.Errorf("the member that has lost something: %+v", s)
	}
	if r := c.hosts[1].client.Get(t.Context(), &api.GetRequest{}); r.Status != http.StatusOK || !bytes.Equal(r.Config, conf) {
		t.Errorf("its process reads %+v", r)
	}
	c.stops[1]()
	c.start(1, nil)
	if s := c.hosts[1].core().Status(); s.ID != now.ID {
		t.Errorf("at the next start member %s is %s", now.ID, s.ID)
	}
}

// core3 is a core of three machines, each no more than its member's host.
type core3 struct {
	t     *testing.T
	addrs []string
	dirs  []string
	hosts []*host
	stops []func()
	plain int // the machine whose settings have bootstrap off; -1: none
}

func newCore3(t *testing.T) *core3 {
	c := &core3{t: t, plain: -1, hosts: make([]*host, 3), stops: make([]func(), 3)}
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>16%64, pid>>8%256, 251+cores3.Add(1)%4) // no other test's, so that ports stay free
	for _, port := range freePorts(t, ip, 3) {
		c.addrs, c.dirs = append(c.addrs, fmt.Sprintf("%s:%d", ip, port)), append(c.dirs, filepath.Join(t.TempDir(), "log"))
	}
	return c
}

var cores3 atomic.Int32

// start starts a machine.
func (c *core3) start(i int, between func(*storage.Store) controlplane.Store) {
	c.t.Helper()
	conns, log := api.NewConnPool(nil), slog.New(slog.DiscardHandler)
	h := &host{dir: c.dirs[i], client: &controlplane.Client{Conns: conns, Log: log}, log: log, between: between,
		cfg: controlplane.CoreConfig{Addr: c.addrs[i], Seeds: c.addrs, Voters: 3, Conns: conns, Log: log, Seed: uint64(i)}}
	h.client.SetMembers("", c.addrs)
	if err := h.begin(i != c.plain); err != nil {
		c.t.Fatal(err)
	}
	l, err := net.Listen("tcp", c.addrs[i])
	if err != nil {
		c.t.Fatal(err)
	}
	srv := api.NewServer(nil)
	api.RegisterControl(srv, h)
	api.RegisterBootstrap(srv, h)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go srv.Serve(l)
	go func() { h.run(ctx); close(done) }()
	c.hosts[i] = h
	c.stops[i] = sync.OnceFunc(func() {
		cancel()
		srv.Stop()
		<-done
		conns.Close()
		h.close()
	})
	c.t.Cleanup(c.stops[i])
}

// until waits as long as it takes: the test's own time bounds it.
func (c *core3) until(is func() bool) {
	for !is() {
		time.Sleep(5 * time.Millisecond)
	}
}

// bring has a configuration taken, asked for at machine 2.
func (c *core3) bring(base, revision uint64) []byte {
	c.t.Helper()
	conf, err := cbor.Marshal(&api.Config{Revision: revision})
	if err != nil {
		c.t.Fatal(err)
	}
	if r := c.hosts[2].client.Replace(c.t.Context(), &api.ReplaceRequest{Base: base, Config: conf}); r.Status != http.StatusOK {
		c.t.Fatalf("%d: %+v", revision, r)
	}
	return conf
}

// votes tells whether a machine's member has a vote and a revision.
func (c *core3) votes(i int, revision uint64) bool {
	core := c.hosts[i].core()
	if core == nil {
		return false
	}
	s := core.Status()
	return s.Revision == revision && slices.Contains(s.Members, fmt.Sprintf("%s %s voter", s.ID, c.addrs[i]))
}
