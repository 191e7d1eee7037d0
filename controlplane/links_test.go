package controlplane

import (
	"bytes"
	"cmp"
	"container/heap"
	"encoding/binary"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/elmspan/raft"
)

// linked is a core whose members are joined by links with a bandwidth and a delay: the
// real nodes, the real lanes with their time-outs, and a clock of its own. What is put
// on a link is carried in turn, whatever lane it is of.
type linked struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	queue events
	nodes map[raft.ID]*raft.Node
	disks map[raft.ID]*raft.Stored
	lanes map[way]*queue
	life  map[raft.ID]int
	busy  map[[2]raft.ID]time.Duration // until when a link carries what was put on it
	link  func(from, to raft.ID) (bytesPerS float64, delay time.Duration)
	lossy float64 // share of requests and answers that a slow link loses
	cut   map[raft.ID]bool
	size  int // bytes of the state

	asked    int // pre-votes sent: elections that somebody would have liked
	snapshot int // installed
	encoded  int
	gap      time.Duration // the longest that a member heard nothing of a leader in these links
	heard    map[raft.ID]time.Duration
}

// way is one lane from one member to another.
type way struct {
	from raft.ID
	laneKey
}

type event struct {
	at   time.Duration
	turn int
	do   func()
}

type events struct {
	list []event
	turn int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e.list[i].at, e.list[j].at), cmp.Compare(e.list[i].turn, e.list[j].turn)) < 0
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	x := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return x
}

func newLinked(t *testing.T, seed uint64, size int) *linked {
	w := &linked{t: t, rng: rand.New(rand.NewPCG(seed, 3)), nodes: map[raft.ID]*raft.Node{}, disks: map[raft.ID]*raft.Stored{},
		lanes: map[way]*queue{}, busy: map[[2]raft.ID]time.Duration{}, cut: map[raft.ID]bool{}, size: size,
		life: map[raft.ID]int{}, heard: map[raft.ID]time.Duration{},
		link: func(_, _ raft.ID) (float64, time.Duration) { return 12.5e6, time.Millisecond }}
	var first raft.Snapshot
	for i := range coreSize {
		first.Members = append(first.Members, raft.Member{ID: raft.ID(i + 1), Voter: true})
	}
	for _, m := range first.Members {
		w.disks[m.ID] = &raft.Stored{Snapshot: first}
	}
	return w
}

func (w *linked) after(d time.Duration, do func()) {
	w.queue.turn++
	heap.Push(&w.queue, event{w.now + d, w.queue.turn, do})
}

func (w *linked) run(d time.Duration) {
	end := w.now + d
	for len(w.queue.list) > 0 && w.queue.list[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// until runs until something is so, and tells how long that took.
func (w *linked) until(what string, most time.Duration, is func() bool) time.Duration {
	w.t.Helper()
	begun := w.now
	for !is() {
		if w.now-begun >= most {
			w.t.Fatalf("%s: not within %v", what, most)
		}
		w.run(5 * time.Millisecond)
	}
	return w.now - begun
}

func (w *linked) start(id raft.ID) {
	if w.nodes[id] != nil {
		return
	}
	w.life[id]++
	life, d := w.life[id], *w.disks[id]
	d.Entries = slices.Clone(d.Entries)
	w.nodes[id] = raft.New(raft.Config{ID: id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: w.rng.Uint64()}, d)
	w.heard[id] = w.now
	var tick func()
	tick = func() {
		if w.life[id] != life || w.nodes[id] == nil {
			return
		}
		w.nodes[id].Tick()
		w.carry(id)
		w.after(tickEvery, tick)
	}
	w.after(time.Duration(w.rng.Int64N(int64(tickEvery))), tick)
}

// end has a process end with all that it had in hand; its disk stays.
func (w *linked) end(id raft.ID) {
	delete(w.nodes, id)
	for k := range w.lanes {
		if k.from == id {
			delete(w.lanes, k)
		}
	}
}

// stamped is the state at an index.
func (w *linked) stamped(index uint64) []byte {
	data := make([]byte, w.size)
	binary.BigEndian.PutUint64(data, index)
	binary.BigEndian.PutUint64(data[w.size-8:], index)
	return data
}

// carry is the host of a member, as [Core] is.
func (w *linked) carry(id raft.ID) {
	n, d := w.nodes[id], w.disks[id]
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		if r.Hard != nil {
			d.Hard = *r.Hard
		}
		if s := r.Snapshot; s != nil {
			if !bytes.Equal(s.Data, w.stamped(s.Index)) {
				w.t.Fatalf("%d installs what is not the state at %d", id, s.Index)
			}
			w.snapshot++
			d.Snapshot, d.Entries = *s, nil
		}
		if len(r.Entries) > 0 {
			d.Entries = append(slices.Clip(d.Entries[:r.Entries[0].Index-d.Snapshot.Index-1]), r.Entries...)
		}
		for _, m := range r.Messages {
			w.send(m)
		}
		n.Advance(r)
	}
	if n.SnapshotDue() {
		w.encoded++
		if s := n.Compact(n.Applied(), w.stamped(n.Applied())); s != nil {
			d.Entries = slices.Clone(d.Entries[s.Index-d.Snapshot.Index:])
			d.Snapshot = *s
		}
	}
}

func (w *linked) send(m raft.Message) {
	if m.Kind == raft.PreVote {
		w.asked++
	}
	k := way{m.From, laneKey{m.To, m.Bulk()}}
	q := w.lanes[k]
	if q == nil {
		q = &queue{bulk: k.bulk}
		w.lanes[k] = q
	}
	q.put(m)
	w.call(k, q)
}

// call begins the next call of a lane, if none is out.
func (w *linked) call(k way, q *queue) {
	ms := slices.Clone(q.take())
	if len(ms) == 0 {
		return
	}
	left, over := load(ms)+100*len(ms), false
	finish := func(arrived bool) {
		if over || w.lanes[k] != q {
			return
		}
		over = true
		q.done()
		if n := w.nodes[k.from]; !arrived && k.bulk && n != nil {
			n.Lost(k.to)
		}
		w.call(k, q)
	}
	var part func()
	arrive := func(last bool) {
		n := w.nodes[k.to]
		if n == nil {
			return
		}
		if !last { // the next one, when this one is answered
			w.put(k.to, k.from, 200, part)
			return
		}
		for _, m := range ms {
			if m.Kind == raft.Append || m.Kind == raft.Piece {
				w.gap = max(w.gap, w.now-w.heard[k.to])
				w.heard[k.to] = w.now
			}
			n.Step(m)
		}
		w.carry(k.to)
		w.put(k.to, k.from, 200, func() { finish(true) })
	}
	calls := 0
	part = func() { // as [Core.send] has it
		if over {
			return
		}
		size := min(left, max(partBytes, 100*len(ms)))
		left -= size
		last := left == 0
		calls++
		this := calls
		w.after(deliverWithin(size), func() {
			if this == calls {
				finish(false)
			}
		})
		w.put(k.from, k.to, 200+size, func() { arrive(last) })
	}
	part()
}

// put has a link carry so many bytes after those before them.
func (w *linked) put(from, to raft.ID, size int, do func()) {
	speed, delay := w.link(from, to)
	if w.cut[from] || w.cut[to] || speed <= mbit && w.rng.Float64() < w.lossy {
		return
	}
	pair := [2]raft.ID{from, to}
	w.busy[pair] = max(w.now, w.busy[pair]) + time.Duration(float64(size)/speed*float64(time.Second))
	w.after(w.busy[pair]+delay-w.now, do)
}

func (w *linked) leader() *raft.Node {
	for id := range raft.ID(coreSize) {
		if n := w.nodes[id+1]; n != nil && n.Serves() {
			return n
		}
	}
	return nil
}

// together tells that all live members have applied all that is agreed.
func (w *linked) together() bool {
	l := w.leader()
	for _, n := range w.nodes {
		if l == nil || n.Applied() != l.Commit() || n.Leader() != l.Leader() {
			return false
		}
	}
	return true
}

func (w *linked) propose(size int) {
	if l := w.leader(); l != nil {
		l.Propose(bytes.Repeat([]byte{'x'}, size))
		w.carry(l.Leader())
	}
}

var linkSeeds = flag.Uint64("links.seeds", 30, "runs of TestHundredsOfChangesWithRestarts")

const mbit = 125_000 // bytes a second

// A member that comes back takes a state of 4 MB over a link of 1 Mbit/s while a change
// comes each second; nobody misses the leader's heartbeats for an election meanwhile,
// and the transfer is one, whatever snapshots the log would have asked for. (Fails with
// the whole in one message, as it was: it never arrives.)
func TestLargeStateOverASlowLink(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		lossy float64
		all   bool // all links are slow
		bytes int  // of a change
		most  time.Duration
	}{
		{"one slow link", 0, false, 2 << 10, 60 * time.Second},
		{"all links slow", 0, true, 2 << 10, 60 * time.Second},
		{"large changes", 0, false, 41 << 10, 100 * time.Second},
		{"losses", 0.05, false, 2 << 10, 150 * time.Second},
	} {
		for seed := range uint64(5) {
			w := newLinked(t, seed, 4<<20)
			w.start(1)
			w.start(2)
			w.until("a leader", 3*time.Second, func() bool { return w.leader() != nil })
			for range 200 { // while the third is away
				w.propose(2 << 10)
				w.run(10 * time.Millisecond)
			}
			w.link = func(from, to raft.ID) (float64, time.Duration) {
				if c.all || from == 3 || to == 3 {
					return mbit, 20 * time.Millisecond
				}
				return 100 * mbit, time.Millisecond
			}
			w.lossy = c.lossy
			w.run(2 * time.Second)
			term := w.leader().Term()
			w.start(3)
			w.until("it hears of the leader", time.Second, func() bool { return w.nodes[3].Leader() != 0 })
			asked, next := w.asked, w.now // a start may ask for an election before
			w.gap = 0
			took := w.until("the member that came back has it all", c.most, func() bool {
				if w.now >= next {
					next += time.Second
					w.propose(c.bytes)
				}
				l := w.leader()
				return l != nil && w.snapshot > 0 && w.nodes[3].Applied()+1 >= l.Commit()
			})
			t.Logf("%s, seed %d: 4 MB in %v, longest gap %v, %d elections asked for", c.name, seed, took, w.gap, w.asked-asked)
			if l := w.leader(); l == nil || l.Term() != term {
				t.Errorf("%s, seed %d: an election was caused", c.name, seed)
			}
			if w.snapshot != 1 || w.asked != asked && c.lossy == 0 {
				t.Errorf("%s, seed %d: %d snapshots were installed, 1 is enough; %d elections were asked for", c.name, seed, w.snapshot, w.asked-asked)
			}
			if c.lossy == 0 && w.gap > electionTicks*tickEvery*4/5 {
				t.Errorf("%s, seed %d: nothing was heard of the leader for %v", c.name, seed, w.gap)
			}
		}
	}
}

// Hundreds of changes, eight under way, of some hundred bytes to 41 KB each, while members
// end and start with their disks, or are cut off, one at a time, throughout: two seconds
// after the last trouble every member has all that was agreed, over any seed.
func TestHundredsOfChangesWithRestarts(t *testing.T) {
	t.Parallel()
	installed := 0
	for seed := range *linkSeeds {
		w := newLinked(t, seed, 300<<10)
		w.link = func(_, _ raft.ID) (float64, time.Duration) { return 5 * mbit, 5 * time.Millisecond }
		for id := range raft.ID(coreSize) {
			w.start(id + 1)
		}
		proposed, away := 0, raft.ID(0)
		var trouble func()
		trouble = func() {
			switch {
			case proposed >= 400:
				return
			case away != 0: // one at a time
				w.start(away)
				delete(w.cut, away)
				away = 0
			case w.together():
				if away = raft.ID(1 + w.rng.IntN(coreSize)); w.rng.IntN(3) == 0 {
					w.cut[away] = true
				} else {
					w.end(away)
				}
			}
			w.after(time.Duration(w.rng.Int64N(int64(3*time.Second))), trouble)
		}
		w.after(time.Second, trouble)
		for w.now < 5*time.Minute && proposed < 400 {
			if l := w.leader(); l != nil && !w.cut[l.Leader()] && l.LastIndex()-l.Commit() < 8 {
				proposed++
				w.propose(200 + w.rng.IntN(2)*w.rng.IntN(41<<10))
			}
			w.run(time.Duration(w.rng.Int64N(int64(100 * time.Millisecond))))
		}
		if proposed < 400 {
			t.Fatalf("seed %d: %d changes in %v", seed, proposed, w.now)
		}
		clear(w.cut)
		for id := range raft.ID(coreSize) {
			w.start(id + 1)
		}
		w.run(40 * tickEvery)
		if !w.together() {
			for id, n := range w.nodes {
				t.Logf("%d: %v of term %d, leader %d, applied %d of %d, snapshot %d", id, n.Role(), n.Term(), n.Leader(), n.Applied(), n.LastIndex(), n.SnapshotIndex())
			}
			t.Fatalf("seed %d: not together 2 s after the last trouble", seed)
		}
		installed += w.snapshot
	}
	if installed < int(*linkSeeds) {
		t.Errorf("%d snapshots were installed: too few to say anything", installed)
	}
}

// Entries of 400 KB, as with 16,000 routes, over links of 1 Mbit/s to all: each takes more
// than 3 s, and no heartbeat waits for more than a part of it. (Fails where an entry goes
// in one call: 20 changes, 20 elections.)
func TestLargeEntriesOverSlowLinks(t *testing.T) {
	t.Parallel()
	w := newLinked(t, 1, 1<<20)
	w.link = func(_, _ raft.ID) (float64, time.Duration) { return mbit, 10 * time.Millisecond }
	for id := range raft.ID(coreSize) {
		w.start(id + 1)
	}
	w.until("a leader", 3*time.Second, func() bool { return w.leader() != nil && w.together() })
	l := w.leader()
	asked, term, before := w.asked, l.Term(), l.Commit()
	w.gap = 0
	for range 20 {
		w.propose(400 << 10)
		w.run(8 * time.Second)
	}
	if l != w.leader() || l.Term() != term || w.asked != asked || w.gap > electionTicks*tickEvery*4/5 || l.Commit() != before+20 {
		t.Errorf("term %d after %d, %d elections asked for, nothing heard for %v, %d agreed", l.Term(), term, w.asked-asked, w.gap, l.Commit()-before)
	}
	t.Logf("longest gap %v", w.gap)
}

// A member that was cut off for long comes back without an election: the others' leader
// stays, and it has what it missed by the tail of the log or, after more, by a snapshot.
func TestBackFromACut(t *testing.T) {
	t.Parallel()
	for missed, want := range map[int]int{20: 0, 200: 1} {
		w := newLinked(t, uint64(missed), 1<<20)
		for id := range raft.ID(coreSize) {
			w.start(id + 1)
		}
		w.until("a leader", 3*time.Second, func() bool { return w.leader() != nil && w.together() })
		for range 60 { // so that a snapshot falls into what is missed
			w.propose(100)
			w.run(10 * time.Millisecond)
		}
		l := w.leader()
		away, term := 1+l.Leader()%coreSize, l.Term()
		w.cut[away] = true
		for range missed {
			w.propose(100)
			w.run(10 * time.Millisecond)
		}
		w.run(20 * time.Second)
		if w.nodes[away].Term() != term || w.nodes[away].Role() == raft.Leader {
			t.Errorf("cut off it went to term %d from %d", w.nodes[away].Term(), term)
		}
		if w.encoded == 0 {
			t.Error("no snapshot was made meanwhile")
		}
		delete(w.cut, away)
		took := w.until("it has what it missed", 2*time.Second, w.together)
		if got := w.leader(); got != l || l.Term() != term || w.snapshot != want {
			t.Errorf("%d missed: term %d after %d, %d snapshots, want %d", missed, l.Term(), term, w.snapshot, want)
		}
		t.Logf("%d changes in %v", missed, took)
	}
}

// The snapshot of an idle core is made once, wherever its log ends. (Fails as it was: at
// each multiple of 64 every message and tick encoded the whole state.)
func TestIdleCoreEncodesNothing(t *testing.T) {
	t.Parallel()
	w := newLinked(t, 1, 1<<10)
	for id := range raft.ID(coreSize) {
		w.start(id + 1)
	}
	w.until("a leader", 3*time.Second, func() bool { return w.leader() != nil })
	for w.leader().Commit()%64 != 0 || w.encoded < coreSize {
		w.propose(100)
		w.run(20 * time.Millisecond)
	}
	w.run(time.Second) // followers hear last of what is agreed
	before := w.encoded
	w.run(time.Minute)
	if w.leader().Commit()%64 != 0 || w.encoded != before {
		t.Errorf("%d encodings in a minute of rest at %d", w.encoded-before, w.leader().Commit())
	}
}
