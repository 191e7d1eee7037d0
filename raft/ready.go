package raft

// Ready is the pending work of the host. The package comment explains the order: store HardState,
// Snapshot and Entries and sync them; send Messages; apply Snapshot and then CommittedEntries; call
// [Node.Advance].
type Ready struct {
	HardState *HardState // to store; nil: unchanged
	Snapshot  *Snapshot  // to store and apply, replacing the stored log and the applied state; nil: none
	// Entries are to be stored. They replace all stored entries from the first of their indexes on.
	Entries          []Entry
	Messages         []Message // to send, without any guarantee of delivery
	CommittedEntries []Entry   // to apply, in this order
}

// Empty reports whether there is no pending work.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && len(r.CommittedEntries) == 0
}

// MustSync reports whether there is something to write to stable storage before the messages are
// sent.
func (r *Ready) MustSync() bool { return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// Ready returns the pending work of the host without changing the node. Until [Node.Advance] is
// called, further calls return the same work again and any that was added in the meantime.
func (n *Node) Ready() Ready {
	r := Ready{
		Snapshot: n.installedSnapshot,
		Messages: n.messages,
		Entries:  n.log.entriesAfter(n.log.persisted, len(n.log.entries)),
	}
	if n.hardStateDirty {
		hardState := n.hardState
		r.HardState = &hardState
	}
	from := n.log.applied
	if n.installedSnapshot != nil {
		from = n.installedSnapshot.Index
	}
	if n.log.committed > from { // these entries are already stored, or are among Entries
		r.CommittedEntries = n.log.entriesAfter(from, int(n.log.committed-from))
	}
	return r
}

// Advance records that the host has completed the work of a Ready. A leader now counts its own copy
// of the stored entries toward a majority, which may commit them.
func (n *Node) Advance(r Ready) {
	n.messages = n.messages[len(r.Messages):]
	if len(n.messages) == 0 {
		n.messages = nil
	}
	if r.HardState != nil {
		n.hardStateDirty = n.hardState != *r.HardState // it may have changed in the meantime
	}
	if r.Snapshot == n.installedSnapshot {
		n.installedSnapshot = nil
	}
	if r.Snapshot != nil { // not counted as applied before, as the host may have failed to store it
		n.log.applied = max(n.log.applied, r.Snapshot.Index)
	}
	n.log.advance(r.Entries, r.CommittedEntries)
	n.maybeCommit()
}

// advance records that the host has stored some entries and applied others.
func (l *entryLog) advance(stored, applied []Entry) {
	if k := len(stored); k > 0 {
		// If the last entry has been replaced in the meantime, its replacement is not stored yet.
		if e := stored[k-1]; l.term(e.Index) == e.Term {
			l.persisted = max(l.persisted, e.Index)
		}
	}
	if k := len(applied); k > 0 {
		l.applied = max(l.applied, applied[k-1].Index)
	}
}
