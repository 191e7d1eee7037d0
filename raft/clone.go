package raft

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
)

// Clone returns a member that goes on from here on its own, for walks through all
// that could happen. What chance decides, the time until elections, goes on alike.
func (n *Node) Clone() *Node {
	c := *n
	c.entries, c.out = slices.Clip(n.entries), slices.Clone(n.out)
	src := *n.src
	c.src, c.rng = &src, rand.New(&src)
	c.votes = maps.Clone(n.votes)
	if n.peers != nil {
		c.peers = make(map[ID]*progress, len(n.peers))
		for id, p := range n.peers {
			q := *p
			if p.snapshot != nil {
				x := *p.snapshot
				q.snapshot = &x
			}
			c.peers[id] = &q
		}
	}
	if n.incoming != nil {
		a := *n.incoming
		a.snap.Data = append(make([]byte, 0, cap(a.snap.Data)), a.snap.Data...)
		c.incoming = &a
	}
	return &c
}

// AppendKey adds all that this member's future depends on, time and chance left out.
func (n *Node) AppendKey(b []byte) []byte {
	num := func(vs ...uint64) {
		for _, v := range vs {
			b = binary.AppendUvarint(b, v)
		}
	}
	truth := func(v bool) uint64 {
		if v {
			return 1
		}
		return 0
	}
	num(n.hard.Term, uint64(n.hard.Vote), n.snap.Index, n.snap.Term, n.base, n.baseTerm, uint64(n.role), uint64(n.leader), n.commit, n.applied, n.stored,
		truth(n.hardDirty), truth(n.prevote), truth(n.forgot), n.round, n.refused, uint64(len(n.entries)))
	for _, e := range n.entries {
		b = appendEntry(b, e)
	}
	b = appendMembers(b, n.snap.Members)
	num(uint64(len(n.votes)))
	for _, id := range slices.Sorted(maps.Keys(n.votes)) {
		num(uint64(id), truth(n.votes[id]))
	}
	num(uint64(len(n.peers)))
	for _, id := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[id]
		num(uint64(id), p.match, p.matchRound, p.next, p.round, truth(p.active), truth(p.paused), p.out, truth(p.answered), truth(p.joint), truth(p.snapshot != nil), truth(p.catchUp))
		if x := p.snapshot; x != nil {
			num(x.snap.Index, x.sum, uint64(x.acked), uint64(x.sent), uint64(x.hold), truth(x.tries > 0))
		}
	}
	num(truth(n.incoming != nil))
	if a := n.incoming; a != nil {
		num(a.snap.Index, a.snap.Term, a.size, a.sum, a.term, uint64(len(a.snap.Data)))
		b = append(b, a.snap.Data...)
	}
	return b
}

// AppendKey adds a message, so that equal ones have equal bytes.
func (m *Message) AppendKey(b []byte) []byte {
	flags := uint64(m.Kind) << 3
	if m.Reject {
		flags |= 1
	}
	if m.LeadershipTransfer {
		flags |= 2
	}
	if m.SupportsJoint {
		flags |= 4
	}
	for _, v := range []uint64{flags, uint64(m.From), uint64(m.To), m.Term, m.Index, m.LogTerm, m.Commit, m.Round, m.Offset, m.SnapshotSize, m.SnapshotChecksum, m.RejectedIndex, uint64(len(m.Entries))} {
		b = binary.AppendUvarint(b, v)
	}
	for _, e := range m.Entries {
		b = appendEntry(b, e)
	}
	if s := m.Snapshot; s != nil {
		b = binary.AppendUvarint(binary.AppendUvarint(b, s.Index), s.Term)
		b = append(appendMembers(b, s.Members), s.Data...)
	}
	return b
}

func appendEntry(b []byte, e Entry) []byte {
	b = binary.AppendUvarint(binary.AppendUvarint(b, e.Term), uint64(len(e.Data)))
	return appendMembers(append(b, e.Data...), e.Members)
}

func appendMembers(b []byte, ms []Member) []byte {
	b = binary.AppendUvarint(b, uint64(len(ms)))
	for _, m := range ms {
		v := uint64(m.ID) << 3
		if m.Voter {
			v |= 1
		}
		if m.Outgoing {
			v |= 2
		}
		if m.SupportsJoint {
			v |= 4
		}
		b = binary.AppendUvarint(b, v)
	}
	return b
}
