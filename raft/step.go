package raft

// Step processes a message from another member. Messages addressed to other members and malformed
// messages are ignored.
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

// handleNewerTerm adopts the newer term of a message, if its kind requires that, and reports whether
// the message should be processed.
func (n *Node) handleNewerTerm(m Message) bool {
	switch m.Kind {
	case PreVoteRequest: // its term is a prospective one
		return true
	case PreVoteReply:
		if m.Reject {
			n.adoptTerm(m.Term, 0)
		}
		return !m.Reject
	case VoteRequest:
		if n.hasActiveLeader() && !m.LeadershipTransfer {
			return false // a rejoining member must not depose an active leader (4.2.3)
		}
		n.adoptTerm(m.Term, 0)
	case AppendEntries, InstallSnapshot, SnapshotChunk:
		n.adoptTerm(m.Term, m.From)
	default:
		n.adoptTerm(m.Term, 0)
	}
	return true
}

// rejectOlderTerm replies with the current term to a message of an older term, if its kind shows
// that the sender believes it is the leader or starts a pre-vote.
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

// dispatch handles a message of the current term, or a pre-vote message for a later term.
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

// acceptLeader makes this member a follower of a member that has sent it a message as the leader of
// the current term, and restarts the election timer.
func (n *Node) acceptLeader(id ID) {
	if n.role != Follower || n.leader != id {
		n.becomeFollower(id)
	}
	n.electionElapsed, n.lastLeader, n.lastLeaderTicks = 0, id, 0
}
