package raft

// Step takes in a message of another member. Messages for other members, and those that no
// member sends, are ignored.
func (n *Node) Step(m Message) {
	if m.To != n.cfg.ID || m.From == n.cfg.ID || m.From == 0 || !m.isWellFormed() {
		return
	}
	switch {
	case m.Term > n.hardState.Term:
		if !n.handleNewerTerm(m) {
			return
		}
	case m.Term < n.hardState.Term:
		n.rejectOlderTerm(m)
		return
	}
	n.dispatch(m)
}

// handleNewerTerm adopts the term of a message from a newer one, if the message calls for
// that, and reports whether the message is to be handled.
func (n *Node) handleNewerTerm(m Message) bool {
	switch m.Kind {
	case PreVoteRequest: // names a term that has not begun
		return true
	case PreVoteReply:
		if m.Reject {
			n.adoptTerm(m.Term, 0)
		}
		return !m.Reject
	case VoteRequest:
		if n.hasActiveLeader() && !m.LeadershipTransfer {
			return false // a leader is alive: a member that came back must not unseat it (4.2.3)
		}
		n.adoptTerm(m.Term, 0)
	case AppendEntries, InstallSnapshot, SnapshotChunk:
		n.adoptTerm(m.Term, m.From)
	default:
		n.adoptTerm(m.Term, 0)
	}
	return true
}

// rejectOlderTerm sends the current term to the sender of a message of an older one, where
// the sender may take itself for the leader or for a candidate.
func (n *Node) rejectOlderTerm(m Message) {
	switch m.Kind {
	case AppendEntries, InstallSnapshot, SnapshotChunk:
		n.send(Message{
			Kind:   AppendEntriesReply,
			To:     m.From,
			Term:   n.hardState.Term,
			Index:  n.log.lastIndex(),
			Reject: true,
		})
	case PreVoteRequest:
		n.send(Message{Kind: PreVoteReply, To: m.From, Term: n.hardState.Term, Reject: true})
	}
}

// dispatch handles a message of the current term, or a pre-vote for a later one.
func (n *Node) dispatch(m Message) {
	switch m.Kind {
	case PreVoteRequest:
		n.handlePreVoteRequest(m)
	case VoteRequest:
		n.handleVoteRequest(m)
	case PreVoteReply, VoteReply:
		n.handleVoteReply(m)
	case TimeoutNow:
		n.handleTimeoutNow()
	case AppendEntries:
		n.acceptLeader(m.From)
		n.handleAppendEntries(m)
	case AppendEntriesReply:
		n.handleAppendEntriesReply(m)
	case InstallSnapshot:
		n.acceptLeader(m.From)
		n.installSnapshot(m)
	case SnapshotChunk:
		n.acceptLeader(m.From)
		n.handleSnapshotChunk(m)
	case SnapshotChunkReply:
		n.handleSnapshotChunkReply(m)
	case DurabilityLost:
		n.lostDurability = n.lostDurability || n.leader == m.From
	}
}

// acceptLeader follows the sender of a leader's message of the current term.
func (n *Node) acceptLeader(id ID) {
	if n.role != Follower || n.leader != id {
		n.becomeFollower(id)
	}
	n.electionElapsed, n.lastLeader, n.lastLeaderTicks = 0, id, 0
}
