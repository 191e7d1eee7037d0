package raft

const (
	// retransmitTicks is how long a leader waits for the acknowledgement of entries or
	// chunks before it sends them again, if they are small; see [retransmitAfter]. To send
	// entries again with each heartbeat would fill the memory of a leader whose link is
	// slow (docs/incidents/0006).
	retransmitTicks = 4
	// minLinkBytesPerTick is the speed of the slowest link that time-outs allow for, in
	// bytes in a tick of 50 ms: 1 Mbit/s.
	minLinkBytesPerTick = 6250
	// catchUpTimeoutTicks is how long a follower that receives a snapshot may send no reply
	// before the leader no longer keeps the log for it.
	catchUpTimeoutTicks = 60
)

// retransmitAfter is the time-out for a number of bytes in flight, in ticks: retransmitTicks,
// and what the bytes take on the slowest link.
func retransmitAfter(bytes int) int { return retransmitTicks + bytes/minLinkBytesPerTick }

// progress is what a leader knows of one follower.
type progress struct {
	// matchIndex is the highest entry known to be replicated there, and matchRound the
	// latest heartbeat round when it was last raised.
	matchIndex, matchRound uint64
	nextIndex              uint64 // of the first entry to send next
	acknowledgedRound      uint64 // the latest heartbeat round that it has answered
	recentlyActive         bool   // it has answered since the last quorum check
	responded              bool   // it has answered this leader at all
	supportsJoint          bool   // by its last answer it understands joint changes
	ticksSinceResponse     int

	// paused is set while entries are in flight: heartbeats carry none meanwhile.
	paused        bool
	inflightIndex uint64 // of the last entry in flight
	inflightBytes int    // size of the entries in flight
	inflightTicks int    // ticks since they were sent

	transfer *snapshotTransfer // nil: the follower needs no snapshot
	// catchingUp is set once a snapshot was sent, until the follower has
	// all that was committed since.
	catchingUp bool
}

// tick counts one tick of the leader, and gives up waiting for what is overdue.
func (p *progress) tick() {
	p.ticksSinceResponse++
	p.inflightTicks++
	if p.inflightTicks >= retransmitAfter(p.inflightBytes) {
		p.paused = false
	}
	if p.transfer != nil {
		p.transfer.tick()
	}
}

// acknowledge records an answer to a heartbeat round. latest is the last round that there
// was: a member can't answer a later one.
func (p *progress) acknowledge(round, latest uint64) {
	p.recentlyActive, p.ticksSinceResponse, p.responded = true, 0, true
	p.acknowledgedRound = max(p.acknowledgedRound, min(round, latest))
}

// sentEntries records that entries up to an index are in flight.
func (p *progress) sentEntries(lastIndex uint64, bytes int) {
	p.paused, p.inflightIndex, p.inflightBytes, p.inflightTicks = true, lastIndex, bytes, 0
}

// delaysCompaction reports whether the follower is alive and receives a snapshot, or has received one and
// not yet all that was committed since: the log must go on from that snapshot.
func (p *progress) delaysCompaction() bool {
	rejected := p.transfer != nil && p.transfer.rejections > 0
	return p.catchingUp && p.ticksSinceResponse < catchUpTimeoutTicks && !rejected
}

// syncProgress keeps one record for each other member, and drops those of former members.
func (n *Node) syncProgress() {
	for id := range n.progress {
		if findMember(n.members, id) == nil {
			delete(n.progress, id)
		}
	}
	for _, m := range n.members {
		if m.ID != n.cfg.ID && n.progress[m.ID] == nil {
			n.progress[m.ID] = &progress{nextIndex: n.log.lastIndex() + 1, recentlyActive: true}
		}
	}
}

// TicksSinceResponse returns for how many ticks a member has sent this leader no reply; 0 on
// other members, and of one that is not a member.
func (n *Node) TicksSinceResponse(id ID) int {
	if p := n.progress[id]; p != nil {
		return p.ticksSinceResponse
	}
	return 0
}

// CaughtUp reports whether a member has all that this leader has committed.
func (n *Node) CaughtUp(id ID) bool {
	p := n.progress[id]
	return p != nil && p.matchIndex >= n.log.committed
}

// PeerResponse reports whether a member has answered this leader, and whether it understands
// joint changes by what it said last.
func (n *Node) PeerResponse(id ID) (responded, supportsJoint bool) {
	if id == n.cfg.ID {
		return true, true
	}
	p := n.progress[id]
	return p != nil && p.responded, p != nil && p.supportsJoint
}

// ReportSendFailure notifies a leader that messages to a member, other than heartbeats, were not
// delivered: they may be sent again before their time-out.
func (n *Node) ReportSendFailure(id ID) {
	p := n.progress[id]
	if p == nil {
		return
	}
	p.paused = false
	if t := p.transfer; t != nil && t.pauseTicks == 0 {
		t.retransmit()
		t.timeouts = max(t.timeouts, 1)
	}
}
