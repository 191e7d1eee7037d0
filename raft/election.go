package raft

// campaignKind is the way in which an election is started.
type campaignKind uint8

const (
	// preVoteCampaign asks whether votes would be granted, without incrementing the term (9.6).
	preVoteCampaign campaignKind = iota
	// voteCampaign requests votes in a new term.
	voteCampaign
	// transferCampaign requests votes in a new term at the request of the leader. Other
	// members grant them although they still hear from that leader (3.10).
	transferCampaign
)

// becomeFollower makes this member a follower of a leader, 0 if none is known, and restarts the
// election timer.
func (n *Node) becomeFollower(leader ID) {
	n.role, n.leader, n.votes, n.progress = Follower, leader, nil, nil
	n.resetElectionTimer()
}

// resetElectionTimer restarts the election timer with a new random timeout.
func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.random.IntN(max(1, n.cfg.ElectionTicks))
}

// adoptTerm advances to a term, if it is later than the current one, and makes this member
// a follower of its leader, 0 if that is unknown.
func (n *Node) adoptTerm(term uint64, leader ID) {
	if term > n.hardState.Term {
		n.hardState, n.hardStateDirty = HardState{Term: term}, true
	}
	n.becomeFollower(leader)
}

// campaign starts an election and requests the votes of all voters, in a joint configuration
// those of both sets.
func (n *Node) campaign(kind campaignKind) {
	n.role, n.leader = Candidate, 0
	n.votes, n.preVote = map[ID]bool{n.cfg.ID: true}, kind == preVoteCampaign
	n.resetElectionTimer()
	request := Message{
		Kind:               PreVoteRequest,
		Term:               n.hardState.Term + 1,
		Index:              n.log.lastIndex(),
		LogTerm:            n.log.lastTerm(),
		LeadershipTransfer: kind == transferCampaign,
	}
	if kind != preVoteCampaign {
		request.Kind = VoteRequest
		n.hardState, n.hardStateDirty = HardState{Term: request.Term, Vote: n.cfg.ID}, true
	}
	for _, m := range n.members {
		if m.isVoter() && m.ID != n.cfg.ID {
			request.To = m.ID
			n.send(request)
		}
	}
	n.countVotes()
}

// countVotes ends the election once a majority of each voter set has granted its votes, or once
// so many voters of one set have rejected it that a majority of that set is impossible.
func (n *Node) countVotes() {
	won, lost := true, false
	for _, set := range voterSets(n.members) {
		granted, rejected := 0, 0
		for _, id := range set {
			switch vote, answered := n.votes[id]; {
			case !answered:
			case vote:
				granted++
			default:
				rejected++
			}
		}
		won = won && 2*granted > len(set)
		lost = lost || rejected > 0 && 2*rejected >= len(set)
	}
	switch {
	case won && n.preVote:
		n.campaign(voteCampaign)
	case won:
		n.becomeLeader()
	case lost:
		n.becomeFollower(0)
	}
}

// becomeLeader makes this member the leader. It appends an empty entry, because entries of earlier
// terms are committed only together with an entry of the current term (paper, 5.4.2).
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes, n.electionElapsed = Leader, n.cfg.ID, nil, 0
	n.progress = map[ID]*progress{}
	n.syncProgress()
	if p := n.progress[n.lastLeader]; p != nil {
		// The previous leader stopped responding before this election.
		p.ticksSinceResponse = n.lastLeaderTicks
	}
	last := n.log.lastIndex()
	n.replaceEntries(last, []Entry{{Index: last + 1, Term: n.hardState.Term}})
	n.maybeCommit()
	n.BroadcastHeartbeat()
}

// hasActiveLeader reports whether this member leads, or has heard from a leader within the minimum
// election timeout.
func (n *Node) hasActiveLeader() bool {
	return n.role == Leader || n.leader != 0 && n.electionElapsed < n.cfg.ElectionTicks
}

// handlePreVoteRequest tells a candidate whether it would get this member's vote. A member that
// hears from a leader does not reply, so the candidate does not get its vote.
func (n *Node) handlePreVoteRequest(m Message) {
	if n.hasActiveLeader() {
		return
	}
	granted := n.log.isUpToDate(m.Index, m.LogTerm) && m.Term > n.hardState.Term
	if granted && n.role == Candidate && n.preVote {
		// Two simultaneous pre-votes would split the vote, so one of the two candidates yields: the
		// one whose log is behind or, if the logs are equal, the one with the higher ID.
		granted = m.From < n.cfg.ID || m.Index > n.log.lastIndex() || m.LogTerm > n.log.lastTerm()
		if granted {
			n.becomeFollower(0)
		}
	}
	reply := Message{Kind: PreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = n.hardState.Term
	}
	n.send(reply)
}

// handleVoteRequest grants at most one vote per term, to a candidate whose log is at least as up to
// date as this member's (3.4, 3.6.1).
func (n *Node) handleVoteRequest(m Message) {
	granted := (n.hardState.Vote == 0 || n.hardState.Vote == m.From) && n.leader == 0 &&
		n.log.isUpToDate(m.Index, m.LogTerm)
	if granted {
		n.hardState.Vote, n.hardStateDirty, n.electionElapsed = m.From, true, 0
	}
	n.send(Message{Kind: VoteReply, To: m.From, Term: n.hardState.Term, Reject: !granted})
}

// handleVoteReply counts the first reply of each voter in the current election.
func (n *Node) handleVoteReply(m Message) {
	if n.role != Candidate || n.preVote != (m.Kind == PreVoteReply) {
		return
	}
	if _, answered := n.votes[m.From]; !answered {
		n.votes[m.From] = !m.Reject
		n.countVotes()
	}
}

// handleTimeoutNow starts an election at the request of the leader, without a pre-vote.
func (n *Node) handleTimeoutNow() {
	if n.NeededForQuorum() {
		n.campaign(transferCampaign)
	}
}

// TransferLeadership asks the responsive voter with the highest match index to start an election
// (3.10), for a leader that is about to stop. It does nothing if no responsive voter has the
// complete log.
func (n *Node) TransferLeadership() {
	if n.role != Leader {
		return
	}
	var target ID
	var highest uint64 // matchIndex of the target
	for _, m := range n.members {
		p := n.progress[m.ID]
		if !m.Voter || p == nil || p.ticksSinceResponse >= n.cfg.ElectionTicks {
			continue
		}
		if target == 0 || p.matchIndex > highest {
			target, highest = m.ID, p.matchIndex
		}
	}
	if target != 0 && highest == n.log.lastIndex() {
		n.send(Message{Kind: TimeoutNow, To: target, Term: n.hardState.Term})
	}
}

// StepDown makes a leader give up leadership, for example when its disk fails. It does nothing on
// other members.
func (n *Node) StepDown() {
	if n.role == Leader {
		n.becomeFollower(0)
	}
}
