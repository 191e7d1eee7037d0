package controlplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/silverscale/agreement"
	"example.org/silverscale/agreement/logstore"
	"example.org/silverscale/api"
)

const (
	tickEvery      = 50 * time.Millisecond
	electionTicks  = 10 // 0.5 to 1 s without a leader
	heartbeatTicks = 2
	// A voter that was not heard of for so long is replaced where another member
	// stands by; one that stands by is dropped after dropTicks.
	replaceTicks = 60
	dropTicks    = 1200
	tendTicks    = 4 // between two looks at the members
	compactAt    = 64

	deliverTimeout = 400 * time.Millisecond
	sendQueue      = 128
	mostSenders    = 64
	confirmWait    = 700 * time.Millisecond
	watchMost      = 5 * time.Second
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

	mu       sync.Mutex
	node     *agreement.Node
	state    State
	result   map[uint64]*waiter // proposals by index
	changed  chan struct{}      // closed at news for limiters
	heard    chan struct{}      // closed when a round of heartbeats is confirmed
	rounds   uint64             // confirmed when heard was last closed
	role     agreement.Role
	leader   agreement.ID
	servers  uint64 // version of the list
	list     []api.Server
	listAt   time.Time
	ticks    int
	diskDown bool
	queues   map[agreement.ID]chan agreement.Message
	addrs    map[agreement.ID]string // of those who sent something, for answers to them
	ctx      context.Context
	tasks    sync.WaitGroup
}

type waiter struct {
	term uint64
	ch   chan api.Result
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
	c := &Core{cfg: cfg, id: id, result: map[uint64]*waiter{}, changed: make(chan struct{}), heard: make(chan struct{}),
		queues: map[agreement.ID]chan agreement.Message{}, addrs: map[agreement.ID]string{}}
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
	return nil
}

// Run takes part until the context ends; then it hands leadership on.
func (c *Core) Run(ctx context.Context) {
	c.mu.Lock()
	c.ctx = ctx
	c.mu.Unlock()
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
		for _, e := range r.Committed {
			c.apply(e)
		}
		c.node.Advance(r)
	}
	c.compact()
	c.note()
}

func (c *Core) apply(e agreement.Entry) {
	var res api.Result
	if len(e.Data) > 0 {
		before := c.state.Revision
		res = c.state.Apply(e.Data)
		if c.state.Revision != before {
			c.cfg.Log.Info("configuration taken", "revision", c.state.Revision, "index", e.Index)
			c.signal()
		}
	}
	if w := c.result[e.Index]; w != nil {
		delete(c.result, e.Index)
		if w.term != e.Term {
			res = api.Result{}
		}
		w.ch <- res
	}
}

func (c *Core) compact() {
	st := c.node.Applied()
	if st%compactAt != 0 || st == 0 {
		return
	}
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
		if c.role != agreement.Leader {
			c.list, c.servers = nil, 0
		}
		c.signal()
	}
	if k := c.node.Confirmed(); c.role == agreement.Leader && k != c.rounds {
		c.rounds = k
		close(c.heard)
		c.heard = make(chan struct{})
	}
}

// signal wakes those who wait for news.
func (c *Core) signal() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ---- Transport ----

func (c *Core) enqueue(m agreement.Message) {
	q := c.queues[m.To]
	if q == nil {
		addr := c.addrs[m.To]
		for _, x := range c.node.Members() {
			if x.ID == m.To {
				addr = x.Addr
			}
		}
		if addr == "" || c.ctx == nil {
			return
		}
		q = make(chan agreement.Message, sendQueue)
		c.queues[m.To] = q
		id := m.To
		c.tasks.Go(func() { c.deliver(id, addr, q) })
	}
	select {
	case q <- m:
	default: // a peer that takes nothing: what is lost is sent again
	}
}

// deliver sends a member its messages, until it is no member any more.
func (c *Core) deliver(id agreement.ID, addr string, q chan agreement.Message) {
	idle := time.NewTimer(time.Minute)
	defer idle.Stop()
	for {
		d := api.Deliver{From: c.id, Addr: c.cfg.Addr}
		idle.Reset(time.Minute)
		select {
		case <-c.ctx.Done():
			return
		case <-idle.C:
			c.mu.Lock()
			if len(q) == 0 {
				delete(c.queues, id)
				c.mu.Unlock()
				return
			}
			c.mu.Unlock()
			continue
		case m := <-q:
			d.Messages = append(d.Messages, m)
		}
		for len(q) > 0 && len(d.Messages) < sendQueue {
			d.Messages = append(d.Messages, <-q)
		}
		conn, err := c.cfg.Conns.To(addr)
		if err != nil {
			continue
		}
		ctx, cancel := context.WithTimeout(c.ctx, deliverTimeout)
		_, err = api.CallDeliver(ctx, conn, &d)
		cancel()
		if err != nil {
			c.cfg.Log.Debug("a member was not reached", "addr", addr, "err", err)
		}
	}
}

// Deliver takes in messages of other members.
func (c *Core) Deliver(_ context.Context, d *api.Deliver) (*api.None, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.diskDown {
		return &api.None{}, nil
	}
	if len(c.addrs) >= mostSenders {
		clear(c.addrs)
	}
	c.addrs[d.From] = d.Addr
	for _, m := range d.Messages {
		c.node.Step(m)
	}
	c.process()
	return &api.None{}, nil
}

// ---- Members ----

// askIn asks the others to take this member in.
func (c *Core) askIn(ctx context.Context) {
	for _, addr := range c.Addrs() {
		if addr == c.cfg.Addr {
			continue
		}
		conn, err := c.cfg.Conns.To(addr)
		if err != nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, deliverTimeout)
		r, err := api.CallJoin(call, conn, &api.Join{ID: c.id, Addr: c.cfg.Addr})
		cancel()
		if err == nil && r.Status == http.StatusOK {
			return
		}
	}
}

// Addrs are the addresses of the core, as far as known.
func (c *Core) Addrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.cfg.Seeds)
	for _, m := range c.node.Members() {
		out = append(out, m.Addr)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Join takes a process in, at first without a vote.
func (c *Core) Join(_ context.Context, q *api.Join) (*api.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.Role() != agreement.Leader {
		return &api.Result{Leader: c.leaderAddr()}, nil
	}
	ms := c.node.Members()
	if slices.ContainsFunc(ms, func(m agreement.Member) bool { return m.ID == q.ID }) {
		return &api.Result{Status: http.StatusOK}, nil
	}
	err := c.node.Change(append(slices.Clone(ms), agreement.Member{ID: q.ID, Addr: q.Addr}))
	c.process()
	if err != nil {
		return &api.Result{Why: err.Error()}, nil
	}
	c.cfg.Log.Info("a member joins", "id", fmt.Sprintf("%x", uint64(q.ID)), "addr", q.Addr)
	return &api.Result{Status: http.StatusOK}, nil
}

// tend keeps as many voters as wanted, of those that live. A member that
// another one follows at the same address has lost its disk and is gone.
func (c *Core) tend() {
	if c.node.Role() != agreement.Leader {
		return
	}
	ms := c.node.Members()
	var gone, ready *agreement.Member
	n := 0
	for i := range ms {
		m := &ms[i]
		after := slices.ContainsFunc(ms[i+1:], func(o agreement.Member) bool { return o.Addr == m.Addr })
		quiet := c.node.Quiet(m.ID)
		switch {
		case m.Voter:
			n++
			if after || quiet > replaceTicks {
				gone = m
			}
		case after || quiet > dropTicks:
			c.change("drop", m.ID, func(k *agreement.Member) bool { return k.ID != m.ID })
			return
		case quiet < electionTicks && c.node.CaughtUp(m.ID):
			ready = m
		}
	}
	switch {
	case ready != nil && (n < c.cfg.Voters || n == c.cfg.Voters && gone != nil):
		c.change("promote", ready.ID, func(k *agreement.Member) bool {
			k.Voter = k.Voter || k.ID == ready.ID
			return true
		})
	case gone != nil && n > c.cfg.Voters:
		c.change("remove", gone.ID, func(k *agreement.Member) bool { return k.ID != gone.ID })
	}
}

func (c *Core) change(what string, id agreement.ID, keep func(*agreement.Member) bool) {
	var next []agreement.Member
	for _, m := range c.node.Members() {
		if keep(&m) {
			next = append(next, m)
		}
	}
	if err := c.node.Change(next); err != nil {
		if !errors.Is(err, agreement.ErrPending) {
			c.cfg.Log.Warn("members", "change", what, "err", err)
		}
		return
	}
	c.cfg.Log.Info("members", "change", what, "id", fmt.Sprintf("%x", uint64(id)))
	c.process()
}

func (c *Core) leaderAddr() string {
	for _, m := range c.node.Members() {
		if m.ID == c.node.Leader() {
			return m.Addr
		}
	}
	return ""
}
