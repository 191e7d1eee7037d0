package controlplane

import (
	"bytes"
	"cmp"
	"container/heap"
	"encoding/binary"
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
	disks map[raft.ID]*raft.PersistentState
	lanes map[way]*messageQueue
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
	queueKey
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
	w := &linked{t: t, rng: rand.New(rand.NewPCG(seed, 3)), nodes: map[raft.ID]*raft.Node{}, disks: map[raft.ID]*raft.PersistentState{},
		lanes: map[way]*messageQueue{}, busy: map[[2]raft.ID]time.Duration{}, cut: map[raft.ID]bool{}, size: size,
		life: map[raft.ID]int{}, heard: map[raft.ID]time.Duration{},
		link: func(_, _ raft.ID) (float64, time.Duration) { return 12.5e6, time.Millisecond }}
	var first raft.Snapshot
	for i := range coreSize {
		first.Members = append(first.Members, raft.Member{ID: raft.ID(i + 1), Voter: true})
	}
	for _, m := range first.Members {
		w.disks[m.ID] = &raft.PersistentState{Snapshot: first}
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
		w.after(tickInterval, tick)
	}
	w.after(time.Duration(w.rng.Int64N(int64(tickInterval))), tick)
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
		if r.HardState != nil {
			d.HardState = *r.HardState
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
		if s := n.Compact(n.AppliedIndex(), w.stamped(n.AppliedIndex())); s != nil {
			d.Entries = slices.Clone(d.Entries[s.Index-d.Snapshot.Index:])
			d.Snapshot = *s
		}
	}
}

func (w *linked) send(m raft.Message) {
	if m.Kind == raft.PreVoteRequest {
		w.asked++
	}
	k := way{m.From, queueKey{m.To, m.IsBulk()}}
	q := w.lanes[k]
	if q == nil {
		q = &messageQueue{bulk: k.bulk}
		w.lanes[k] = q
	}
	q.put(m)
	w.call(k, q)
}

// call begins the next call of a lane, if none is out.
func (w *linked) call(k way, q *messageQueue) {
	ms := slices.Clone(q.take())
	if len(ms) == 0 {
		return
	}
	left, over := payloadBytes(ms)+100*len(ms), false
	finish := func(arrived bool) {
		if over || w.lanes[k] != q {
			return
		}
		over = true
		q.done()
		if n := w.nodes[k.from]; !arrived && k.bulk && n != nil {
			n.ReportSendFailure(k.to)
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
			if m.Kind == raft.AppendEntries || m.Kind == raft.SnapshotChunk {
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
		size := min(left, max(chunkBytes, 100*len(ms)))
		left -= size
		last := left == 0
		calls++
		this := calls
		w.after(callTimeoutFor(size), func() {
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
		if n := w.nodes[id+1]; n != nil && n.HasCommittedInTerm() {
			return n
		}
	}
	return nil
}

// together tells that all live members have applied all that is agreed.
func (w *linked) together() bool {
	l := w.leader()
	for _, n := range w.nodes {
		if l == nil || n.AppliedIndex() != l.CommitIndex() || n.Leader() != l.Leader() {
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
