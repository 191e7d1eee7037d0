package raft

import (
	"encoding/binary"
	"maps"
	"slices"
)

// A state key is a byte string that is equal for two members if and only if they behave the same
// from then on, apart from timers and the random source. A model checker treats states with equal
// keys as one state.

// AppendKey appends the state key of the member to b.
func (n *Node) AppendKey(b []byte) []byte {
	l := &n.log
	b = appendUvarints(b, n.hardState.Term, uint64(n.hardState.Vote),
		l.snapshot.Index, l.snapshot.Term, l.base, l.baseTerm,
		uint64(n.role), uint64(n.leader),
		l.committed, l.applied, l.persisted,
		boolBit(n.hardStateDirty), boolBit(n.preVote), boolBit(n.lostDurability),
		n.heartbeatRound, n.rejectedSnapshots,
		uint64(len(l.entries)))
	for _, e := range l.entries {
		b = appendEntryKey(b, e)
	}
	b = appendMembersKey(b, l.snapshot.Members)
	b = appendUvarints(b, uint64(len(n.votes)))
	for _, id := range slices.Sorted(maps.Keys(n.votes)) {
		b = appendUvarints(b, uint64(id), boolBit(n.votes[id]))
	}
	b = appendUvarints(b, uint64(len(n.progress)))
	for _, id := range slices.Sorted(maps.Keys(n.progress)) {
		b = n.progress[id].appendKey(appendUvarints(b, uint64(id)))
	}
	b = appendUvarints(b, boolBit(n.incomingSnapshot != nil))
	if n.incomingSnapshot != nil {
		b = n.incomingSnapshot.appendKey(b)
	}
	return b
}

func (p *progress) appendKey(b []byte) []byte {
	b = appendUvarints(b, p.matchIndex, p.matchRound, p.nextIndex, p.acknowledgedRound,
		boolBit(p.recentlyActive), boolBit(p.paused), p.inflightIndex,
		boolBit(p.responded), boolBit(p.supportsJoint),
		boolBit(p.transfer != nil), boolBit(p.catchingUp))
	if t := p.transfer; t != nil {
		b = appendUvarints(b, t.snapshot.Index, t.checksum, uint64(t.acknowledged), uint64(t.sent),
			uint64(t.pauseTicks), boolBit(t.timeouts > 0))
	}
	return b
}

func (a *snapshotAssembly) appendKey(b []byte) []byte {
	b = appendUvarints(b, a.snapshot.Index, a.snapshot.Term, a.size, a.checksum, a.term, a.received())
	return append(b, a.snapshot.Data...)
}

// AppendKey appends to b a key that is the same for two messages if and only if they are equal, apart
// from the addresses of members.
func (m *Message) AppendKey(b []byte) []byte {
	flags := uint64(m.Kind)<<3 | boolBit(m.Reject) | boolBit(m.LeadershipTransfer)<<1 | boolBit(m.SupportsJoint)<<2
	b = appendUvarints(b, flags, uint64(m.From), uint64(m.To), m.Term,
		m.Index, m.LogTerm, m.Commit, m.Round,
		m.Offset, m.SnapshotSize, m.SnapshotChecksum, m.RejectedIndex,
		uint64(len(m.Entries)))
	for _, e := range m.Entries {
		b = appendEntryKey(b, e)
	}
	if s := m.Snapshot; s != nil {
		b = appendUvarints(b, s.Index, s.Term)
		b = append(appendMembersKey(b, s.Members), s.Data...)
	}
	return b
}

func appendEntryKey(b []byte, e Entry) []byte {
	b = appendUvarints(b, e.Term, uint64(len(e.Data)))
	return appendMembersKey(append(b, e.Data...), e.Members)
}

func appendMembersKey(b []byte, members []Member) []byte {
	b = appendUvarints(b, uint64(len(members)))
	for _, m := range members {
		b = appendUvarints(b, uint64(m.ID)<<3|boolBit(m.Voter)|boolBit(m.Outgoing)<<1|boolBit(m.SupportsJoint)<<2)
	}
	return b
}

func appendUvarints(b []byte, numbers ...uint64) []byte {
	for _, v := range numbers {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

// boolBit returns 1 for true and 0 for false.
func boolBit(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}
