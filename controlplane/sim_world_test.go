package controlplane

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/anishathalye/porcupine"

	"example.org/elmspan/raft"
)

// world is a core without sockets or disks: members that store, send and apply as
// [Core] does, and clients whose calls go to whichever machine, again and again
// until there is an answer.
type world struct {
	shape
	fault   string // planted
	rng     *rand.Rand
	slots   []raft.ID // of each machine, the member on it
	next    raft.ID   // of the next empty disk
	members map[raft.ID]*member
	disks   map[raft.ID]*raft.PersistentState
	net     []raft.Message
	deaf    map[[2]raft.ID]bool // one way
	slow    map[[2]raft.ID]bool
	cut     map[raft.ID]int64 // off from all others until then, in steps
	frozen  map[raft.ID]int
	now     int64 // steps of a tick of 50 ms
	clock   int64 // rises with each thing that happens
	calm    bool
	clients []*client
	history []porcupine.Operation
	chain   []version // what was taken, in the order of the log
	torn    error     // two members differ
}

// shape is what is in a world.
type shape struct {
	clients, machines, steps int
	losses                   bool // disks too are lost, members replaced, logs cut short, links slow
	remembered               int  // versions, for orders sent again
}

// The worlds: small ones for the checker of linearizability, and ones at size, of
// 55 s, for the check that takes time in proportion to the history.
var (
	small  = shape{clients: 4, machines: 3, steps: 700, remembered: maxAppliedRevisions}
	atSize = shape{clients: 8, machines: 4, steps: 1100, losses: true, remembered: maxAppliedRevisions}
)

type member struct {
	casRegister
	node     *raft.Node
	policy   memberPolicy
	unsynced []raft.Ready // of one that promises before the disk has it
}

// version is one that was taken: at is when some member first applied it.
type version struct {
	base, revision uint64
	print          fingerprint
	at             int64
}

const (
	coreSize   = 3 // voters
	mostTries  = 300
	snapAt     = 16             // entries between snapshots
	longCut    = 400            // steps: 20 s
	openEnd    = int64(1) << 40 // of calls without a clear answer: they may take effect at any time
	settleIn   = 1500           // steps
	mostChecks = 2_000_000      // places tried for a history to be linearizable; Unknown fails
)

func newWorld(seed uint64, s shape, fault string) *world {
	w := &world{shape: s, fault: fault, rng: rand.New(rand.NewPCG(seed, 9)), next: 100, members: map[raft.ID]*member{},
		disks: map[raft.ID]*raft.PersistentState{}, deaf: map[[2]raft.ID]bool{}, slow: map[[2]raft.ID]bool{},
		cut: map[raft.ID]int64{}, frozen: map[raft.ID]int{}}
	var first raft.Snapshot
	for i := range coreSize {
		first.Members = append(first.Members, raft.Member{ID: raft.ID(i + 1), Addr: fmt.Sprint(i), Voter: true})
	}
	for i := range s.machines {
		id := raft.ID(i + 1)
		w.slots = append(w.slots, id)
		w.disks[id] = &raft.PersistentState{}
		if i < coreSize {
			w.disks[id].Snapshot = first
		}
		w.start(id)
	}
	for i := range s.clients {
		w.clients = append(w.clients, &client{id: i})
	}
	return w
}

func (w *world) tick() int64 { w.clock++; return w.clock }

func (w *world) start(id raft.ID) {
	d := w.disks[id]
	m := &member{casRegister: casRegister{calls: map[uint64]*pendingCall{}},
		node: raft.New(raft.Config{ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: w.rng.Uint64()},
			raft.PersistentState{HardState: d.HardState, Snapshot: d.Snapshot, Entries: slices.Clone(d.Entries)})}
	w.restore(m, d.Snapshot.Data)
	w.members[id] = m
}

// chance is one in so many, but none once all is calm.
func (w *world) chance(of int) bool { return !w.calm && w.rng.IntN(of) == 0 }

// whole tells that all members live and no change of members is under way: a disk
// can be lost. Some may lack what was agreed on last.
func (w *world) whole(l *member) bool {
	voters := 0
	for _, m := range l.node.Members() {
		if w.members[m.ID] == nil || !slices.Contains(w.slots, m.ID) {
			return false
		}
		if m.Voter {
			voters++
		}
	}
	return voters == coreSize && l.node.ProposeMembers(slices.Clone(l.node.Members())) == nil
}

// tend takes members in, and has the leader's policy decide who is to vote.
func (w *world) tend(l *member) {
	ms := l.node.Members()
	for slot, id := range w.slots {
		if w.members[id] != nil && !slices.ContainsFunc(ms, func(m raft.Member) bool { return m.ID == id }) {
			l.node.ProposeMembers(append(slices.Clone(ms), raft.Member{ID: id, Addr: fmt.Sprint(slot), SupportsJoint: true}))
			return
		}
	}
	l.policy.voters = coreSize
	if _, next := l.policy.nextMembers(l.node); next != nil {
		l.node.ProposeMembers(next)
	}
}

func (w *world) ids() []raft.ID { return slices.Sorted(maps.Keys(w.members)) }

func (w *world) leader() raft.ID {
	for _, id := range w.ids() {
		if n := w.members[id].node; n.Role() == raft.Leader && n.HasCommittedInTerm() {
			return id
		}
	}
	return 0
}

func (w *world) step() {
	w.now++
	if !w.calm {
		w.strike()
	}
	for id, until := range w.cut {
		if w.now > until {
			delete(w.cut, id)
		}
	}
	for _, id := range w.ids() {
		if w.members[id] == nil {
			continue
		}
		if w.frozen[id] > 0 {
			w.frozen[id]--
			continue
		}
		m := w.members[id]
		m.node.Tick()
		m.policy.ticks++
		if w.losses && m.node.Role() == raft.Leader {
			w.tend(m)
		}
		w.carry(id)
	}
	msgs := w.net
	w.net = nil
	w.rng.Shuffle(len(msgs), func(i, j int) { msgs[i], msgs[j] = msgs[j], msgs[i] })
	for _, x := range msgs {
		m, way := w.members[x.To], [2]raft.ID{x.From, x.To}
		switch {
		case m == nil || w.deaf[way] || w.cut[x.From] > 0 || w.cut[x.To] > 0 || w.chance(40):
			continue
		case w.frozen[x.To] > 0 || w.rng.IntN(4) == 0 || w.slow[way] && w.rng.IntN(12) > 0:
			w.net = append(w.net, x) // later
			continue
		case w.losses && w.chance(25):
			w.net = append(w.net, x) // doubled
		}
		m.node.Step(x)
		w.carry(x.To)
	}
	if len(w.net) > 300 {
		w.net = w.net[len(w.net)-200:]
	}
	for _, c := range w.clients {
		w.ask(c)
	}
	for _, id := range w.ids() {
		w.answer(id)
	}
}

// settle lets calm come, until all members are at one and every call has its end.
// What is not at one by then is in the error.
func (w *world) settle() error {
	w.calm = true
	clear(w.deaf)
	clear(w.slow)
	clear(w.cut)
	clear(w.frozen)
	for _, id := range w.slots {
		if w.members[id] == nil {
			w.start(id)
		}
	}
	var read *pendingCall
	at := raft.ID(0)
	for range settleIn {
		w.step()
		l := w.leader()
		if l == 0 || slices.ContainsFunc(w.clients, func(c *client) bool { return c.busy }) || !w.level() {
			continue
		}
		if l != at {
			read, at = &pendingCall{get: true}, l
		}
		r, done := w.drive(l, read)
		if !done {
			continue
		}
		if n := len(w.chain); n == 0 && r.Status == http.StatusNotFound ||
			n > 0 && r.Status == http.StatusOK && w.members[l].state.Revision == w.chain[n-1].revision {
			return nil
		}
		return fmt.Errorf("in the end %d is read back, with status %d", w.members[l].state.Revision, r.Status)
	}
	for _, c := range w.clients {
		if c.busy && !c.in.get {
			w.end(c, output{}, true)
		}
	}
	if w.remembered < maxAppliedRevisions && w.leader() != 0 && w.level() { // what is forgotten has no clear answer
		return nil
	}
	return fmt.Errorf("the core has not settled after %d steps", settleIn)
}

// level tells that all machines have applied the same.
func (w *world) level() bool {
	var first *State
	for _, id := range w.slots {
		m := w.members[id]
		if m == nil {
			return false
		}
		if first == nil {
			first = &m.state
		} else if m.state.Revision != first.Revision || !slices.Equal(m.state.Applied, first.Applied) {
			return false
		}
	}
	return true
}

// play has all of it happen.
func (w *world) play() error {
	for range w.steps {
		w.step()
		if w.torn != nil {
			return w.torn
		}
	}
	if err := w.settle(); err != nil {
		return err
	}
	return w.torn
}
