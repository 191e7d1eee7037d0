package raft

const (
	// retransmitTicks is how long a leader waits for the acknowledgement of entries or
	// chunks before it retransmits them, apart from their transmission time; see
	// [retransmitAfter]. Resending entries with each heartbeat would fill the memory of a
	// leader with a slow link (docs/incidents/0006).
	retransmitTicks = 4
	// minLinkBytesPerTick is the speed of the slowest link that timeouts allow for: 1 Mbit/s,
	// in bytes per tick of 50 ms.
	minLinkBytesPerTick = 6250
	// catchUpTimeoutTicks is how long a follower that catches up from a snapshot may be silent
	// before the leader stops delaying compaction for it.
	catchUpTimeoutTicks = 60
)

// retransmitAfter returns the retransmission timeout for a number of bytes in flight, in ticks:
// retransmitTicks plus the transmission time on the slowest link.
func retransmitAfter(bytes int) int { return retransmitTicks + bytes/minLinkBytesPerTick }

// progress is the state of one follower as known to the leader.
type progress struct {
	// matchIndex is the highest index known to be replicated to the follower, and matchRound
	// the latest heartbeat round at the time matchIndex was last raised.
	matchIndex, matchRound uint64
	nextIndex              uint64 // index of the next entry to send
	acknowledgedRound      uint64 // the latest heartbeat round that the follower has replied to
	recentlyActive         bool   // it has replied since the last quorum check
	responded              bool   // it has replied to this leader at least once
	supportsJoint          bool   // it supports joint consensus, according to its last reply
	ticksSinceResponse     int

	// paused is set while entries are in flight. Heartbeats then carry no entries.
	paused        bool
	inflightIndex uint64 // index of the last entry in flight
	inflightBytes int    // size of the entries in flight
	inflightTicks int    // ticks since they were sent

	transfer *snapshotTransfer // nil: the follower needs no snapshot
	// catchingUp is set when a snapshot is sent, until the follower has every committed entry.
	catchingUp bool
}

// tick advances the timers of the follower by one tick, and ends the pause if the acknowledgement
// of the entries in flight is overdue.
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

// acknowledge records a reply to a heartbeat round. latest is the last round that was started, which
// bounds the round of any valid reply.
func (p *progress) acknowledge(round, latest uint64) {
	p.recentlyActive, p.ticksSinceResponse, p.responded = true, 0, true
	p.acknowledgedRound = max(p.acknowledgedRound, min(round, latest))
}

// sentEntries records that entries up to an index were sent and are in flight.
func (p *progress) sentEntries(lastIndex uint64, bytes int) {
	p.paused, p.inflightIndex, p.inflightBytes, p.inflightTicks = true, lastIndex, bytes, 0
}

// delaysCompaction reports whether the follower is responsive and is receiving a snapshot that it
// has not rejected, or has received one but not yet every committed entry since. The leader then
// keeps the entries after that snapshot.
func (p *progress) delaysCompaction() bool {
	rejected := p.transfer != nil && p.transfer.rejections > 0
	return p.catchingUp && p.ticksSinceResponse < catchUpTimeoutTicks && !rejected
}

// syncProgress creates a progress for each new member and deletes those of former members.
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

// TicksSinceResponse returns the number of ticks since a member last replied to this leader. Until its
// first reply, it returns the ticks since this leader was elected or the member was added; for the
// previous leader, those since its last message. It returns 0 if this member is not the leader, or if
// id is not another member.
func (n *Node) TicksSinceResponse(id ID) int {
	if p := n.progress[id]; p != nil {
		return p.ticksSinceResponse
	}
	return 0
}

// CaughtUp reports whether another member has every entry that this leader knows to be committed.
func (n *Node) CaughtUp(id ID) bool {
	p := n.progress[id]
	return p != nil && p.matchIndex >= n.log.committed
}

// PeerResponse reports whether a member has replied to this leader, and whether it supports joint
// consensus according to its last reply.
func (n *Node) PeerResponse(id ID) (responded, supportsJoint bool) {
	if id == n.cfg.ID {
		return true, true
	}
	p := n.progress[id]
	return p != nil && p.responded, p != nil && p.supportsJoint
}

// ReportSendFailure notifies a leader that messages to a member, other than heartbeats, were not
// delivered. The leader may then resend them before their retransmission timeout.
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
