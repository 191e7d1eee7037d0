package raft

// SnapshotDue reports whether the applied log has grown enough for a new snapshot; see
// [Config.SnapshotBytes]. While a follower catches up from a snapshot, the leader keeps the
// entries after that snapshot until they take more bytes than the snapshot itself: from then on
// it costs less to send the follower a new snapshot.
func (n *Node) SnapshotDue() bool {
	if n.log.applied <= n.log.snapshot.Index {
		return false
	}
	bytes := 0
	for i := range n.log.entries[:n.log.applied-n.log.base] {
		bytes += entrySize(&n.log.entries[i])
	}
	if n.role == Leader && n.isFollowerCatchingUp() {
		return bytes >= max(n.cfg.SnapshotBytes, len(n.log.snapshot.Data))
	}
	return bytes >= n.cfg.SnapshotBytes || n.log.applied-n.log.snapshot.Index >= uint64(n.cfg.SnapshotEntries)
}

// isFollowerCatchingUp reports whether a follower still needs the entries after the snapshot that
// it is receiving or has received.
func (n *Node) isFollowerCatchingUp() bool {
	for _, p := range n.progress {
		if p.delaysCompaction() {
			return true
		}
	}
	return false
}

// Compact replaces the log up to an applied index with a snapshot whose contents are data (5.1),
// and returns the snapshot for the host to store. It does nothing and returns nil if there is
// already a snapshot at that index or a later one, or if the index is not applied and stored.
func (n *Node) Compact(index uint64, data []byte) *Snapshot {
	l := &n.log
	if index <= l.snapshot.Index || index > l.applied || index > l.persisted {
		return nil
	}
	s := Snapshot{Index: index, Term: l.term(index), Members: l.membersAt(index), Data: data}
	base := n.trailingBase(index)
	baseTerm := l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm, l.snapshot = base, baseTerm, s
	return &s
}

// membersAt returns the members as of an index, which must be in the log.
func (l *entryLog) membersAt(index uint64) []Member {
	members := l.snapshot.Members
	for _, e := range l.entries[:index-l.base] {
		if e.Members != nil {
			members = e.Members
		}
	}
	return members
}

// trailingBase returns the base of the log after a snapshot at an index. The entries between the
// base and the snapshot are kept for followers that lag slightly: at most TrailingEntries of them,
// and at most half of the bytes that make a snapshot due.
func (n *Node) trailingBase(index uint64) uint64 {
	base, bytes := index, 0
	for base > n.log.base && index-base < uint64(max(0, n.cfg.TrailingEntries)) {
		bytes += entrySize(&n.log.entries[base-n.log.base-1])
		if bytes > n.cfg.SnapshotBytes/2 {
			break
		}
		base--
	}
	return base
}
