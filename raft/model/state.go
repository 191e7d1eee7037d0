package model

import (
	"bytes"
	"cmp"
	"slices"

	"example.org/elmspan/lab/modelcheck"
	"example.org/elmspan/raft"
)

const (
	// neverTicks is an election timeout that never expires: elections are actions.
	neverTicks = 1 << 40
	// heartbeatTicks is the heartbeat interval. It is long enough for the retransmission timeout
	// of entries in flight to expire before the next heartbeat.
	heartbeatTicks = 4
)

// state is one state of the model. It is immutable: actions change a clone.
type state struct {
	remaining Bounds // how often each action may still happen
	members   []*member
	inFlight  []raft.Message

	// The history that the invariants refer to.
	committed []raft.Entry  // from index 1 on, as first applied by any member
	leaders   []raft.ID     // by term; 0: none
	requests  []readRequest // read index requests
	corrupted bool          // a corrupted chunk was delivered
	violation error         // the first violation of an invariant by an action
}

// member is a process with its disk. Processes that are not in the cluster's list of members yet are
// included, so that a membership change can add them.
type member struct {
	id         raft.ID
	maxEntries int // see [Bounds.MaxEntries]
	trailing   int // see [Bounds.TrailingEntries]
	node       *raft.Node
	disk       raft.PersistentState
	applied    uint64 // applied index after the last Ready; the disk has everything up to it
}

// readRequest is a read index request with the heartbeat round that confirms it, and the number of
// entries that were committed when it was made.
type readRequest struct {
	leader    raft.ID
	term      uint64
	round     uint64
	committed int
}

// New returns the initial state of the model: members with empty disks and, if
// [Bounds.LeaderAtStart] is set, an elected leader.
func New(b Bounds) modelcheck.State {
	var initial []raft.Member
	for i := range b.Members {
		initial = append(initial, raft.Member{ID: raft.ID(i + 1), Voter: true, SupportsJoint: true})
	}
	for i := range b.Swaps { // learners that are known to support joint consensus
		initial = append(initial, raft.Member{ID: raft.ID(b.Members + i + 1), SupportsJoint: true})
	}
	s := &state{remaining: b}
	for i := range b.Members + b.Changes + b.Swaps {
		m := &member{
			id:         raft.ID(i + 1),
			maxEntries: b.MaxEntries,
			trailing:   b.TrailingEntries,
			disk:       raft.PersistentState{Snapshot: raft.Snapshot{Members: initial}},
		}
		m.start()
		s.members = append(s.members, m)
	}
	if b.LeaderAtStart {
		s.electFirstMember()
	}
	return s
}

// electFirstMember makes member 1 the leader, and delivers all messages until none is left.
func (s *state) electFirstMember() {
	s.members[0].beginElection()
	for s.runHost(0); len(s.inFlight) > 0; {
		m := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.members[m.To-1].node.Step(m)
		s.runHost(int(m.To) - 1)
	}
}

// start starts the member's process from its disk.
func (m *member) start() {
	m.node = raft.New(
		raft.Config{
			ID:                   m.id,
			ElectionTicks:        neverTicks,
			HeartbeatTicks:       heartbeatTicks,
			MaxEntriesPerMessage: m.maxEntries,
			TrailingEntries:      cmp.Or(m.trailing, -1),
			ChunkBytes:           1,
			MaxInflightChunks:    1,
		},
		raft.PersistentState{
			HardState: m.disk.HardState,
			Snapshot:  m.disk.Snapshot,
			Entries:   slices.Clone(m.disk.Entries),
		})
}

// beginElection makes the member start an election as if the leader had asked for it, which is the
// only way to start one without a pre-vote.
func (m *member) beginElection() {
	other := raft.ID(1)
	if m.id == 1 {
		other = 2
	}
	m.node.Step(raft.Message{Kind: raft.TimeoutNow, From: other, To: m.id, Term: m.node.Term()})
}

// clone returns a copy that shares its members with the original; see mutableMember.
func (s *state) clone() *state {
	c := *s
	c.members = slices.Clone(s.members)
	c.inFlight, c.committed = slices.Clone(s.inFlight), slices.Clip(s.committed)
	c.leaders, c.requests = slices.Clone(s.leaders), slices.Clip(s.requests)
	return &c
}

// mutableMember replaces a member of a clone with a copy that may be changed, and returns it.
func (s *state) mutableMember(i int) *member {
	m := *s.members[i]
	m.node = m.node.Clone()
	s.members[i] = &m
	return &m
}

// snapshotData returns the state of the replicated service at an index, with one byte per chunk.
func snapshotData(index uint64, chunks int) []byte {
	return bytes.Repeat([]byte{byte(index)}, max(1, chunks))
}

// runHost processes all pending work of a member, in the order that package raft requires. A crash
// between two steps is not modeled separately: it is equivalent to a crash after them that loses
// the messages.
func (s *state) runHost(i int) *state {
	m := s.members[i]
	for r := m.node.Ready(); !r.Empty(); r = m.node.Ready() {
		s.store(m, r)
		for _, message := range r.Messages {
			s.send(message)
		}
		for _, e := range r.CommittedEntries {
			s.apply(m.id, e)
		}
		m.node.Advance(r)
		m.applied = m.node.AppliedIndex()
	}
	if m.node.Role() == raft.Leader {
		s.observeLeader(m.id, int(m.node.Term()))
	}
	return s
}

// store writes to a member's disk what must be stored before its messages are sent.
func (s *state) store(m *member, r raft.Ready) {
	if r.HardState != nil {
		m.disk.HardState = *r.HardState
	}
	if r.Snapshot != nil {
		s.checkInstalled(m, r.Snapshot)
		m.disk.Snapshot, m.disk.Entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		kept := r.Entries[0].Index - m.disk.Snapshot.Index - 1
		m.disk.Entries = append(slices.Clone(m.disk.Entries[:kept]), r.Entries...)
	}
}

// send puts a message in flight. If that exceeds [Bounds.InFlight], the oldest message with the same
// sender and receiver is lost.
func (s *state) send(message raft.Message) {
	if int(message.To) > len(s.members) {
		return
	}
	sameLink := func(m raft.Message) bool { return m.From == message.From && m.To == message.To }
	count := 0
	for _, m := range s.inFlight {
		if sameLink(m) {
			count++
		}
	}
	if count >= s.remaining.InFlight {
		oldest := slices.IndexFunc(s.inFlight, sameLink)
		s.inFlight = slices.Delete(s.inFlight, oldest, oldest+1)
	}
	s.inFlight = append(s.inFlight, message)
}
