package model

import (
	"fmt"
	"slices"

	"example.org/elmspan/lab/modelcheck"
	"example.org/elmspan/raft"
)

// action is a possible transition of one member.
type action struct {
	name   string // for the trace of a violation
	member int    // position of the member in [state.members]
	// budget returns the bound that the action counts against; nil: the action is unbounded.
	budget func(*Bounds) *int
	// apply performs the action on a clone of a state and on the member in that clone. It returns
	// false if the action is not enabled.
	apply func(next *state, m *member) bool
}

// Next implements [modelcheck.State]: it yields the successor state for each enabled action.
func (s *state) Next(yield func(string, modelcheck.State) bool) {
	for _, a := range s.actions() {
		next := s.clone()
		if a.budget != nil {
			remaining := a.budget(&next.remaining)
			if *remaining == 0 {
				continue
			}
			*remaining--
		}
		if !a.apply(next, next.mutableMember(a.member)) {
			continue
		}
		if !yield(a.name, next.runHost(a.member)) {
			return
		}
	}
}

// actions returns all candidate actions. Some may be disabled or exceed their bounds.
func (s *state) actions() (all []action) {
	for i := range s.inFlight {
		all = append(all, s.deliveries(i)...)
	}
	for i, m := range s.members {
		all = append(all, s.memberActions(i)...)
		if m.node.Role() == raft.Leader {
			all = append(all, s.leaderActions(i)...)
			all = append(all, s.membershipActions(i)...)
		}
	}
	return all
}

// deliveries returns the actions that deliver a message in flight. There is no action that loses
// a message: loss follows from the bound on messages in flight and from crashes of the receiver.
func (s *state) deliveries(position int) (all []action) {
	message := s.inFlight[position]
	receiver := int(message.To) - 1
	if message.Kind == raft.SnapshotChunk {
		all = append(all, action{
			name:   fmt.Sprint("deliver corrupted: ", describeMessage(message)),
			member: receiver,
			budget: func(b *Bounds) *int { return &b.CorruptedChunks },
			apply: func(next *state, m *member) bool {
				next.inFlight = slices.Delete(next.inFlight, position, position+1)
				m.node.Step(corruptedChunk(message))
				next.corrupted = true
				return true
			},
		})
	}
	return append(all,
		action{
			name:   fmt.Sprint("deliver: ", describeMessage(message)),
			member: receiver,
			apply: func(next *state, m *member) bool {
				next.inFlight = slices.Delete(next.inFlight, position, position+1)
				m.node.Step(message)
				return true
			},
		},
		action{
			name:   fmt.Sprint("deliver a duplicate: ", describeMessage(message)),
			member: receiver,
			budget: func(b *Bounds) *int { return &b.Duplicates },
			apply: func(_ *state, m *member) bool {
				m.node.Step(message)
				return true
			},
		})
}

// corruptedChunk returns a copy of a message with different bytes in its chunk.
func corruptedChunk(message raft.Message) raft.Message {
	snapshot := *message.Snapshot
	snapshot.Data = []byte{0xff}
	message.Snapshot = &snapshot
	return message
}

// memberActions returns the actions of a member in any role.
func (s *state) memberActions(i int) []action {
	id, node := s.members[i].id, s.members[i].node
	all := []action{
		{
			name:   fmt.Sprint("start an election at ", id),
			member: i,
			budget: func(b *Bounds) *int { return &b.Elections },
			apply: func(next *state, m *member) bool {
				wasLeader := m.node.Role() == raft.Leader
				m.beginElection()
				mayCampaign := next.remaining.Candidates == 0 || i < next.remaining.Candidates
				return mayCampaign && !wasLeader && m.node.Role() != raft.Follower
			},
		},
		{
			name:   fmt.Sprint("crash and restart ", id),
			member: i,
			budget: func(b *Bounds) *int { return &b.Crashes },
			apply: func(_ *state, m *member) bool {
				m.start()
				return true
			},
		},
	}
	if applied := node.AppliedIndex(); applied > node.SnapshotIndex() {
		all = append(all, action{
			name:   fmt.Sprint("compact the log of ", id),
			member: i,
			budget: func(b *Bounds) *int { return &b.Snapshots },
			apply:  func(next *state, m *member) bool { return m.compact(applied, next.remaining.Chunks) },
		})
	}
	return all
}

// compact makes a snapshot of the member's applied state.
func (m *member) compact(index uint64, chunks int) bool {
	snapshot := m.node.Compact(index, snapshotData(index, chunks))
	if snapshot == nil {
		return false
	}
	m.disk.Entries = slices.Clone(m.disk.Entries[snapshot.Index-m.disk.Snapshot.Index:])
	m.disk.Snapshot = *snapshot
	return true
}

// leaderActions returns the actions of a leader other than membership changes.
func (s *state) leaderActions(i int) []action {
	id := s.members[i].id
	return []action{
		{
			name:   fmt.Sprint("propose a value at ", id),
			member: i,
			budget: func(b *Bounds) *int { return &b.Values },
			apply: func(next *state, m *member) bool {
				_, _, err := m.node.Propose([]byte{byte('a' + next.remaining.Values)})
				return err == nil
			},
		},
		{
			name:   fmt.Sprint("heartbeat of ", id),
			member: i,
			budget: func(b *Bounds) *int { return &b.Heartbeats },
			apply: func(next *state, m *member) bool {
				next.observeReadRequest(m)
				for range heartbeatTicks {
					m.node.Tick()
				}
				return true
			},
		},
		{
			name:   fmt.Sprint("step down at ", id),
			member: i,
			budget: func(b *Bounds) *int { return &b.StepDowns },
			apply: func(_ *state, m *member) bool {
				m.node.StepDown()
				return true
			},
		},
	}
}

// membershipActions returns the membership changes that a leader may attempt, including some that it
// must reject.
func (s *state) membershipActions(i int) (all []action) {
	id, present := s.members[i].id, s.members[i].node.Members()
	for _, members := range singleChanges(present, len(s.members)) {
		all = append(all, action{
			name:   fmt.Sprint("change voters to ", voterIDs(members), " at ", id),
			member: i,
			budget: func(b *Bounds) *int { return &b.Changes },
			apply:  func(_ *state, m *member) bool { return m.node.ProposeMembers(members) == nil },
		})
	}
	for _, members := range swaps(present, len(s.members), s.remaining.SwappedOut) {
		all = append(all, action{
			name:   fmt.Sprint("swap voters to ", voterIDs(members), " at ", id),
			member: i,
			budget: func(b *Bounds) *int { return &b.Swaps },
			apply:  func(_ *state, m *member) bool { return m.node.ProposeMembers(members) == nil },
		})
	}
	return all
}

// singleChanges returns the lists of members with one voter added or removed, and one list with a
// larger change, which must be rejected.
func singleChanges(present []raft.Member, highest int) (lists [][]raft.Member) {
	for id := raft.ID(1); int(id) <= highest; id++ {
		list := slices.DeleteFunc(slices.Clone(present), func(m raft.Member) bool { return m.ID == id })
		if len(list) == len(present) {
			list = append(list, raft.Member{ID: id, Voter: true})
		}
		if len(list) > 0 {
			lists = append(lists, list)
		}
	}
	last := raft.ID(highest)
	if !slices.ContainsFunc(present, func(m raft.Member) bool { return m.ID == last }) {
		lists = append(lists, []raft.Member{{ID: 1, Voter: true}, {ID: last, Voter: true}})
	}
	return lists
}

// swaps returns the lists of members in which one voter is replaced with another. If out is not 0, only
// that voter is replaced. A replaced voter stays in the list as a learner.
func swaps(present []raft.Member, highest, out int) (lists [][]raft.Member) {
	for id := raft.ID(1); int(id) <= highest; id++ {
		in := slices.IndexFunc(present, func(m raft.Member) bool { return m.ID == id })
		if in >= 0 && present[in].Voter {
			continue
		}
		for i := range present {
			if !present[i].Voter || out != 0 && present[i].ID != raft.ID(out) {
				continue
			}
			list := slices.Clone(present)
			list[i].Voter = false
			if in >= 0 {
				list[in].Voter = true
			} else {
				list = append(list, raft.Member{ID: id, Voter: true, SupportsJoint: true})
			}
			lists = append(lists, list)
		}
	}
	return lists
}

// voterIDs returns the IDs of the voters.
func voterIDs(members []raft.Member) (ids []raft.ID) {
	for _, m := range members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// describeMessage returns a message as one line for traces.
func describeMessage(m raft.Message) string {
	kind := m.Kind.String()
	if m.Reject {
		kind += " (rejection)"
	}
	return fmt.Sprintf("%s from %d to %d, term %d, index %d of term %d, %d entries, commit %d, round %d",
		kind, m.From, m.To, m.Term, m.Index, m.LogTerm, len(m.Entries), m.Commit, m.Round)
}
