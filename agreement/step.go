package agreement

// Step takes in a message of another member.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.From == n.cfg.ID || m.From == 0 || !m.sound() {
		return
	}
	switch {
	case m.Term > n.hard.Term:
		switch m.Kind {
		case PreVote: // changes no term
		case PreVoteReply:
			if m.Reject {
				n.newTerm(m.Term, 0)
				return
			}
		case Vote:
			if n.calm() && !m.Force {
				return // a leader is alive: one that came back must not unseat it
			}
			n.newTerm(m.Term, 0)
		case Append, Install:
			n.newTerm(m.Term, m.From)
		default:
			n.newTerm(m.Term, 0)
		}
	case m.Term < n.hard.Term:
		switch m.Kind {
		case Append, Install: // tells an old leader of the new term
			n.send(Message{Kind: AppendReply, To: m.From, Term: n.hard.Term, Reject: true, Index: n.last()})
		case PreVote:
			n.send(Message{Kind: PreVoteReply, To: m.From, Term: n.hard.Term, Reject: true})
		}
		return
	}
	switch m.Kind {
	case PreVote:
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
	case Vote:
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
	case Append:
		n.heardLeader(m.From)
		n.takeEntries(m)
	case Install:
		n.heardLeader(m.From)
		n.install(m)
	case AppendReply:
		n.appended(m)
	case Campaign:
		if n.Needed() {
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
	if m.Kind == Install {
		return m.Snapshot != nil && m.Snapshot.Index > 0 && m.Snapshot.Index <= most && m.Snapshot.Term <= m.Term
	}
	return true
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
	reply := Message{Kind: AppendReply, To: m.From, Term: n.hard.Term, Round: m.Round}
	switch {
	case m.Index < n.snap.Index: // agreed long since; the rest may be news
		skip := n.snap.Index - m.Index
		if skip > uint64(len(m.Entries)) {
			reply.Index = n.snap.Index
			n.send(reply)
			return
		}
		m.Entries = m.Entries[skip:]
	case m.Index > n.last() || n.term(m.Index) != m.LogTerm:
		reply.Reject, reply.Index = true, min(n.last(), m.Index-1)
		n.send(reply)
		return
	}
	from := max(m.Index, n.snap.Index)
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
	n.send(reply)
}

func (n *Node) install(m Message) {
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index > n.commit {
		if n.term(s.Index) == s.Term && s.Index <= n.last() {
			n.commit = s.Index // all of it is here
		} else {
			n.snap, n.entries, n.installed = *s, nil, s
			n.commit, n.applied, n.stored = s.Index, s.Index, s.Index
			n.findMembers()
		}
	}
	n.send(Message{Kind: AppendReply, To: m.From, Term: n.hard.Term, Round: m.Round, Index: max(n.commit, s.Index)})
}

func (n *Node) appended(m Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.active, p.quiet, p.heard, p.joint = true, 0, true, m.Joint
	p.round = max(p.round, min(m.Round, n.round))
	if m.Reject {
		if p.paused && p.next <= n.snap.Index {
			return // the answer to a heartbeat beside a snapshot that is on its way
		}
		p.paused = false
		p.next = max(p.match+1, min(p.next-1, m.Index+1))
		n.append(m.From, p, false)
		return
	}
	if m.Index >= p.out {
		p.paused = false
	}
	if m.Index > p.match && m.Index <= n.last() {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
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
	m.From, m.Joint = n.cfg.ID, m.Kind == AppendReply
	n.out = append(n.out, m)
}

// Ready returns what the host has to do. After doing it, it calls Advance.
func (n *Node) Ready() Ready {
	r := Ready{Snapshot: n.installed, Messages: n.out, Entries: n.after(n.stored, len(n.entries))}
	if n.hardDirty {
		h := n.hard
		r.Hard = &h
	}
	if n.commit > n.applied { // of what is stored with this Ready or was before
		r.Committed = n.after(n.applied, int(n.commit-n.applied))
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
	if r.Hard != nil {
		n.hardDirty = n.hard != *r.Hard
	}
	if r.Snapshot == n.installed {
		n.installed = nil
	}
	if k := len(r.Entries); k > 0 {
		if e := r.Entries[k-1]; n.term(e.Index) == e.Term {
			n.stored = max(n.stored, e.Index)
		}
	}
	if k := len(r.Committed); k > 0 {
		n.applied = max(n.applied, r.Committed[k-1].Index)
	}
	n.advance()
}
