package raft

import (
	"encoding/binary"
	"maps"
	"slices"
)

// A state key is a byte string that two members share if, and only if, their futures are the
// same, whatever the time and the random source. A model checker counts states with equal keys
// as one.

// AppendKey appends the state key of this member to b.
func (n *Node) AppendKey(b []byte) []byte {
	l := &n.log
	b = appendNumbers(b, n.hardState.Term, uint64(n.hardState.Vote),
		l.snapshot.Index, l.snapshot.Term, l.base, l.baseTerm,
		uint64(n.role), uint64(n.leader),
		l.committed, l.applied, l.persisted,
		number(n.hardStateDirty), number(n.preVote), number(n.lostDurability),
		n.heartbeatRound, n.rejectedSnapshots,
		uint64(len(l.entries)))
	for _, e := range l.entries {
		b = appendEntryKey(b, e)
	}
	b = appendMembersKey(b, l.snapshot.Members)
	b = appendNumbers(b, uint64(len(n.votes)))
	for _, id := range slices.Sorted(maps.Keys(n.votes)) {
		b = appendNumbers(b, uint64(id), number(n.votes[id]))
	}
	b = appendNumbers(b, uint64(len(n.progress)))
	for _, id := range slices.Sorted(maps.Keys(n.progress)) {
		b = n.progress[id].appendKey(appendNumbers(b, uint64(id)))
	}
	b = appendNumbers(b, number(n.incomingSnapshot != nil))
	if n.incomingSnapshot != nil {
		b = n.incomingSnapshot.appendKey(b)
	}
	return b
}

func (p *progress) appendKey(b []byte) []byte {
	b = appendNumbers(b, p.matchIndex, p.matchRound, p.nextIndex, p.acknowledgedRound,
		number(p.recentlyActive), number(p.paused), p.inflightIndex,
		number(p.responded), number(p.supportsJoint),
		number(p.transfer != nil), number(p.catchingUp))
	if t := p.transfer; t != nil {
		b = appendNumbers(b, t.snapshot.Index, t.checksum, uint64(t.acknowledged), uint64(t.sent),
			uint64(t.pauseTicks), number(t.timeouts > 0))
	}
	return b
}

func (a *snapshotAssembly) appendKey(b []byte) []byte {
	b = appendNumbers(b, a.snapshot.Index, a.snapshot.Term, a.size, a.checksum, a.term, a.received())
	return append(b, a.snapshot.Data...)
}

// AppendKey appends to b a key that two messages share if, and only if, they are equal.
func (m *Message) AppendKey(b []byte) []byte {
	flags := uint64(m.Kind)<<3 | number(m.Reject) | number(m.LeadershipTransfer)<<1 | number(m.SupportsJoint)<<2
	b = appendNumbers(b, flags, uint64(m.From), uint64(m.To), m.Term,
		m.Index, m.LogTerm, m.Commit, m.Round,
		m.Offset, m.SnapshotSize, m.SnapshotChecksum, m.RejectedIndex,
		uint64(len(m.Entries)))
	for _, e := range m.Entries {
		b = appendEntryKey(b, e)
	}
	if s := m.Snapshot; s != nil {
		b = appendNumbers(b, s.Index, s.Term)
		b = append(appendMembersKey(b, s.Members), s.Data...)
	}
	return b
}

func appendEntryKey(b []byte, e Entry) []byte {
	b = appendNumbers(b, e.Term, uint64(len(e.Data)))
	return appendMembersKey(append(b, e.Data...), e.Members)
}

func appendMembersKey(b []byte, members []Member) []byte {
	b = appendNumbers(b, uint64(len(members)))
	for _, m := range members {
		b = appendNumbers(b, uint64(m.ID)<<3|number(m.Voter)|number(m.Outgoing)<<1|number(m.SupportsJoint)<<2)
	}
	return b
}

func appendNumbers(b []byte, numbers ...uint64) []byte {
	for _, v := range numbers {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

// number is 1 for true and 0 for false.
func number(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}
