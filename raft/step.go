package raft

// Step takes in a message of another member.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.From == n.cfg.ID || m.From == 0 || !m.sound() {
		return
	}
	switch {
	case m.Term > n.hard.Term:
		switch m.Kind {
		case PreVoteRequest: // changes no term
		case PreVoteReply:
			if m.Reject {
				n.newTerm(m.Term, 0)
				return
			}
		case VoteRequest:
			if n.calm() && !m.LeadershipTransfer {
				return // a leader is alive: one that came back must not unseat it
			}
			n.newTerm(m.Term, 0)
		case AppendEntries, InstallSnapshot, SnapshotChunk:
			n.newTerm(m.Term, m.From)
		default:
			n.newTerm(m.Term, 0)
		}
	case m.Term < n.hard.Term:
		switch m.Kind {
		case AppendEntries, InstallSnapshot, SnapshotChunk: // tells an old leader of the new term
			n.send(Message{Kind: AppendEntriesReply, To: m.From, Term: n.hard.Term, Reject: true, Index: n.last()})
		case PreVoteRequest:
			n.send(Message{Kind: PreVoteReply, To: m.From, Term: n.hard.Term, Reject: true})
		}
		return
	}
	switch m.Kind {
	case PreVoteRequest:
		if n.calm() {
			return
		}
		ok := n.upToDate(m) && m.Term > n.hard.Term
		if ok && n.role == Candidate && n.prevote { // two at once would split the votes: one of them waits
			if ok = m.From < n.cfg.ID || m.Index > n.last() || m.LogTerm > n.term(n.last()); ok {
				n.follow(0)
			}
		}
		reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !ok}
		if !ok {
			reply.Term = n.hard.Term
		}
		n.send(reply)
	case VoteRequest:
		ok := (n.hard.Vote == 0 || n.hard.Vote == m.From) && n.leader == 0 && n.upToDate(m)
		if ok {
			n.hard.Vote, n.hardDirty, n.elapsed = m.From, true, 0
		}
		n.send(Message{Kind: VoteReply, To: m.From, Term: n.hard.Term, Reject: !ok})
	case PreVoteReply, VoteReply:
		if n.role == Candidate && n.prevote == (m.Kind == PreVoteReply) {
			if _, had := n.votes[m.From]; !had {
				n.votes[m.From] = !m.Reject
				n.count()
			}
		}
	case AppendEntries:
		n.heardLeader(m.From)
		n.takeEntries(m)
	case InstallSnapshot:
		n.heardLeader(m.From)
		n.install(m)
	case SnapshotChunk:
		n.heardLeader(m.From)
		n.takePiece(m)
	case AppendEntriesReply:
		n.appended(m)
	case SnapshotChunkReply:
		n.pieceTaken(m)
	case DurabilityLost:
		n.forgot = n.forgot || n.leader == m.From
	case TimeoutNow:
		if n.NeededForQuorum() {
			n.force = true
			n.campaign(false)
			n.force = false
		}
	}
}

// most bounds terms and places of the log, so that none overflows.
const most = 1 << 60

// sound tells that a message can be one of a member's: entries follow on each
// other and are not of later terms. One that isn't would tear the log.
func (m *Message) sound() bool {
	if m.Term > most || m.Index > most || m.LogTerm > m.Term {
		return false
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
	}
	if m.Kind != InstallSnapshot && m.Kind != SnapshotChunk {
		return true
	}
	s := m.Snapshot
	if s == nil || s.Index == 0 || s.Index > most || s.Term > m.Term {
		return false
	}
	size := uint64(len(s.Data))
	return m.Kind == InstallSnapshot || size > 0 && m.SnapshotSize <= MaxSnapshotBytes && m.Offset <= m.SnapshotSize && size <= m.SnapshotSize-m.Offset
}

// calm tells that a leader was heard of within the least election time.
func (n *Node) calm() bool {
	return n.role == Leader || n.leader != 0 && n.elapsed < n.cfg.ElectionTicks
}

// upToDate tells whether a candidate's log holds all that this one may have agreed to.
func (n *Node) upToDate(m Message) bool {
	t := n.term(n.last())
	return m.LogTerm > t || m.LogTerm == t && m.Index >= n.last()
}

func (n *Node) heardLeader(id ID) {
	if n.role != Follower || n.leader != id {
		n.follow(id)
	}
	n.elapsed, n.led, n.ledAgo = 0, id, 0
}

func (n *Node) takeEntries(m Message) {
	reply := Message{Kind: AppendEntriesReply, To: m.From, Term: n.hard.Term, Round: m.Round}
	switch {
	case m.Index < n.base: // agreed long since; the rest may be news
		skip := n.base - m.Index
		if skip > uint64(len(m.Entries)) {
			reply.Index = n.base
			n.send(reply)
			return
		}
		m.Entries = m.Entries[skip:]
	case m.Index > n.last() || n.term(m.Index) != m.LogTerm:
		reply.Reject, reply.Index, reply.RejectedIndex = true, min(n.last(), m.Index-1), m.Index
		n.send(reply)
		return
	}
	from := max(m.Index, n.base)
	for i, e := range m.Entries {
		if n.term(e.Index) != e.Term && e.Index <= n.commit {
			return // what was agreed on stays: no leader of the agreement sends this
		}
		if n.term(e.Index) != e.Term { // keep what is already there: a late message must not cut off newer ones
			n.write(e.Index-1, m.Entries[i:])
			break
		}
	}
	reply.Index = from + uint64(len(m.Entries))
	n.commit = max(n.commit, min(m.Commit, reply.Index))
	if n.incoming != nil && n.incoming.snap.Index <= n.commit {
		n.incoming = nil // what it was to bring has come entry by entry
	}
	n.send(reply)
}

func (n *Node) appended(m Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.heard(m.Round, n.round)
	p.joint = m.SupportsJoint
	if m.Reject {
		// The question went out after the answer that raised match had come, so this is none
		// of before it: what fitted once in this term fits for good, unless it is gone.
		if m.RejectedIndex != 0 && m.RejectedIndex <= p.match && m.Round > p.matchRound {
			n.send(Message{Kind: DurabilityLost, To: m.From, Term: n.hard.Term})
			return
		}
		if p.next <= n.base || m.RejectedIndex != 0 && m.RejectedIndex != p.next-1 {
			return // a snapshot is on its way, or this is an answer to something before
		}
		if next := max(p.match+1, min(p.next-1, m.Index+1)); next < p.next { // else: in time, not at once
			p.paused, p.next = false, next
			n.append(m.From, p, false)
		}
		return
	}
	if m.Index >= n.commit {
		p.catchUp = false
	}
	if m.Index >= p.out {
		p.paused = false
	}
	if m.Index > p.match && m.Index <= n.last() {
		p.match, p.matchRound = m.Index, n.round
		p.next = max(p.next, p.match+1)
		if p.next > n.base {
			p.snapshot = nil
		}
		before := n.commit
		n.advance()
		if n.role == Leader && n.commit > before { // tells the others at once what is agreed
			n.appendAll(true)
			return
		}
	}
	if n.role == Leader {
		n.append(m.From, p, false)
	}
}

func (n *Node) send(m Message) {
	m.From, m.SupportsJoint = n.cfg.ID, m.Kind == AppendEntriesReply
	n.out = append(n.out, m)
}

// Ready returns what the host has to do. After doing it, it calls Advance.
func (n *Node) Ready() Ready {
	r := Ready{Snapshot: n.installed, Messages: n.out, Entries: n.after(n.stored, len(n.entries))}
	if n.hardDirty {
		h := n.hard
		r.HardState = &h
	}
	from := n.applied
	if n.installed != nil {
		from = n.installed.Index
	}
	if n.commit > from { // of what is stored with this Ready or was before
		r.CommittedEntries = n.after(from, int(n.commit-from))
	}
	return r
}

// Advance tells that a Ready is carried out. A leader may so agree on what it
// has now stored itself.
func (n *Node) Advance(r Ready) {
	n.out = n.out[len(r.Messages):]
	if len(n.out) == 0 {
		n.out = nil
	}
	if r.HardState != nil {
		n.hardDirty = n.hard != *r.HardState
	}
	if r.Snapshot == n.installed {
		n.installed = nil
	}
	if r.Snapshot != nil { // before that the host has not taken it over, as while its disk refuses writes
		n.applied = max(n.applied, r.Snapshot.Index)
	}
	if k := len(r.Entries); k > 0 {
		if e := r.Entries[k-1]; n.term(e.Index) == e.Term {
			n.stored = max(n.stored, e.Index)
		}
	}
	if k := len(r.CommittedEntries); k > 0 {
		n.applied = max(n.applied, r.CommittedEntries[k-1].Index)
	}
	n.advance()
}
