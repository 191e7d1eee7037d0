package raft

// maxEntriesBytes is the maximum size of the entries in one message. A single entry may exceed it.
const maxEntriesBytes = 16 << 10

// Propose appends an entry to the log of the leader and returns its index and term. The entry is
// committed once it appears in [Ready.CommittedEntries] with the same index and term. Until then, a
// later leader may replace it. Propose returns [ErrNotLeader] if this member does not lead.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index, term = n.appendEntry(Entry{Data: data})
	return index, term, nil
}

// appendEntry appends an entry to the log of this leader and sends it to the followers.
func (n *Node) appendEntry(e Entry) (index, term uint64) {
	index, term = n.log.lastIndex()+1, n.hardState.Term
	e.Index, e.Term = index, term
	n.replaceEntries(index-1, []Entry{e})
	n.syncProgress()
	n.maybeCommit()
	n.broadcastAppend(false)
	return index, term
}

// replaceEntries replaces all entries after an index and updates the members accordingly.
func (n *Node) replaceEntries(after uint64, entries []Entry) {
	n.log.replaceAfter(after, entries)
	n.updateMembers()
}

// broadcastAppend sends each follower the entries or the snapshot that it needs next, in the order
// of the list of members.
func (n *Node) broadcastAppend(heartbeat bool) {
	for _, m := range n.members {
		if p := n.progress[m.ID]; p != nil {
			n.sendAppend(m.ID, p, heartbeat)
		}
	}
}

// sendAppend sends a follower the entries or the snapshot that it needs next. If heartbeat is set, it
// always sends an AppendEntries message that is not bulk. If there are no entries to send, or if they
// make the message bulk, that is a separate message without entries, which may overtake bulk messages.
// The follower checks that its log matches up to nextIndex-1. If it needs a snapshot, Index is 0, which
// matches any log.
func (n *Node) sendAppend(id ID, p *progress, heartbeat bool) {
	needsSnapshot := p.nextIndex <= n.log.base
	m := Message{Kind: AppendEntries, To: id, Term: n.hardState.Term, Commit: n.log.committed, Round: n.heartbeatRound}
	if !needsSnapshot {
		m.Index, m.LogTerm = p.nextIndex-1, n.log.term(p.nextIndex-1)
		if !p.paused {
			m.Entries = n.entriesForMessage(m.Index)
		}
	}
	if heartbeat && (len(m.Entries) == 0 || m.IsBulk()) {
		withoutEntries := m
		withoutEntries.Entries = nil
		n.send(withoutEntries)
	}
	if needsSnapshot {
		n.sendSnapshot(id, p)
		return
	}
	if len(m.Entries) > 0 {
		n.send(m)
		p.sentEntries(m.Index+uint64(len(m.Entries)), m.PayloadSize())
	}
}

// entriesForMessage returns the entries after an index, as many as one message may carry.
func (n *Node) entriesForMessage(index uint64) []Entry {
	entries, bytes := n.log.entriesAfter(index, n.cfg.MaxEntriesPerMessage), 0
	for i := range entries {
		bytes += entrySize(&entries[i])
		if bytes > maxEntriesBytes && i > 0 {
			return entries[:i:i]
		}
	}
	return entries
}

// handleAppendEntries appends the entries of a leader if the log matches at the entry before them
// (3.5), and advances the commit index.
func (n *Node) handleAppendEntries(m Message) {
	reply := Message{Kind: AppendEntriesReply, To: m.From, Term: n.hardState.Term, Round: m.Round}
	switch {
	case m.Index < n.log.base: // the log up to base is committed; entries after it may be new
		compacted := n.log.base - m.Index
		if compacted > uint64(len(m.Entries)) {
			reply.Index = n.log.base
			n.send(reply)
			return
		}
		m.Entries = m.Entries[compacted:]
	case m.Index > n.log.lastIndex() || n.log.term(m.Index) != m.LogTerm:
		reply.Reject, reply.Index, reply.RejectedIndex = true, min(n.log.lastIndex(), m.Index-1), m.Index
		n.send(reply)
		return
	}
	if !n.appendNewEntries(m.Entries) {
		return
	}
	reply.Index = max(m.Index, n.log.base) + uint64(len(m.Entries))
	n.log.committed = max(n.log.committed, min(m.Commit, reply.Index))
	if n.incomingSnapshot != nil && n.incomingSnapshot.snapshot.Index <= n.log.committed {
		n.incomingSnapshot = nil // the log has all its entries
	}
	n.send(reply)
}

// appendNewEntries appends the entries that are not in the log yet, and replaces conflicting ones.
// Matching entries stay, with all entries after them: a delayed message must not truncate newer
// entries. It returns false and changes nothing if an entry conflicts with a committed one, which
// no correct leader sends.
func (n *Node) appendNewEntries(entries []Entry) bool {
	for i, e := range entries {
		if n.log.term(e.Index) == e.Term {
			continue
		}
		if e.Index <= n.log.committed {
			return false
		}
		n.replaceEntries(e.Index-1, entries[i:])
		return true
	}
	return true
}

// handleAppendEntriesReply updates the progress of a follower and sends it the next entries.
func (n *Node) handleAppendEntriesReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.acknowledge(m.Round, n.heartbeatRound)
	p.supportsJoint = m.SupportsJoint
	if m.Reject {
		n.handleAppendRejection(m, p)
		return
	}
	if m.Index >= n.log.committed {
		p.catchingUp = false
	}
	if m.Index >= p.inflightIndex {
		p.paused = false
	}
	if m.Index > p.matchIndex && m.Index <= n.log.lastIndex() {
		p.matchIndex, p.matchRound = m.Index, n.heartbeatRound
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		if p.nextIndex > n.log.base {
			p.transfer = nil
		}
		before := n.log.committed
		n.maybeCommit()
		if n.role == Leader && n.log.committed > before { // notify all followers immediately
			n.broadcastAppend(true)
			return
		}
	}
	if n.role == Leader {
		n.sendAppend(m.From, p, false)
	}
}

// handleAppendRejection backs up to the last index at which the log of a follower may match, or
// notifies the follower that it has lost entries that it had acknowledged.
func (n *Node) handleAppendRejection(m Message, p *progress) {
	// An index that has matched once keeps matching for the rest of the term, unless the follower
	// has lost the entry. A request of a later round than matchRound was sent after matchIndex was
	// last raised, so its rejection is not a delayed reply to a request before that.
	if m.RejectedIndex != 0 && m.RejectedIndex <= p.matchIndex && m.Round > p.matchRound {
		n.send(Message{Kind: DurabilityLost, To: m.From, Term: n.hardState.Term})
		return
	}
	if p.nextIndex <= n.log.base {
		return // the follower is being sent a snapshot
	}
	if m.RejectedIndex != 0 && m.RejectedIndex != p.nextIndex-1 {
		return // a reply to an earlier request
	}
	next := max(p.matchIndex+1, min(p.nextIndex-1, m.Index+1))
	if next < p.nextIndex { // otherwise the entries are resent after the retransmission timeout
		p.paused, p.nextIndex = false, next
		n.sendAppend(m.From, p, false)
	}
}

// maybeCommit commits the entries that a majority has stored, if the last of them is of this
// leader's own term: an entry of an earlier term may still be replaced although a majority has it
// (paper, 5.4.2).
func (n *Node) maybeCommit() {
	if n.role != Leader {
		return
	}
	index := n.quorumValue(n.members, n.log.persisted, func(p *progress) uint64 { return p.matchIndex })
	if index > n.log.committed && n.log.term(index) == n.hardState.Term {
		n.log.committed = index
		if !n.NeededForQuorum() { // the change that removes this leader from the voters is committed
			n.TransferLeadership()
			n.becomeFollower(0)
		}
	}
	n.leaveJoint()
}
