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
	testTimeout  = 30 * time.Second // of the bubble's clock
	pollInterval = 5 * time.Millisecond
)

// cluster are members on machines of a bubble.
type cluster struct {
	t       *testing.T
	net     testNetwork
	timeout time.Duration
	addrs   []string
	seeds   []string // that each machine is given
	voters  int      // wanted
	// knownMembers is what each process knows of members beside the seeds; nil: nothing.
	knownMembers func() []string
	cores        map[string]*Core  // that run, by address
	stops        map[string]func() // likewise
}

// newCluster is a cluster of three members.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := newStoppedCluster(t, 3)
	for _, addr := range c.addrs {
		c.start(addr, memoryDir(t), true)
	}
	return c
}

// newStoppedCluster is one of so many machines of which none was started yet.
func newStoppedCluster(t *testing.T, machines int) *cluster {
	t.Helper()
	return newClusterOn(t, newPipeNetwork(), machines)
}

func newClusterOn(t *testing.T, network testNetwork, machines int) *cluster {
	t.Helper()
	c := &cluster{
		t:       t,
		net:     network,
		timeout: testTimeout,
		voters:  3,
		cores:   map[string]*Core{},
		stops:   map[string]func(){},
	}
	for range machines {
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

// open opens a member on a folder. Its store and its connections are closed when it stops.
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

// serve runs a member, and serves its calls by what stands for it, until it is stopped.
func (c *cluster) serve(addr string, listener net.Listener, core *Core, calls api.Control) {
	server := api.NewServer(nil)
	api.RegisterControl(server, calls)
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
			c.t.Errorf("%s ends with %v", addr, err)
		}
		delete(c.cores, addr)
		delete(c.stops, addr)
	}
}

// waitUntil waits for a condition.
func (c *cluster) waitUntil(what string, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(c.timeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.t.Fatal("timed out: " + what)
		}
		time.Sleep(pollInterval)
	}
}

// awaitLeader waits for a leader that has committed in its term.
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

// awaitRevision waits until all members that run have applied a revision.
func (c *cluster) awaitRevision(revision uint64) {
	c.t.Helper()
	c.waitUntil("all have applied it", func() bool {
		for _, core := range c.cores {
			if appliedBy(core) != revision {
				return false
			}
		}
		return true
	})
}

// appliedBy is the revision that a member has applied.
func appliedBy(core *Core) uint64 {
	core.mu.Lock()
	defer core.mu.Unlock()
	return core.store.state.Revision
}

// client is a client without a member in its process.
func (c *cluster) client() *Client {
	client := &Client{Conns: c.net.conns(), Log: slog.New(slog.DiscardHandler)}
	client.SetMembers("", c.seeds)
	c.t.Cleanup(client.Conns.Close)
	return client
}

// testConfig is a small configuration.
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

// replaceConfig sends a configuration to the leader, and returns the status of the result.
func replaceConfig(client *Client, base uint64, config []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return client.Replace(ctx, &api.ReplaceRequest{Base: base, Config: config}).Status
}

// openMember opens member 1 of three on a disk that holds a snapshot. It does not run, and the
// test stands for the other two.
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

// mustOpenMember opens a member whose snapshot, up to entry 5, has revision 3.
func mustOpenMember(t *testing.T) (*Core, *storage.Store) {
	t.Helper()
	core, store, err := openMember(t, raft.Snapshot{Index: 5, Term: 1, Data: validState(t, 3)})
	if err != nil {
		t.Fatal(err)
	}
	return core, store
}

// openStore opens a store until the test ends.
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

// validState is an encoded state with one revision.
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

// isMember reports whether a member is among others, and may vote.
func isMember(members []raft.Member, id raft.ID) (known, votes bool) {
	i := slices.IndexFunc(members, func(m raft.Member) bool { return m.ID == id })
	return i >= 0, i >= 0 && members[i].Voter
}
