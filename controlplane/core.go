package controlplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
	"example.org/elmspan/versioned"
)

const (
	tickEvery      = 50 * time.Millisecond
	electionTicks  = 10 // 0.5 to 1 s without a leader
	heartbeatTicks = 2
	stallTicks     = 2 * electionTicks // a disk that keeps a member waiting so long counts as failed
)

// CoreConfig is what a member is told.
type CoreConfig struct {
	Addr      string   // its own internal address
	Seeds     []string // internal addresses; the first voters where Bootstrap is set
	Bootstrap bool
	Voters    int // wanted
	Store     Store
	Conns     *api.ConnPool
	Log       *slog.Logger
	Seed      uint64
}

// Store keeps a member's promises: a [storage.Store], which says what each error means.
type Store interface {
	Identity() (raft.ID, error)
	Initialize(raft.ID, raft.Snapshot) error
	Load() (raft.Stored, error)
	Save(raft.Ready) error
	Compact(raft.Snapshot) error
}

// Core is one member of the core: the host of an [raft.Node].
type Core struct {
	cfg CoreConfig
	id  raft.ID

	mu sync.Mutex
	register
	changed chan struct{} // closed at news for limiters
	heard   chan struct{} // closed when a round of heartbeats is confirmed
	rounds  uint64        // confirmed when heard was last closed
	role    raft.Role
	leader  raft.ID
	configs versioned.Table // the rows of the configuration
	split   *api.ConfigRows // ... as they stood in it; nil: none was taken yet
	checked *checked        // what an operator brought last
	servers serverList
	asks    asks
	ticks   int
	keeper  keeper
	// carrying: a task carries out what the node has ready, one batch after the other;
	// writes is how many ticks it has been waiting for the disk.
	carrying bool
	writing  bool
	writes   int
	withheld []raft.Message // until what they promise is on disk
	// diskDown: nothing is promised or answered, as the disk takes no writes or, where
	// halted says why, as this member can't carry on what the others agreed on.
	diskDown bool
	halted   string
	lost     error    // what was promised is gone from the disk: Run ends with it
	decoded  *decoded // the snapshot that was checked last, until it is taken over
	unread   uint64   // index of the last snapshot that can't be read, to say so once
	refused  uint64   // snapshots that came and were not taken over, as far as logged
	encoded  int      // snapshots made
	lanes    map[laneKey]*lane
	within   func(bytes int) time.Duration // how long a call with so much may take
	parted   map[raft.ID]bool              // members that take messages in parts
	partly   map[raft.ID]*parts            // what has come of some
	addrs    map[raft.ID]string            // of those who sent something, for answers to them
	ctx      context.Context
	tasks    sync.WaitGroup
}

// BootstrapID is the id of a first voter: all derive it from its address.
func BootstrapID(addr string) raft.ID {
	return raft.ID(xxhash.Sum64String("bootstrap/"+addr) | 1)
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
		var first raft.Snapshot
		if cfg.Bootstrap {
			for _, a := range cfg.Seeds {
				first.Members = append(first.Members, raft.Member{ID: BootstrapID(a), Addr: a, Voter: true})
			}
		}
		if id = raft.ID(rand.Uint64() &^ 1); cfg.Bootstrap && slices.Contains(cfg.Seeds, cfg.Addr) {
			id = BootstrapID(cfg.Addr)
		}
		if err := cfg.Store.Initialize(id, first); err != nil {
			return nil, err
		}
	}
	st, err := cfg.Store.Load()
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, id: id, register: register{calls: map[uint64]*pending{}}, keeper: keeper{wanted: cfg.Voters}, changed: make(chan struct{}), heard: make(chan struct{}),
		lanes: map[laneKey]*lane{}, within: deliverWithin, parted: map[raft.ID]bool{}, partly: map[raft.ID]*parts{}, addrs: map[raft.ID]string{}}
	d, err := decode(&st.Snapshot)
	if err != nil {
		return nil, fmt.Errorf("%w: snapshot: %v", storage.ErrCorrupt, err)
	}
	c.takeOver(d)
	c.node = raft.New(raft.Config{ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: cfg.Seed, Check: c.check}, st)
	cfg.Log.Info("core member", "id", fmt.Sprintf("%x", uint64(id)), "entries", len(st.Entries), "term", st.Hard.Term,
		"revision", c.state.Revision, "members", len(st.Snapshot.Members))
	return c, nil
}

// TookPart tells whether this member has taken part in an agreement: it knows of a term,
// or of something agreed on.
func (c *Core) TookPart() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Term() > 0 || c.node.LastIndex() > 0
}

// decoded is a snapshot as it is answered from.
type decoded struct {
	index, term uint64
	state       State
	split       *api.ConfigRows // nil: no configuration was taken yet
}

// decode reads a snapshot whole, down to what limiters are told of it.
func decode(s *raft.Snapshot) (d *decoded, err error) {
	d = &decoded{index: s.Index, term: s.Term}
	if len(s.Data) == 0 {
		return d, nil
	}
	if err := cbor.Unmarshal(s.Data, &d.state); err != nil {
		return nil, err
	}
	d.split, err = tabulate(&d.state, nil)
	return d, err
}

// tabulate returns the newest configuration as limiters are told it, nil where there is
// none. What it shares with the one before is taken over from that.
func tabulate(s *State, before *api.ConfigRows) (*api.ConfigRows, error) {
	if s.Revision == 0 {
		return nil, nil
	}
	data, err := s.Config()
	if err != nil {
		return nil, err
	}
	split, err := api.BuildConfigRows(data, before)
	if err == nil && split.Revision != s.Revision {
		err = fmt.Errorf("revision %d holds one that says %d", s.Revision, split.Revision)
	}
	return split, err
}

// tellable tells why a configuration that is sound could not be told to limiters once it
// is agreed on: it could not be unpacked again. That its rows can be read follows from its
// soundness (api.FuzzParseConfig); to read them here too would cost a leader some MB.
func tellable(config []byte) error {
	if len(config) > api.MaxConfigBytes {
		return fmt.Errorf("%d bytes, %d at most", len(config), api.MaxConfigBytes)
	}
	return nil
}

// check tells whether a snapshot can be taken over. A member that went on without
// would answer from an older state, and might lead with it.
func (c *Core) check(s *raft.Snapshot) error {
	d, err := decode(s)
	if err != nil {
		if c.unread != s.Index {
			c.unread = s.Index
			c.cfg.Log.Error("a snapshot can't be read and is refused", "index", s.Index, "bytes", len(s.Data), "err", err)
		}
		return err
	}
	c.decoded = d
	return nil
}

// takeOver makes a snapshot what is answered from.
func (c *Core) takeOver(d *decoded) {
	c.state = d.state
	if c.split = d.split; d.split != nil {
		c.configs.Replace(d.split.Revision, d.split.Rows)
	}
}

// halt ends this member's part: it can't carry on what the others agreed on, and must
// not answer from something older. Nothing of it is lost: its log stays as it is.
func (c *Core) halt(why string, err error) {
	c.cfg.Log.Error("this member takes no part any more, until it is started with a program that can", "why", why, "err", err)
	c.retire(why, err)
}

// retire has this member promise and answer nothing any more.
func (c *Core) retire(why string, err error) {
	c.halted, c.diskDown = fmt.Sprintf("%s: %v", why, err), true
	c.node.Resign()
	c.note()
	c.signal()
}

// amnesia ends this member's part where an error tells that its store has lost what was
// promised.
func (c *Core) amnesia(err error) bool {
	if !errors.Is(err, storage.ErrCorrupt) {
		return false
	}
	c.lost = err
	c.retire("what was promised is gone from the disk", err)
	return true
}

// Run takes part until the context ends; then it hands leadership on. Where the store
// loses something meanwhile it returns [storage.ErrCorrupt] at once: the member must
// not go on, as it can't tell what it has promised, and one with a new id begins in its
// place.
func (c *Core) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
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
			return nil
		case <-t.C:
		}
		c.mu.Lock()
		c.tick()
		if !c.diskDown {
			c.ticks++
			c.keeper.ticks = c.ticks
			c.tend()
		}
		c.process()
		if err := c.lost; err != nil {
			c.mu.Unlock()
			stop()
			c.tasks.Wait()
			return err
		}
		stray := c.node.Leader() == 0 || !slices.ContainsFunc(c.node.Members(), func(m raft.Member) bool { return m.ID == c.id })
		ask := stray && !c.diskDown && c.ticks%8 == 0
		c.mu.Unlock()
		if ask {
			c.tasks.Go(func() { c.askIn(ctx) })
		}
	}
}

// tick has time go on. For those who don't lead it stands still while they wait for the
// disk: a candidate would begin another election before its vote for itself is stored.
func (c *Core) tick() {
	c.watchDisk()
	if !c.diskDown && (!c.writing || c.node.Role() == raft.Leader) {
		c.node.Tick()
	}
}

// HandOver makes a leader that is about to end call an election elsewhere.
func (c *Core) HandOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.node.Transfer()
	c.process()
}

// process has what the node has ready carried out. Called under the mutex. What needs the
// disk or is to be applied is left to a task; see carry.
func (c *Core) process() {
	if c.halted == "" && c.node.Forgot() {
		c.amnesia(fmt.Errorf("%w: it is one of earlier, and lacks what was acknowledged to the leader", storage.ErrCorrupt))
	}
	for c.halted == "" && (c.ctx == nil || c.ctx.Err() == nil) {
		r := c.node.Ready()
		if c.carrying {
			if !c.diskDown {
				c.sendFree(&r)
			}
			break
		}
		if r.Empty() && !c.node.SnapshotDue() {
			break
		}
		if !r.Empty() && !r.MustSync() && len(r.Committed) == 0 && !c.diskDown {
			c.enqueueAll(r.Messages)
			c.node.Advance(r)
			continue
		}
		c.carrying = true
		if c.ctx == nil { // it takes no part yet
			c.carry()
			return
		}
		c.tasks.Go(func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.carry()
		})
		break
	}
	if c.halted == "" {
		c.note()
	}
}

func (c *Core) enqueueAll(ms []raft.Message) {
	for _, m := range ms {
		c.enqueue(m)
	}
}

// sendFree sends of what a Ready has those messages that promise nothing which is not on
// disk yet; the others are kept until what comes with them is. A leader's own messages
// are free: it counts toward a majority only what it has stored itself.
func (c *Core) sendFree(r *raft.Ready) {
	unsaved := r.Hard != nil || r.Snapshot != nil
	for _, m := range r.Messages {
		free := c.node.Role() == raft.Leader ||
			m.Kind == raft.AppendReply && (m.Reject || len(r.Entries) == 0 || m.Index < r.Entries[0].Index)
		if free && !unsaved {
			c.enqueue(m)
		} else {
			c.withheld = append(c.withheld, m)
		}
	}
	c.node.Advance(raft.Ready{Messages: r.Messages})
}

// carry carries out what the node has ready, one batch after the other: store, then send,
// then apply. Called under the mutex, which it gives up for what takes long, so that
// heartbeats, watches and leases don't wait for the disk or for a large configuration.
// Nothing else changes the state meanwhile, or what the node counts as stored and applied.
func (c *Core) carry() {
	for c.halted == "" {
		r := c.node.Ready()
		if r.Empty() && len(c.withheld) == 0 {
			if c.node.SnapshotDue() && c.compact() {
				continue
			}
			break
		}
		if !c.carryOut(r) {
			break
		}
	}
	c.carrying = false
	if c.halted == "" {
		c.note()
	}
}

// carryOut carries out one batch; false: it goes no further now.
func (c *Core) carryOut(r raft.Ready) bool {
	c.sendFree(&r)
	due := c.withheld // with this batch on disk all of them hold
	c.withheld = nil
	if r.MustSync() {
		if err := c.write(func() error { return c.cfg.Store.Save(r) }); err != nil {
			if c.amnesia(err) {
				return false
			}
			if !c.diskDown {
				c.cfg.Log.Error("the disk takes no writes: promising nothing", "err", err)
			}
			c.diskDown = true
			c.withheld = append(due, c.withheld...)
			c.node.Resign()
			return false // tried again at the next tick; nothing has gone out
		}
	}
	if c.diskDown {
		c.diskDown = false
		c.cfg.Log.Info("the disk takes writes again")
	}
	c.enqueueAll(due)
	if r.Snapshot != nil && !c.restore(r.Snapshot) {
		return false
	}
	c.node.Advance(raft.Ready{Hard: r.Hard, Snapshot: r.Snapshot, Entries: r.Entries})
	return len(r.Committed) == 0 || c.applyAll(r.Committed)
}

// write waits for the disk with the mutex given up. A member whose disk keeps it waiting
// for longer than an election takes promises and answers nothing meanwhile.
func (c *Core) write(f func() error) error {
	c.writing, c.writes = true, 0
	c.mu.Unlock()
	err := f()
	c.mu.Lock()
	c.writing = false
	if c.writes >= stallTicks {
		c.diskDown = false
		c.cfg.Log.Info("the disk answers again", "ticks", c.writes)
	}
	return err
}

// watchDisk counts how long the disk has been waited for.
func (c *Core) watchDisk() {
	if !c.writing {
		return
	}
	if c.writes++; c.writes == stallTicks {
		c.cfg.Log.Error("the disk does not answer: promising nothing")
		c.diskDown = true
		c.node.Resign()
		c.note()
		c.signal()
	}
}

// restore takes a snapshot over that the node has installed, and tells those who wait.
func (c *Core) restore(s *raft.Snapshot) bool {
	d := c.decoded
	if d == nil || d.index != s.Index || d.term != s.Term {
		var err error
		c.mu.Unlock()
		d, err = decode(s)
		c.mu.Lock()
		if err != nil { // it was checked before it was installed
			c.halt("a snapshot can't be read", err)
			return false
		}
	}
	c.decoded = nil
	c.takeOver(d)
	for at, p := range c.calls {
		if at <= s.Index { // what came of them is not told: they are asked again
			delete(c.calls, at)
			p.answer = &api.ControlResponse{}
		}
	}
	c.cfg.Log.Info("snapshot taken over", "index", s.Index, "bytes", len(s.Data), "revision", c.state.Revision)
	c.signal()
	return true
}

// applyAll applies what was agreed on, and has limiters told the newest configuration:
// of several at once, as after a start, the last alone. Its rows are made before, with
// the mutex given up, and the batch is applied in one step. false: the configuration
// can't be told; then nothing of the batch is applied, and this member is halted.
func (c *Core) applyAll(es []raft.Entry) bool {
	split, delta, err := c.prepare(es)
	if err != nil { // it was checked before it was proposed, by a member that could tell it
		c.halt("a configuration that was agreed on can't be told", err)
		return false
	}
	for _, e := range es {
		c.apply(e)
	}
	if split != nil {
		c.split = split
		c.configs.ReplaceWithDiff(split.Revision, split.Rows, delta)
		c.signal()
	}
	c.node.Advance(raft.Ready{Committed: es})
	c.hear()
	return true
}

// prepare returns the configuration that there will be with entries applied, and how its
// rows differ from those before; nil where they bring none. It gives the mutex up.
func (c *Core) prepare(es []raft.Entry) (split *api.ConfigRows, delta versioned.RowDiff, err error) {
	state, before, rows, known := c.state, c.split, c.configs.Rows(), c.checked
	c.mu.Unlock()
	defer c.mu.Lock()
	revision := state.Revision
	for _, e := range es {
		if len(e.Data) > 0 {
			state.Apply(e.Data)
		}
	}
	if state.Revision == revision {
		return nil, delta, nil
	}
	if known != nil && known.brings(&state) {
		split = known.split
	} else if split, err = tabulate(&state, before); err != nil {
		return nil, delta, fmt.Errorf("revision %d: %w", state.Revision, err)
	}
	return split, versioned.DiffRows(rows, split.Rows), nil
}

// apply carries out an entry that was agreed on, and tells whether it brought a
// configuration.
func (c *Core) apply(e raft.Entry) (news bool) {
	called := c.calls[e.Index] != nil
	if news = c.register.apply(e); news {
		c.cfg.Log.Info("configuration taken", "revision", c.state.Revision, "index", e.Index)
	}
	if called {
		c.hear()
	}
	return news
}

// compact cuts the log behind a snapshot; false: none could be made.
func (c *Core) compact() bool {
	c.encoded++
	index, state := c.node.Applied(), c.state
	c.mu.Unlock()
	data, err := cbor.Marshal(state)
	c.mu.Lock()
	if err != nil {
		c.cfg.Log.Error("encoding a snapshot", "err", err)
		return false
	}
	if s := c.node.Compact(index, data); s != nil {
		if err := c.write(func() error { return c.cfg.Store.Compact(*s) }); err != nil && !c.amnesia(err) {
			c.cfg.Log.Warn("compacting the log", "err", err)
		}
	}
	return true
}

// note tells those who wait of changed roles and confirmed rounds.
func (c *Core) note() {
	if k := c.node.Refused(); k != c.refused {
		c.refused = k
		c.cfg.Log.Warn("a snapshot came damaged, or can't be read here: it is asked for again", "refused", k, "leader", fmt.Sprintf("%x", uint64(c.node.Leader())))
	}
	if c.role != c.node.Role() || c.leader != c.node.Leader() {
		c.role, c.leader = c.node.Role(), c.node.Leader()
		clear(c.partly) // another leader begins anew
		c.cfg.Log.Info("role", "role", c.role.String(), "term", c.node.Term(), "leader", fmt.Sprintf("%x", uint64(c.leader)))
		if c.role == raft.Leader {
			c.servers.lead()
		}
		c.signal()
	}
	if k := c.node.Confirmed(); c.role == raft.Leader && k != c.rounds {
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
