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

const (
	mbit = 125_000 // 1 Mbit/s in bytes per second
	// callOverhead is the size of a call or a response without its payload, in bytes.
	callOverhead = 200
	// messageOverhead is the size of a message without its entries or chunk, in bytes.
	messageOverhead = 100
)

// linkSim simulates members connected by links with a limited bandwidth and a delay. It runs the
// real raft nodes and the real send queues, with their timeouts, on a simulated clock. A link
// transmits in order of arrival, across all queues that share it.
type linkSim struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	events eventQueue

	nodes       map[raft.ID]*raft.Node
	disks       map[raft.ID]*raft.PersistentState
	incarnation map[raft.ID]int
	stateSize   int // in bytes

	queues      map[queueID]*messageQueue
	speed       func(from, to raft.ID) linkSpeed
	busyUntil   map[link]time.Duration // when a link will have transmitted everything queued on it
	lossRate    float64                // probability of loss, for calls and responses on links of 1 Mbit/s or less
	partitioned map[raft.ID]bool

	preVotes    int // pre-vote requests sent: attempts to start an election
	installed   int // snapshots that members installed
	encoded     int // states that members encoded for a snapshot
	lastContact map[raft.ID]time.Duration
	longestGap  time.Duration // without an append or snapshot chunk from a leader, over all members
}

// linkSpeed is the bandwidth and the delay of one direction of a link.
type linkSpeed struct {
	bytesPerSecond float64
	delay          time.Duration
}

// queueID identifies a send queue from one member to another.
type queueID struct {
	from raft.ID
	queueKey
}

// event is a function to run at a simulated time.
type event struct {
	at    time.Duration
	order int // breaks ties between events at the same time
	do    func()
}

// eventQueue is a heap of events by time.
type eventQueue struct {
	list  []event
	added int
}

func (q *eventQueue) Len() int { return len(q.list) }

func (q *eventQueue) Less(i, j int) bool {
	a, b := &q.list[i], &q.list[j]
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) < 0
}

func (q *eventQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }

func (q *eventQueue) Push(x any) { q.list = append(q.list, x.(event)) }

func (q *eventQueue) Pop() any {
	last := len(q.list) - 1
	x := q.list[last]
	q.list = q.list[:last]
	return x
}

// newLinkSim returns a simulation of three voters that are not started yet, with links of
// 100 Mbit/s.
func newLinkSim(t *testing.T, seed uint64, stateSize int) *linkSim {
	t.Helper()
	s := &linkSim{
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, 3)),
		nodes:       map[raft.ID]*raft.Node{},
		disks:       map[raft.ID]*raft.PersistentState{},
		incarnation: map[raft.ID]int{},
		stateSize:   stateSize,
		queues:      map[queueID]*messageQueue{},
		speed:       sameSpeed(100*mbit, time.Millisecond),
		busyUntil:   map[link]time.Duration{},
		partitioned: map[raft.ID]bool{},
		lastContact: map[raft.ID]time.Duration{},
	}
	var first raft.Snapshot
	for i := range simVoters {
		first.Members = append(first.Members, raft.Member{ID: raft.ID(i + 1), Voter: true})
	}
	for _, m := range first.Members {
		s.disks[m.ID] = &raft.PersistentState{Snapshot: first}
	}
	return s
}

// sameSpeed returns a speed function that gives all links the same speed.
func sameSpeed(bytesPerSecond float64, delay time.Duration) func(_, _ raft.ID) linkSpeed {
	return func(_, _ raft.ID) linkSpeed { return linkSpeed{bytesPerSecond, delay} }
}

// after schedules a function to run after a delay.
func (s *linkSim) after(d time.Duration, do func()) {
	s.events.added++
	heap.Push(&s.events, event{at: s.now + d, order: s.events.added, do: do})
}

// run advances the simulated clock and runs the events that are due.
func (s *linkSim) run(d time.Duration) {
	end := s.now + d
	for len(s.events.list) > 0 && s.events.list[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// waitUntil runs the simulation until a condition holds, and returns the simulated time that
// passed.
func (s *linkSim) waitUntil(what string, limit time.Duration, condition func() bool) time.Duration {
	s.t.Helper()
	began := s.now
	for !condition() {
		if s.now-began >= limit {
			s.t.Fatalf("%s: condition not met within %v", what, limit)
		}
		s.run(5 * time.Millisecond)
	}
	return s.now - began
}

// start starts a member from its disk, unless it is already running.
func (s *linkSim) start(id raft.ID) {
	if s.nodes[id] != nil {
		return
	}
	s.incarnation[id]++
	incarnation, stored := s.incarnation[id], *s.disks[id]
	stored.Entries = slices.Clone(stored.Entries)
	s.nodes[id] = raft.New(raft.Config{
		ID:             id,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		Seed:           s.rng.Uint64(),
	}, stored)
	s.lastContact[id] = s.now
	var tick func()
	tick = func() {
		if s.incarnation[id] != incarnation || s.nodes[id] == nil {
			return
		}
		s.nodes[id].Tick()
		s.handleReady(id)
		s.after(tickInterval, tick)
	}
	s.after(time.Duration(s.rng.Int64N(int64(tickInterval))), tick)
}

func (s *linkSim) startAll() {
	for id := range raft.ID(simVoters) {
		s.start(id + 1)
	}
}

// stop stops a member and drops its send queues. Its disk is kept.
func (s *linkSim) stop(id raft.ID) {
	delete(s.nodes, id)
	for queue := range s.queues {
		if queue.from == id {
			delete(s.queues, queue)
		}
	}
}

// stateAt returns the state machine's state at an index of the log.
func (s *linkSim) stateAt(index uint64) []byte {
	data := make([]byte, s.stateSize)
	binary.BigEndian.PutUint64(data, index)
	binary.BigEndian.PutUint64(data[s.stateSize-8:], index)
	return data
}

// handleReady makes a member persist, send and apply its ready batches, as [Core] does.
func (s *linkSim) handleReady(id raft.ID) {
	node, disk := s.nodes[id], s.disks[id]
	for r := node.Ready(); !r.Empty(); r = node.Ready() {
		s.save(id, &r)
		for _, m := range r.Messages {
			s.send(m)
		}
		node.Advance(r)
	}
	if !node.SnapshotDue() {
		return
	}
	s.encoded++
	applied := node.AppliedIndex()
	if snapshot := node.Compact(applied, s.stateAt(applied)); snapshot != nil {
		disk.Entries = slices.Clone(disk.Entries[snapshot.Index-disk.Snapshot.Index:])
		disk.Snapshot = *snapshot
	}
}

// save stores a batch. It fails the test if a snapshot is not the state at its index.
func (s *linkSim) save(id raft.ID, r *raft.Ready) {
	s.t.Helper()
	disk := s.disks[id]
	if r.HardState != nil {
		disk.HardState = *r.HardState
	}
	if snapshot := r.Snapshot; snapshot != nil {
		if !bytes.Equal(snapshot.Data, s.stateAt(snapshot.Index)) {
			s.t.Fatalf("member %d installs a snapshot that is not the state at index %d", id, snapshot.Index)
		}
		s.installed++
		disk.Snapshot, disk.Entries = *snapshot, nil
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - disk.Snapshot.Index - 1
		disk.Entries = append(slices.Clip(disk.Entries[:keep]), r.Entries...)
	}
}

// send adds a message to its queue.
func (s *linkSim) send(m raft.Message) {
	if m.Kind == raft.PreVoteRequest {
		s.preVotes++
	}
	id := queueID{m.From, queueKey{m.To, m.IsBulk()}}
	queue := s.queues[id]
	if queue == nil {
		queue = &messageQueue{bulk: id.bulk}
		s.queues[id] = queue
	}
	queue.put(m)
	s.beginCall(id, queue)
}

// simCall is one call of a send queue. A large call is sent in chunks, each after the response to
// the one before, as in [transport.send].
type simCall struct {
	sim        *linkSim
	queue      *messageQueue
	id         queueID
	messages   []raft.Message
	bytesLeft  int // not sent yet
	chunksSent int
	ended      bool
}

// beginCall sends the next call of a queue, unless one is in flight.
func (s *linkSim) beginCall(id queueID, queue *messageQueue) {
	messages := slices.Clone(queue.take())
	if len(messages) == 0 {
		return
	}
	c := &simCall{
		sim:       s,
		queue:     queue,
		id:        id,
		messages:  messages,
		bytesLeft: payloadBytes(messages) + messageOverhead*len(messages),
	}
	c.sendChunk()
}

// sendChunk sends the next chunk.
func (c *simCall) sendChunk() {
	if c.ended {
		return
	}
	size := min(c.bytesLeft, max(chunkBytes, messageOverhead*len(c.messages)))
	c.bytesLeft -= size
	last := c.bytesLeft == 0
	c.chunksSent++
	chunk := c.chunksSent
	c.sim.after(callTimeoutFor(size), func() {
		if chunk == c.chunksSent { // no response has arrived
			c.end(false)
		}
	})
	c.sim.transmit(link{c.id.from, c.id.to}, callOverhead+size, func() { c.arrive(last) })
}

// arrive handles the arrival of a chunk at the receiver. The last one passes the messages to its
// raft node.
func (c *simCall) arrive(last bool) {
	s, to := c.sim, c.id.to
	node := s.nodes[to]
	if node == nil {
		return
	}
	back := link{to, c.id.from}
	if !last {
		s.transmit(back, callOverhead, c.sendChunk)
		return
	}
	for _, m := range c.messages {
		if m.Kind == raft.AppendEntries || m.Kind == raft.SnapshotChunk {
			s.longestGap = max(s.longestGap, s.now-s.lastContact[to])
			s.lastContact[to] = s.now
		}
		node.Step(m)
	}
	s.handleReady(to)
	s.transmit(back, callOverhead, func() { c.end(true) })
}

// end completes a call and begins the next one of its queue.
func (c *simCall) end(answered bool) {
	s := c.sim
	if c.ended || s.queues[c.id] != c.queue {
		return
	}
	c.ended = true
	c.queue.done()
	if node := s.nodes[c.id.from]; !answered && c.id.bulk && node != nil {
		node.ReportSendFailure(c.id.to)
	}
	s.beginCall(c.id, c.queue)
}

// transmit queues a number of bytes on a link, and runs arrived once they are delivered. They are
// dropped if either end is partitioned, and lost at random according to lossRate.
func (s *linkSim) transmit(direction link, size int, arrived func()) {
	speed := s.speed(direction[0], direction[1])
	if s.partitioned[direction[0]] || s.partitioned[direction[1]] {
		return
	}
	if speed.bytesPerSecond <= mbit && s.rng.Float64() < s.lossRate {
		return
	}
	takes := time.Duration(float64(size) / speed.bytesPerSecond * float64(time.Second))
	s.busyUntil[direction] = max(s.now, s.busyUntil[direction]) + takes
	s.after(s.busyUntil[direction]+speed.delay-s.now, arrived)
}

// leader returns a leader that has committed an entry in its term, nil if there is none.
func (s *linkSim) leader() *raft.Node {
	for id := range raft.ID(simVoters) {
		if n := s.nodes[id+1]; n != nil && n.HasCommittedInTerm() {
			return n
		}
	}
	return nil
}

// awaitLeader runs the simulation until there is a leader.
func (s *linkSim) awaitLeader() {
	s.t.Helper()
	s.waitUntil("a leader", 3*time.Second, func() bool { return s.leader() != nil })
}

// converged reports whether all running members have applied all committed entries.
func (s *linkSim) converged() bool {
	leader := s.leader()
	for _, n := range s.nodes {
		if leader == nil || n.AppliedIndex() != leader.CommitIndex() || n.Leader() != leader.Leader() {
			return false
		}
	}
	return true
}

// propose makes the leader, if there is one, propose an entry of a number of bytes. The error is
// ignored: the commit index shows a proposal that failed.
func (s *linkSim) propose(size int) {
	if leader := s.leader(); leader != nil {
		_, _, _ = leader.Propose(bytes.Repeat([]byte{'x'}, size))
		s.handleReady(leader.Leader())
	}
}

// proposeMany proposes a number of entries of a size, one every 10 ms.
func (s *linkSim) proposeMany(n, size int) {
	for range n {
		s.propose(size)
		s.run(10 * time.Millisecond)
	}
}
