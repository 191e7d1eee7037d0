package process

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/raft/storage"
)

// cluster is a control plane of three machines on loopback. Each machine consists only of a
// memberHost and its server.
type cluster struct {
	t     *testing.T
	addrs []string
	dirs  []string
	hosts []*memberHost
	stops []func()
	// withoutBootstrap is the index of the machine with bootstrap off; -1: none.
	withoutBootstrap int
}

// clusters counts the clusters, so that each can have its own address.
var clusters atomic.Int32

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, withoutBootstrap: -1, hosts: make([]*memberHost, 3), stops: make([]func(), 3)}
	pid := os.Getpid()
	// An address that no other test uses, so that the ports stay free.
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>16%64, pid>>8%256, 251+clusters.Add(1)%4)
	for _, port := range freePorts(t, ip, 3) {
		c.addrs = append(c.addrs, fmt.Sprintf("%s:%d", ip, port))
		c.dirs = append(c.dirs, filepath.Join(t.TempDir(), "log"))
	}
	return c
}

// start starts machine i. wrapStore may be nil.
func (c *cluster) start(i int, wrapStore func(*storage.Store) controlplane.Store) {
	c.t.Helper()
	conns, log := api.NewConnPool(nil), slog.New(slog.DiscardHandler)
	h := &memberHost{
		dir:       c.dirs[i],
		client:    &controlplane.Client{Conns: conns, Log: log},
		log:       log,
		wrapStore: wrapStore,
		cfg: controlplane.CoreConfig{
			Addr: c.addrs[i], Seeds: c.addrs, Voters: 3, Conns: conns, Log: log, Seed: uint64(i),
		},
	}
	h.client.SetMembers("", c.addrs)
	if err := h.open(i != c.withoutBootstrap); err != nil {
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
	go func() { _ = srv.Serve(l) }() // returns when the server is stopped
	go func() { h.run(ctx); close(done) }()
	c.hosts[i] = h
	c.stops[i] = sync.OnceFunc(func() {
		cancel()
		srv.Stop()
		<-done
		conns.Close()
		_ = h.close() // closing a store that the test has damaged may fail
	})
	c.t.Cleanup(c.stops[i])
}

// startAll starts the machines in the given order.
func (c *cluster) startAll(order ...int) {
	c.t.Helper()
	for _, i := range order {
		c.start(i, nil)
	}
}

// loseDisks stops machines, deletes their stores, starts them again and waits until each has a
// member. It returns the ids of their previous members.
func (c *cluster) loseDisks(machines ...int) (before []string) {
	c.t.Helper()
	for _, i := range machines {
		before = append(before, c.hosts[i].core().Status().ID)
		c.stops[i]()
		if err := os.RemoveAll(c.dirs[i]); err != nil {
			c.t.Fatal(err)
		}
	}
	c.startAll(machines...)
	for _, i := range machines {
		c.waitUntil(func() bool { return c.hosts[i].core() != nil })
	}
	return before
}

// waitUntil waits until the condition holds. It is limited only by the time-out of the test run.
func (c *cluster) waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

// replaceConfig replaces the configuration through machine 2 and returns the new one.
func (c *cluster) replaceConfig(base, revision uint64) []byte {
	c.t.Helper()
	conf, err := cbor.Marshal(&api.Config{Revision: revision})
	if err != nil {
		c.t.Fatal(err)
	}
	r := c.hosts[2].client.Replace(c.t.Context(), &api.ReplaceRequest{Base: base, Config: conf})
	if r.Status != http.StatusOK {
		c.t.Fatalf("replacing the configuration by revision %d: %+v", revision, r)
	}
	return conf
}

// isVoter reports whether a machine's member is a voter and has the given revision.
func (c *cluster) isVoter(i int, revision uint64) bool {
	core := c.hosts[i].core()
	if core == nil {
		return false
	}
	s := core.Status()
	return s.Revision == revision && slices.Contains(s.Members, fmt.Sprintf("%s %s voter", s.ID, c.addrs[i]))
}

// waitForVoters waits until all three members are voters and have the given revision.
func (c *cluster) waitForVoters(revision uint64) {
	c.waitUntil(func() bool { return c.isVoter(0, revision) && c.isVoter(1, revision) && c.isVoter(2, revision) })
}
