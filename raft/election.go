package raft

// campaignKind is how an election is begun.
type campaignKind uint8

const (
	// preVoteCampaign asks whether votes would be granted, and raises no term (9.6).
	preVoteCampaign campaignKind = iota
	// voteCampaign asks for votes in a new term.
	voteCampaign
	// transferCampaign does so at the request of the leader, which others do not protect (3.10).
	transferCampaign
)

// becomeFollower follows a leader, or waits for one if that is 0, and draws a new election
// time-out.
func (n *Node) becomeFollower(leader ID) {
	n.role, n.leader, n.votes, n.progress = Follower, leader, nil, nil
	n.resetElectionTimer()
}

// resetElectionTimer begins a new election time-out.
func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.cfg.ElectionTicks + n.random.IntN(max(1, n.cfg.ElectionTicks))
}

// adoptTerm moves on to a later term, and follows its leader if that is known.
func (n *Node) adoptTerm(term uint64, leader ID) {
	if term > n.hardState.Term {
		n.hardState, n.hardStateDirty = HardState{Term: term}, true
	}
	n.becomeFollower(leader)
}

// campaign begins an election, and asks the voters of all sets for their votes.
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

// countVotes ends an election once a majority of each set of voters has granted its votes, or
// so many of one set have rejected it that this can't come.
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

// becomeLeader begins to lead. The first entry of the term is empty: entries of earlier terms
// are committed by it (paper, 5.4.2).
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes, n.electionElapsed = Leader, n.cfg.ID, nil, 0
	n.progress = map[ID]*progress{}
	n.syncProgress()
	if p := n.progress[n.lastLeader]; p != nil {
		// The last leader has been unresponsive since before this election.
		p.ticksSinceResponse = n.lastLeaderTicks
	}
	last := n.log.lastIndex()
	n.replaceEntries(last, []Entry{{Index: last + 1, Term: n.hardState.Term}})
	n.maybeCommit()
	n.BroadcastHeartbeat()
}

// hasActiveLeader reports whether a message of a leader arrived within the minimum election time-out.
func (n *Node) hasActiveLeader() bool {
	return n.role == Leader || n.leader != 0 && n.electionElapsed < n.cfg.ElectionTicks
}

// handlePreVoteRequest answers a member whether it would get this one's vote. Where a leader is
// alive there is no answer, which is a rejection.
func (n *Node) handlePreVoteRequest(m Message) {
	if n.hasActiveLeader() {
		return
	}
	granted := n.log.isUpToDate(m.Index, m.LogTerm) && m.Term > n.hardState.Term
	if granted && n.role == Candidate && n.preVote {
		// Two pre-votes at once would split the votes: one of the two candidates waits.
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

// handleVoteRequest grants one vote a term, to a candidate whose log is up to date (3.4, 3.6.1).
func (n *Node) handleVoteRequest(m Message) {
	granted := (n.hardState.Vote == 0 || n.hardState.Vote == m.From) && n.leader == 0 &&
		n.log.isUpToDate(m.Index, m.LogTerm)
	if granted {
		n.hardState.Vote, n.hardStateDirty, n.electionElapsed = m.From, true, 0
	}
	n.send(Message{Kind: VoteReply, To: m.From, Term: n.hardState.Term, Reject: !granted})
}

// handleVoteReply counts the first answer of each voter in the election that is under way.
func (n *Node) handleVoteReply(m Message) {
	if n.role != Candidate || n.preVote != (m.Kind == PreVoteReply) {
		return
	}
	if _, answered := n.votes[m.From]; !answered {
		n.votes[m.From] = !m.Reject
		n.countVotes()
	}
}

// handleTimeoutNow begins an election at the request of the leader, without a pre-vote.
func (n *Node) handleTimeoutNow() {
	if n.NeededForQuorum() {
		n.campaign(transferCampaign)
	}
}

// TransferLeadership makes a leader that is about to stop ask the voter with the most complete
// log to begin an election (3.10). It does nothing if no live voter has the complete log.
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

// StepDown makes a leader give up leadership, as when its disk fails. Others do nothing.
func (n *Node) StepDown() {
	if n.role == Leader {
		n.becomeFollower(0)
	}
}
