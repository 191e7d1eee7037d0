package raft

// A linearizable read needs no log entry (dissertation 6.4). The host of a leader that has
// [Node.HasCommittedInTerm] remembers [Node.NextReadIndexRound] when the read arrives, calls
// [Node.BroadcastHeartbeat], and answers from its applied state once
// [Node.ConfirmedReadIndexRound] has reached that round in the same term: the member was then
// still the leader after the read arrived, so nothing newer was committed elsewhere before.

// NextReadIndexRound returns the heartbeat round that a majority must answer to confirm that
// this member leads now. Rounds are counted since the start of the process.
func (n *Node) NextReadIndexRound() uint64 { return n.heartbeatRound + 1 }

// ConfirmedReadIndexRound returns the latest heartbeat round that a majority has answered.
func (n *Node) ConfirmedReadIndexRound() uint64 {
	return n.quorumValue(n.members, n.heartbeatRound, func(p *progress) uint64 { return p.acknowledgedRound })
}

// HasCommittedInTerm reports whether this member leads and has committed an entry of its own term:
// all that was ever acknowledged to a client is then among its committed entries.
func (n *Node) HasCommittedInTerm() bool {
	return n.role == Leader && n.log.term(n.log.committed) == n.hardState.Term
}

// BroadcastHeartbeat makes a leader begin a heartbeat round now, without waiting for its time.
func (n *Node) BroadcastHeartbeat() {
	if n.role != Leader {
		return
	}
	n.heartbeatElapsed = 0
	n.heartbeatRound++
	n.broadcastAppend(true)
}
