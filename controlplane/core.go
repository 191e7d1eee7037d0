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
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/agreement"
	"example.org/elmspan/agreement/logstore"
	"example.org/elmspan/api"
	"example.org/elmspan/changes"
)

const (
	tickEvery      = 50 * time.Millisecond
	electionTicks  = 10 // 0.5 to 1 s without a leader
	heartbeatTicks = 2
	// The log is cut short after so many entries, or so many bytes of them: members
	// hold it in memory.
	compactAt    = 64
	compactBytes = 512 << 10
)

// CoreConfig is what a member is told.
type CoreConfig struct {
	Addr      string   // its own internal address
	Seeds     []string // internal addresses; the first voters where Bootstrap is set
	Bootstrap bool
	Voters    int // wanted
	Store     *logstore.Store
	Conns     *api.Conns
	Log       *slog.Logger
	Seed      uint64
}

// Core is one member of the core: the host of an [agreement.Node].
type Core struct {
	cfg CoreConfig
	id  agreement.ID

	mu sync.Mutex
	register
	changed  chan struct{} // closed at news for limiters
	heard    chan struct{} // closed when a round of heartbeats is confirmed
	rounds   uint64        // confirmed when heard was last closed
	role     agreement.Role
	leader   agreement.ID
	configs  changes.Table // the rows of the configuration
	servers  serverList
	asks     asks
	ticks    int
	logged   int // bytes applied since the log was cut short
	diskDown bool
	lanes    map[agreement.ID]*lane
	addrs    map[agreement.ID]string // of those who sent something, for answers to them
	ctx      context.Context
	tasks    sync.WaitGroup
}

// BootstrapID is the id of a first voter: all derive it from its address.
func BootstrapID(addr string) agreement.ID {
	return agreement.ID(xxhash.Sum64String("bootstrap/"+addr) | 1)
}

// NewCore opens the state on disk, or begins one: as a first voter where the
// whole system starts for the first time, else under a new id, without a vote
// until the others have taken it in.
func NewCore(cfg CoreConfig) (*Core, error) {
	id, err := cfg.Store.Identity()
	if err != nil {
		return nil, err
	}
	if id == 0 {
		var first agreement.Snapshot
		if cfg.Bootstrap {
			for _, a := range cfg.Seeds {
				first.Members = append(first.Members, agreement.Member{ID: BootstrapID(a), Addr: a, Voter: true})
			}
		}
		if id = agreement.ID(rand.Uint64() &^ 1); cfg.Bootstrap && slices.Contains(cfg.Seeds, cfg.Addr) {
			id = BootstrapID(cfg.Addr)
		}
		if err := cfg.Store.Begin(id, first); err != nil {
			return nil, err
		}
	}
	st, err := cfg.Store.Load()
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, id: id, register: register{calls: map[uint64]*pending{}}, changed: make(chan struct{}), heard: make(chan struct{}),
		lanes: map[agreement.ID]*lane{}, addrs: map[agreement.ID]string{}}
	if err := c.restore(st.Snapshot); err != nil {
		return nil, err
	}
	c.node = agreement.New(agreement.Config{ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: cfg.Seed}, st)
	cfg.Log.Info("core member", "id", fmt.Sprintf("%x", uint64(id)), "entries", len(st.Entries), "term", st.Hard.Term,
		"revision", c.state.Revision, "members", len(st.Snapshot.Members))
	return c, nil
}

func (c *Core) restore(s agreement.Snapshot) error {
	c.state = State{}
	if len(s.Data) == 0 {
		return nil
	}
	if err := cbor.Unmarshal(s.Data, &c.state); err != nil {
		return fmt.Errorf("%w: snapshot: %v", logstore.ErrCorrupt, err)
	}
	if err := c.tabulate(); err != nil {
		return fmt.Errorf("%w: snapshot: %v", logstore.ErrCorrupt, err)
	}
	return nil
}

// tabulate makes the newest configuration the one that limiters are told of.
func (c *Core) tabulate() error {
	if c.state.Revision == 0 {
		return nil
	}
	data, err := c.state.Config()
	if err != nil {
		return err
	}
	revision, rows, err := api.ConfigRows(data)
	if err != nil {
		return err
	}
	c.configs.Replace(revision, rows)
	return nil
}

// Run takes part until the context ends; then it hands leadership on.
func (c *Core) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
	c.tasks.Go(func() { c.follow(ctx) })
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			c.mu.Lock()
			c.node.Resign()
			c.signal()
			c.mu.Unlock()
			c.tasks.Wait()
			return
		case <-t.C:
		}
		c.mu.Lock()
		if !c.diskDown {
			c.node.Tick()
			if c.ticks++; c.ticks%tendTicks == 0 {
				c.tend()
			}
		}
		c.process()
		stray := c.node.Leader() == 0 || !slices.ContainsFunc(c.node.Members(), func(m agreement.Member) bool { return m.ID == c.id })
		ask := stray && !c.diskDown && c.ticks%8 == 0
		c.mu.Unlock()
		if ask {
			c.tasks.Go(func() { c.askIn(ctx) })
		}
	}
}

// HandOver makes a leader that is about to end call an election elsewhere.
func (c *Core) HandOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.Transfer()
	c.process()
}

// process carries out what the node has ready. Called under the mutex.
func (c *Core) process() {
	for {
		r := c.node.Ready()
		if r.Empty() {
			break
		}
		if r.MustSync() {
			if err := c.cfg.Store.Save(r); err != nil {
				if !c.diskDown {
					c.cfg.Log.Error("the disk takes no writes: promising nothing", "err", err)
				}
				c.diskDown = true
				c.node.Resign()
				c.note()
				return // tried again at the next tick; nothing has gone out
			}
		}
		if c.diskDown {
			c.diskDown = false
			c.cfg.Log.Info("the disk takes writes again")
		}
		for _, m := range r.Messages {
			c.enqueue(m)
		}
		if r.Snapshot != nil {
			if err := c.restore(*r.Snapshot); err != nil {
				c.cfg.Log.Error("a snapshot can't be read", "err", err)
			}
		}
		news := false
		for _, e := range r.Committed {
			news = c.apply(e) || news
		}
		if news { // of several at once, as after a start, limiters are told the last
			if err := c.tabulate(); err != nil { // it was checked before it was proposed
				c.cfg.Log.Error("a configuration can't be told", "revision", c.state.Revision, "err", err)
			}
			c.signal()
		}
		c.node.Advance(r)
	}
	c.compact()
	c.note()
}

// apply carries out an entry, and tells whether it brought a configuration.
func (c *Core) apply(e agreement.Entry) (news bool) {
	c.logged += len(e.Data)
	called := c.calls[e.Index] != nil
	if news = c.register.apply(e); news {
		c.cfg.Log.Info("configuration taken", "revision", c.state.Revision, "index", e.Index)
	}
	if called {
		c.hear()
	}
	return news
}

func (c *Core) compact() {
	st := c.node.Applied()
	if st == 0 || st%compactAt != 0 && c.logged < compactBytes {
		return
	}
	c.logged = 0
	data, err := cbor.Marshal(c.state)
	if err != nil {
		c.cfg.Log.Error("encoding a snapshot", "err", err)
		return
	}
	if s := c.node.Compact(st, data); s != nil {
		if err := c.cfg.Store.Compact(*s); err != nil {
			c.cfg.Log.Warn("compacting the log", "err", err)
		}
	}
}

// note tells those who wait of changed roles and confirmed rounds.
func (c *Core) note() {
	if c.role != c.node.Role() || c.leader != c.node.Leader() {
		c.role, c.leader = c.node.Role(), c.node.Leader()
		c.cfg.Log.Info("role", "role", c.role.String(), "term", c.node.Term(), "leader", fmt.Sprintf("%x", uint64(c.leader)))
		if c.role == agreement.Leader {
			c.servers.lead()
		}
		c.signal()
	}
	if k := c.node.Confirmed(); c.role == agreement.Leader && k != c.rounds {
		c.rounds = k
		c.hear()
	}
}

// hear wakes those who wait for a confirmation or the end of a call.
func (c *Core) hear() {
	close(c.heard)
	c.heard = make(chan struct{})
}

// signal wakes those who wait for news.
func (c *Core) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}
