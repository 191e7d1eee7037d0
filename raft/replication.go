package raft

// maxEntriesBytes bounds the entries of one message. One entry is sent whatever its size.
const maxEntriesBytes = 16 << 10

// Propose adds an entry to the log of the leader, and returns its index and term. The entry is
// committed once it comes back in [Ready.CommittedEntries] with the same index and term; a
// later leader may replace it before. Error: [ErrNotLeader].
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index, term = n.appendEntry(Entry{Data: data})
	return index, term, nil
}

// appendEntry adds an entry to the log of this leader and sends it to the followers.
func (n *Node) appendEntry(e Entry) (index, term uint64) {
	index, term = n.log.lastIndex()+1, n.hardState.Term
	e.Index, e.Term = index, term
	n.replaceEntries(index-1, []Entry{e})
	n.syncProgress()
	n.maybeCommit()
	n.broadcastAppend(false)
	return index, term
}

// replaceEntries puts entries behind an index, in place of those that are there, and takes
// over the members that they name.
func (n *Node) replaceEntries(after uint64, entries []Entry) {
	n.log.replaceAfter(after, entries)
	n.updateMembers()
}

// broadcastAppend sends each follower what it lacks, in the order of the members.
func (n *Node) broadcastAppend(heartbeat bool) {
	for _, m := range n.members {
		if p := n.progress[m.ID]; p != nil {
			n.sendAppend(m.ID, p, heartbeat)
		}
	}
}

// sendAppend sends a follower what it lacks. A heartbeat goes out in any case, and beside what
// is large, which it may overtake. It asks whether the log fits up to where the next entries
// go. Beside a snapshot it asks nothing: it fits any log.
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

// entriesForMessage returns as many entries behind an index as one message carries.
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

// handleAppendEntries stores the entries of a leader, if the entry before them is the same
// here (3.5), and learns how far the log is committed.
func (n *Node) handleAppendEntries(m Message) {
	reply := Message{Kind: AppendEntriesReply, To: m.From, Term: n.hardState.Term, Round: m.Round}
	switch {
	case m.Index < n.log.base: // the log up to base is committed; entries behind it may be new
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
	if !n.storeNewEntries(m.Entries) {
		return
	}
	reply.Index = max(m.Index, n.log.base) + uint64(len(m.Entries))
	n.log.committed = max(n.log.committed, min(m.Commit, reply.Index))
	if n.incomingSnapshot != nil && n.incomingSnapshot.snapshot.Index <= n.log.committed {
		n.incomingSnapshot = nil // its entries have arrived one by one
	}
	n.send(reply)
}

// storeNewEntries stores those of some entries that are not here yet. Entries that are here
// stay, with all behind them: a late message must not cut off newer entries. It returns false,
// and stores nothing, if an entry contradicts a committed one, which no leader sends.
func (n *Node) storeNewEntries(entries []Entry) bool {
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

// handleAppendEntriesReply records what a follower has, and sends it what comes next.
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
		if n.role == Leader && n.log.committed > before { // all followers learn that at once
			n.broadcastAppend(true)
			return
		}
	}
	if n.role == Leader {
		n.sendAppend(m.From, p, false)
	}
}

// handleAppendRejection moves back to where the log of a follower may fit, or notifies it that it
// has lost what it had acknowledged.
func (n *Node) handleAppendRejection(m Message, p *progress) {
	// The request was sent in a later round than the answer that raised matchIndex came in,
	// so this is no late answer to an earlier request: what fitted once in this term always
	// fits, unless it is gone.
	if m.RejectedIndex != 0 && m.RejectedIndex <= p.matchIndex && m.Round > p.matchRound {
		n.send(Message{Kind: DurabilityLost, To: m.From, Term: n.hardState.Term})
		return
	}
	if p.nextIndex <= n.log.base {
		return // a snapshot is on its way
	}
	if m.RejectedIndex != 0 && m.RejectedIndex != p.nextIndex-1 {
		return // an answer to an earlier request
	}
	next := max(p.matchIndex+1, min(p.nextIndex-1, m.Index+1))
	if next < p.nextIndex { // else the entries go out again after their time-out
		p.paused, p.nextIndex = false, next
		n.sendAppend(m.From, p, false)
	}
}

// maybeCommit commits what a majority has stored, if it is of this leader's own term: an entry
// of an earlier term may still be replaced, although a majority has it (paper, 5.4.2).
func (n *Node) maybeCommit() {
	if n.role != Leader {
		return
	}
	index := n.quorumValue(n.members, n.log.persisted, func(p *progress) uint64 { return p.matchIndex })
	if index > n.log.committed && n.log.term(index) == n.hardState.Term {
		n.log.committed = index
		if !n.NeededForQuorum() { // the change that takes its vote is committed
			n.TransferLeadership()
			n.becomeFollower(0)
		}
	}
	n.leaveJoint()
}
