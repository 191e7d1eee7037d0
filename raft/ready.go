package raft

// Ready is what the host has to do; the package comment explains the order: store
// HardState, Snapshot and Entries and sync them; send Messages; apply Snapshot and then
// CommittedEntries; call [Node.Advance].
type Ready struct {
	HardState *HardState // to store; nil: unchanged
	Snapshot  *Snapshot  // to store and apply, in place of all that is there; nil: none
	// Entries are to be stored. They replace all that are stored from their first index on.
	Entries          []Entry
	Messages         []Message // to send; they may be lost
	CommittedEntries []Entry   // to apply, in this order
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && len(r.CommittedEntries) == 0
}

// MustSync reports whether something has to be on stable storage before the messages are sent.
func (r *Ready) MustSync() bool { return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// Ready returns what the host has to do. It changes nothing: until [Node.Advance] it returns
// the same again, and what has been added meanwhile.
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
	if n.log.committed > from { // these are stored already, or are among Entries
		r.CommittedEntries = n.log.entriesAfter(from, int(n.log.committed-from))
	}
	return r
}

// Advance is called once a Ready has been carried out. A leader counts its own copy of the stored
// entries from here on, which may commit them.
func (n *Node) Advance(r Ready) {
	n.messages = n.messages[len(r.Messages):]
	if len(n.messages) == 0 {
		n.messages = nil
	}
	if r.HardState != nil {
		n.hardStateDirty = n.hardState != *r.HardState // it may have changed meanwhile
	}
	if r.Snapshot == n.installedSnapshot {
		n.installedSnapshot = nil
	}
	if r.Snapshot != nil { // applied only now: the host may have failed to store it before
		n.log.applied = max(n.log.applied, r.Snapshot.Index)
	}
	n.log.advance(r.Entries, r.CommittedEntries)
	n.maybeCommit()
}

// advance records that entries were stored, and others applied.
func (l *entryLog) advance(stored, applied []Entry) {
	if k := len(stored); k > 0 {
		// If the last one was replaced meanwhile, the new one is not stored.
		if e := stored[k-1]; l.term(e.Index) == e.Term {
			l.persisted = max(l.persisted, e.Index)
		}
	}
	if k := len(applied); k > 0 {
		l.applied = max(l.applied, applied[k-1].Index)
	}
}
