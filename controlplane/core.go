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
	electionTicks     = 10 // 0.5 to 1 s without a leader
	heartbeatTicks    = 2
	joinIntervalTicks = 8 // between two requests of an isolated member to be added
)

// CoreConfig is what a member needs to begin.
type CoreConfig struct {
	Addr      string   // its own internal address
	Seeds     []string // internal addresses; the first voters where Bootstrap is set
	Bootstrap bool     // the whole system starts for the first time
	Voters    int      // wanted
	Store     Store
	Conns     *api.ConnPool
	Log       *slog.Logger
	Seed      uint64 // of the election time-outs
	// KnownMembers, where set, returns internal addresses at which the process knows of members by
	// other ways than the log, as by discovery. A member that was not added yet asks these beside
	// the seeds. It is called by any goroutine, without locks.
	KnownMembers func() []string
}

// Store keeps a member's durable state: a [storage.Store], which says what each error means.
type Store interface {
	Identity() (raft.ID, error)
	Initialize(raft.ID, raft.Snapshot) error
	Load() (raft.PersistentState, error)
	Save(raft.Ready) error
	Compact(raft.Snapshot) error
}

// Core is one member of the core. It joins the parts that do its work, each in a file of its
// own with its own state; the package comment says how they work together. One mutex guards
// them all, as what one step changes in several of them must be seen together.
type Core struct {
	cfg CoreConfig // never changed
	mu  sync.Mutex // guards all that follows

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

// lifecycle is the time in which a member runs.
type lifecycle struct {
	ctx   context.Context // of Run, nil before; set under Core.mu, and read without by tasks
	tasks sync.WaitGroup  // goroutines that end with ctx; Run waits for them
}

// ended reports whether Run's context has ended.
func (l *lifecycle) ended() bool { return l.ctx != nil && l.ctx.Err() != nil }

// BootstrapID is the id of a first voter: all derive it from its address.
func BootstrapID(addr string) raft.ID {
	return raft.ID(xxhash.Sum64String("bootstrap/"+addr) | 1)
}

// NewCore opens the state on disk, or begins one: as a first voter where the whole system
// starts for the first time, else under a new id, without a vote until the others have added
// it. A snapshot that can't be read is [storage.ErrCorrupt].
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

// openIdentity returns the id in the store, and begins an empty store with a new one.
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
	id = raft.ID(rand.Uint64() &^ 1) // even: never that of a first voter
	if cfg.Bootstrap && slices.Contains(cfg.Seeds, cfg.Addr) {
		id = BootstrapID(cfg.Addr)
	}
	return id, cfg.Store.Initialize(id, first)
}

// connectParts gives each part those that it works with.
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

// roleChangedTo adapts the parts to another role or leader. Called under the mutex.
func (c *Core) roleChangedTo(role raft.Role) {
	c.transport.dropReassemblies()
	if role == raft.Leader {
		c.endpoints.servers.becomeLeader()
	}
}

// Run takes part until the context ends; then it hands leadership on. Where the store loses
// something meanwhile it returns [storage.ErrCorrupt] at once: the member must not go on, as it
// can't know what it has acknowledged, and one with a new id begins in its place.
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

// runTick lets one tick pass in all parts. An error ends Run.
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
