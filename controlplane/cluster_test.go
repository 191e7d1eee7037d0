package controlplane

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

const (
	testTimeout  = 30 * time.Second // fake time in a bubble
	pollInterval = 5 * time.Millisecond
)

// cluster runs control plane members in one process.
type cluster struct {
	t       *testing.T
	net     testNetwork
	timeout time.Duration
	addrs   []string
	seeds   []string // configured on each machine
	voters  int      // target number of voters
	// knownMembers returns the member addresses that each process knows in addition to the seeds.
	// It is optional.
	knownMembers func() []string
	cores        map[string]*Core  // running members by address
	stops        map[string]func() // stop functions of running members by address
}

// newCluster starts a cluster of three members.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := newStoppedCluster(t, 3)
	for _, addr := range c.addrs {
		c.start(addr, memoryDir(t), true)
	}
	return c
}

// newStoppedCluster returns a cluster of n machines on a pipe network, none of them started.
func newStoppedCluster(t *testing.T, n int) *cluster {
	t.Helper()
	return newClusterOn(t, newPipeNetwork(), n)
}

// newClusterOn returns a cluster of n machines on a network, none of them started.
func newClusterOn(t *testing.T, network testNetwork, n int) *cluster {
	t.Helper()
	c := &cluster{
		t:       t,
		net:     network,
		timeout: testTimeout,
		voters:  3,
		cores:   map[string]*Core{},
		stops:   map[string]func(){},
	}
	for range n {
		c.addrs = append(c.addrs, c.net.newAddr())
	}
	c.seeds = c.addrs
	t.Cleanup(func() {
		for _, stop := range c.stops {
			stop()
		}
	})
	return c
}

func (c *cluster) start(addr, dir string, bootstrap bool) {
	c.t.Helper()
	c.startOn(addr, dir, c.net.listen(addr), bootstrap)
}

func (c *cluster) startOn(addr, dir string, listener net.Listener, bootstrap bool) {
	c.t.Helper()
	core := c.open(addr, dir, bootstrap)
	c.serve(addr, listener, core, core)
}

// open opens a member on a data directory. Stopping the member closes its store and connections.
func (c *cluster) open(addr, dir string, bootstrap bool) *Core {
	c.t.Helper()
	store, err := storage.Open(dir)
	if err != nil {
		c.t.Fatal(err)
	}
	core, err := NewCore(CoreConfig{
		Addr:      addr,
		Seeds:     c.seeds,
		Bootstrap: bootstrap,
		Voters:    c.voters,
		Store:     store,
		Conns:     c.net.conns(),
		Log:       slog.New(slog.DiscardHandler),
		Seed:      uint64(len(c.cores)),

		KnownMembers: c.knownMembers,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return core
}

// serve runs a member and serves its RPCs with service until the member is stopped. service is the
// member itself or a wrapper of it.
func (c *cluster) serve(addr string, listener net.Listener, core *Core, service api.Control) {
	server := api.NewServer(nil)
	api.RegisterControl(server, service)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go serveUntilStopped(server, listener)
	go func() { ended <- core.Run(ctx) }()
	c.cores[addr] = core
	c.stops[addr] = func() {
		cancel()
		server.Stop()
		err := <-ended
		core.cfg.Conns.Close()
		if err = errors.Join(err, core.cfg.Store.(*storage.Store).Close()); err != nil {
			c.t.Errorf("stopping %s: %v", addr, err)
		}
		delete(c.cores, addr)
		delete(c.stops, addr)
	}
}

// waitUntil polls until a condition holds, and fails the test on timeout.
func (c *cluster) waitUntil(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(c.timeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatal("timed out waiting for: " + what)
		}
		time.Sleep(pollInterval)
	}
}

// awaitLeader waits for a leader that has committed an entry in its term.
func (c *cluster) awaitLeader() *Core {
	c.t.Helper()
	var leader *Core
	c.waitUntil("a leader", func() bool {
		leader = c.leader()
		return leader != nil
	})
	return leader
}

func (c *cluster) leader() *Core {
	for _, core := range c.cores {
		if core.Leads() {
			return core
		}
	}
	return nil
}

// awaitRevision waits until all running members have applied a revision.
func (c *cluster) awaitRevision(revision uint64) {
	c.t.Helper()
	c.waitUntil("all members have applied the revision", func() bool {
		for _, core := range c.cores {
			if appliedRevisionOf(core) != revision {
				return false
			}
		}
		return true
	})
}

// appliedRevisionOf returns the newest revision that a member has applied.
func appliedRevisionOf(core *Core) uint64 {
	core.mu.Lock()
	defer core.mu.Unlock()
	return core.store.state.Revision
}

// client returns a client in a process that runs no member.
func (c *cluster) client() *Client {
	client := &Client{Conns: c.net.conns(), Log: slog.New(slog.DiscardHandler)}
	client.SetMembers("", c.seeds)
	c.t.Cleanup(client.Conns.Close)
	return client
}

// testConfig returns a small configuration in encoded form.
func testConfig(t *testing.T, revision uint64) []byte {
	t.Helper()
	route := api.Route{
		Name:      "r",
		Host:      "h",
		Prefix:    "/",
		TimeoutMs: 100,
		Upstream:  "a",
	}
	return encodeConfig(t, &api.Config{
		Revision:  revision,
		Upstreams: []api.Upstream{{Name: "a"}},
		Routes:    []api.Route{route},
	})
}

func encodeConfig(t *testing.T, config *api.Config) []byte {
	t.Helper()
	data, err := cbor.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// replaceConfig sends a configuration change to the control plane and returns the result status.
func replaceConfig(client *Client, base uint64, config []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return client.Replace(ctx, &api.ReplaceRequest{Base: base, Config: config}).Status
}

// openMember opens member 1 of three on a store that holds a snapshot. The member is not running,
// and the test takes the place of the other two.
func openMember(t *testing.T, first raft.Snapshot) (*Core, *storage.Store, error) {
	t.Helper()
	store := openStore(t, memoryDir(t))
	first.Members = []raft.Member{
		{ID: 1, Addr: "a", Voter: true},
		{ID: 2, Addr: "b", Voter: true},
		{ID: 3, Addr: "c", Voter: true},
	}
	if err := store.Initialize(1, first); err != nil {
		t.Fatal(err)
	}
	core, err := NewCore(CoreConfig{
		Addr:   "a",
		Voters: 3,
		Store:  store,
		Conns:  api.NewConnPool(nil),
		Log:    slog.New(slog.DiscardHandler),
		Seed:   1,
	})
	return core, store, err
}

// mustOpenMember opens a member whose snapshot at index 5 has revision 3.
func mustOpenMember(t *testing.T) (*Core, *storage.Store) {
	t.Helper()
	core, store, err := openMember(t, raft.Snapshot{Index: 5, Term: 1, Data: validState(t, 3)})
	if err != nil {
		t.Fatal(err)
	}
	return core, store
}

// openStore opens a store and closes it at the end of the test.
func openStore(t *testing.T, dir string) *storage.Store {
	t.Helper()
	store, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := store.Close(); err != nil {
			t.Error(err)
		}
	})
	return store
}

// validState returns an encoded state with one applied revision.
func validState(t *testing.T, revision uint64) []byte {
	t.Helper()
	var s State
	if got := applyReplace(t, &s, 0, revision, testConfig(t, revision)); got != OutcomeApplied {
		t.Fatalf("outcome %d", got)
	}
	data, err := cbor.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// isMember reports whether an ID is in a list of members and whether that member is a voter.
func isMember(members []raft.Member, id raft.ID) (known, votes bool) {
	i := slices.IndexFunc(members, func(m raft.Member) bool { return m.ID == id })
	return i >= 0, i >= 0 && members[i].Voter
}
