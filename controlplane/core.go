package controlplane

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

const (
	tickInterval      = 50 * time.Millisecond
	electionTicks     = 10 // minimum election time-out, randomized up to twice this: 0.5 to 1 s
	heartbeatTicks    = 2
	joinIntervalTicks = 8 // between two rounds of join requests of an isolated member
)

// CoreConfig configures a [Core].
type CoreConfig struct {
	Addr      string   // its own internal address
	Seeds     []string // internal addresses; the initial voters if Bootstrap is set
	Bootstrap bool     // the whole system starts for the first time
	Voters    int      // target number of voters
	Store     Store
	Conns     *api.ConnPool
	Log       *slog.Logger
	Seed      uint64 // of the random election time-outs
	// KnownMembers, if set, returns internal addresses of members that the process knows from
	// sources other than the log, such as discovery. A process that has not been added yet sends
	// its join requests to these as well as to the seeds. It is called from any goroutine, without
	// locks held.
	KnownMembers func() []string
}

// Store keeps a member's durable state. [storage.Store] implements it and documents the errors.
type Store interface {
	Identity() (raft.ID, error)
	Initialize(raft.ID, raft.Snapshot) error
	Load() (raft.PersistentState, error)
	Save(raft.Ready) error
	Compact(raft.Snapshot) error
}

// Core is one member of the control plane. It connects the parts that do its work, each in its own
// file with its own state; the package comment describes how they work together. One mutex guards
// all of them: a step that changes several parts must appear atomic.
type Core struct {
	cfg CoreConfig // not changed after NewCore
	mu  sync.Mutex // guards all fields below

	lifecycle lifecycle
	notify    notifier
	host      raftHost
	store     configStore
	reads     readIndexBatcher
	watches   watchServer
	members   memberManager
	joiner    joiner
	transport transport
	endpoints endpointManager
}

// lifecycle holds the context and the goroutines of a running member.
type lifecycle struct {
	ctx   context.Context // of Run, nil before; set under Core.mu, read without it by tasks
	tasks sync.WaitGroup  // goroutines that end with ctx; Run waits for them
}

// ended reports whether Run's context has ended.
func (l *lifecycle) ended() bool { return l.ctx != nil && l.ctx.Err() != nil }

// BootstrapID returns the id of an initial voter, which every member derives from its address.
func BootstrapID(addr string) raft.ID {
	return raft.ID(xxhash.Sum64String("bootstrap/"+addr) | 1)
}

// NewCore opens the state on disk, or initializes an empty store: as an initial voter if the
// whole system starts for the first time, otherwise under a new id and without a vote until the
// members have added it. The error for an unreadable snapshot is [storage.ErrCorrupt].
func NewCore(cfg CoreConfig) (*Core, error) {
	id, err := openIdentity(&cfg)
	if err != nil {
		return nil, err
	}
	stored, err := cfg.Store.Load()
	if err != nil {
		return nil, err
	}
	snapshot, err := decodeSnapshot(&stored.Snapshot)
	if err != nil {
		return nil, fmt.Errorf("%w: snapshot: %w", storage.ErrCorrupt, err)
	}
	c := &Core{cfg: cfg}
	c.connectParts()
	c.store.adopt(snapshot)
	c.host.id = id
	c.host.node = raft.New(raft.Config{
		ID:               id,
		ElectionTicks:    electionTicks,
		HeartbeatTicks:   heartbeatTicks,
		Seed:             cfg.Seed,
		ValidateSnapshot: c.store.checkSnapshot,
	}, stored)
	cfg.Log.Info("core member opened", "member", hexID(id),
		"entries", len(stored.Entries), "term", stored.HardState.Term,
		"revision", c.store.state.Revision, "members", len(stored.Snapshot.Members))
	return c, nil
}

// openIdentity returns the id in the store, and initializes an empty store with a new one.
func openIdentity(cfg *CoreConfig) (raft.ID, error) {
	id, err := cfg.Store.Identity()
	if err != nil || id != 0 {
		return id, err
	}
	var first raft.Snapshot
	if cfg.Bootstrap {
		for _, addr := range cfg.Seeds {
			first.Members = append(first.Members, raft.Member{ID: BootstrapID(addr), Addr: addr, Voter: true})
		}
	}
	id = raft.ID(rand.Uint64() &^ 1) // even: never the id of an initial voter
	if cfg.Bootstrap && slices.Contains(cfg.Seeds, cfg.Addr) {
		id = BootstrapID(cfg.Addr)
	}
	return id, cfg.Store.Initialize(id, first)
}

// connectParts gives each part references to the parts that it uses.
func (c *Core) connectParts() {
	c.notify = newNotifier()
	c.host = raftHost{
		cfg: &c.cfg, mu: &c.mu, lifecycle: &c.lifecycle, notify: &c.notify,
		transport: &c.transport, stateMachine: &c.store, roleChanged: c.roleChangedTo,
	}
	c.store = configStore{
		cfg: &c.cfg, mu: &c.mu, host: &c.host, reads: &c.reads, watches: &c.watches, notify: &c.notify,
		casRegister: casRegister{calls: map[uint64]*pendingCall{}},
	}
	c.reads = readIndexBatcher{
		cfg: &c.cfg, mu: &c.mu, lifecycle: &c.lifecycle, host: &c.host, notify: &c.notify, endpoints: &c.endpoints,
	}
	c.watches = watchServer{
		mu: &c.mu, host: &c.host, store: &c.store, reads: &c.reads, endpoints: &c.endpoints, notify: &c.notify,
	}
	c.members = memberManager{
		cfg: &c.cfg, mu: &c.mu, lifecycle: &c.lifecycle, host: &c.host,
		policy: memberPolicy{voters: c.cfg.Voters},
	}
	c.joiner = joiner{cfg: &c.cfg, mu: &c.mu, lifecycle: &c.lifecycle, host: &c.host}
	c.transport = transport{
		cfg: &c.cfg, mu: &c.mu, lifecycle: &c.lifecycle, host: &c.host,
		queues: map[queueKey]*sendQueue{}, callTimeout: callTimeoutFor, acceptsChunks: map[raft.ID]bool{},
		reassemblies: map[raft.ID]*reassembly{}, senderAddrs: map[raft.ID]string{},
	}
	c.endpoints = endpointManager{cfg: &c.cfg, mu: &c.mu, host: &c.host, notify: &c.notify}
}

// roleChangedTo updates the parts after a change of the role or the leader. Called with the mutex
// held.
func (c *Core) roleChangedTo(role raft.Role) {
	c.transport.dropReassemblies()
	if role == raft.Leader {
		c.endpoints.servers.becomeLeader()
	}
}

// Run runs the member until the context ends; then it steps down. If the store loses acknowledged
// data, Run returns [storage.ErrCorrupt] at once: the member can't know what it has acknowledged,
// so it must not continue, and a member with a new id has to replace it.
func (c *Core) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.mu.Lock()
	c.lifecycle.ctx = ctx
	c.mu.Unlock()
	c.lifecycle.tasks.Go(func() { c.endpoints.follow(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.mu.Lock()
			c.host.node.StepDown()
			c.notify.notifyWatchers()
			c.mu.Unlock()
			c.lifecycle.tasks.Wait()
			return nil
		case <-ticker.C:
		}
		if err := c.runTick(); err != nil {
			stop()
			c.lifecycle.tasks.Wait()
			return err
		}
	}
}

// runTick advances all parts by one tick. An error ends Run.
func (c *Core) runTick() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.host.tick()
	if !c.host.suspended {
		c.members.policy.ticks++
		c.members.reconcile()
	}
	c.host.handleReady()
	if c.host.lostDurability != nil {
		return c.host.lostDurability
	}
	if c.host.isolated() && !c.host.suspended && c.members.policy.ticks%joinIntervalTicks == 0 {
		c.joiner.begin()
	}
	return nil
}
