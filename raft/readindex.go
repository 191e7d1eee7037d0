package raft

// A linearizable read needs no log entry (dissertation 6.4). When a read arrives, the host of
// a leader for which [Node.HasCommittedInTerm] holds notes [Node.NextReadIndexRound] and calls
// [Node.BroadcastHeartbeat]. It answers the read from its applied state once
// [Node.ConfirmedReadIndexRound] has reached the noted round in the same term. This member was then
// still the leader after the read arrived, so no other leader had committed anything newer by then.

// NextReadIndexRound returns the heartbeat round that a majority must reply to in order to confirm
// that this member is the leader now. Rounds are counted from the start of the process.
func (n *Node) NextReadIndexRound() uint64 { return n.heartbeatRound + 1 }

// ConfirmedReadIndexRound returns the latest heartbeat round that a majority has replied to.
func (n *Node) ConfirmedReadIndexRound() uint64 {
	return n.quorumValue(n.members, n.heartbeatRound, func(p *progress) uint64 { return p.acknowledgedRound })
}

// HasCommittedInTerm reports whether this member leads and has committed an entry of its own term.
// Its committed entries then include everything that was ever acknowledged to a client.
func (n *Node) HasCommittedInTerm() bool {
	return n.role == Leader && n.log.term(n.log.committed) == n.hardState.Term
}

// BroadcastHeartbeat makes a leader start a heartbeat round immediately.
func (n *Node) BroadcastHeartbeat() {
	if n.role != Leader {
		return
	}
	n.heartbeatElapsed = 0
	n.heartbeatRound++
	n.broadcastAppend(true)
}
