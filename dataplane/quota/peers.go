package quota

import "math"

const (
	// LivenessTimeoutMs is how long a peer counts as live after a message from it. Limiters that
	// are suddenly partitioned admit units beyond their shares until then: a longer timeout means a
	// larger overshoot of the quota.
	LivenessTimeoutMs = 450.0
	// GroupedLivenessTimeoutMs is the liveness timeout in a fleet with groups, where messages are
	// less frequent.
	GroupedLivenessTimeoutMs = 700.0
	// ShareRetentionMs is how long the share of a removed member stays reserved. It is longer than
	// the member can keep running without updates from the control plane.
	ShareRetentionMs = 6000.0
	// newPeerMs is the age up to which a peer counts as just started when its first message is
	// received, so that all its units are drawn. Units that an older peer admitted before were
	// charged elsewhere.
	newPeerMs = 2000.0
)

// Member is a limiter of the fleet.
type Member struct {
	ID   uint64 // hash of its name
	Zone string
}

// peer is the state of another limiter. The fields about its messages keep their initial values for
// a peer in another group.
type peer struct {
	Member
	incarnation   uint64  // of the last message; 0: treat the next message as that of a new incarnation
	firstReceived float64 // time of the first message of this incarnation
	lastReceived  float64
	liveSet       uint32     // of the peer: the limiters that it receives from
	sameLiveSetAt float64    // when it last equalled this limiter's live set; at first, firstReceived
	removedAt     float64    // when it was removed; 0: it is a member
	usage         usageTable // reported by the peer
	lateness      lateness   // of the messages of this incarnation
}

// SetMembers replaces the list of the other limiters of the fleet. The share of a removed limiter
// stays reserved for ShareRetentionMs.
func (e *Enforcer) SetMembers(now float64, members []Member) {
	current := make(map[uint64]bool, len(members))
	for _, m := range members {
		current[m.ID] = true
		p := e.peers[m.ID]
		if p == nil {
			p = &peer{lastReceived: math.Inf(-1), sameLiveSetAt: math.Inf(-1)}
			e.peers[m.ID] = p
		}
		p.Member, p.removedAt = m, 0
	}
	for id, p := range e.peers {
		switch {
		case current[id]:
		case p.removedAt == 0:
			p.removedAt = max(now, 1) // 0 would mean that it is a member
		case now-p.removedAt > ShareRetentionMs:
			delete(e.peers, id)
		}
	}
	e.regroup(now)
	e.sharing.invalidate()
}

// sameGroup reports whether a limiter is in this limiter's group and therefore reports its own
// usage here.
func (e *Enforcer) sameGroup(m Member) bool { return e.level.Group(m) == e.level.Group(e.self) }

// live reports whether a message of a peer in this limiter's group was received within the liveness
// timeout.
func (e *Enforcer) live(now float64, p *peer) bool {
	return e.sameGroup(p.Member) && now-p.lastReceived <= e.livenessTimeout()
}

// livenessTimeout returns how long a peer or group counts as live after a message.
func (e *Enforcer) livenessTimeout() float64 {
	if e.level > 0 {
		return GroupedLivenessTimeoutMs
	}
	return LivenessTimeoutMs
}

// effectiveSendTime returns the time at which the sender of a message that is received now is known
// to have been live. After a process was suspended, its socket holds messages older than the
// liveness timeout, which do not show that their senders are still live.
func (e *Enforcer) effectiveSendTime(now, latenessMs float64) float64 {
	if latenessMs <= e.livenessTimeout() {
		return now
	}
	return now - latenessMs
}

// ReceiveUsage processes a message from a peer of this limiter's group: the sender's incarnation,
// age, live set and usage. Units of a sender with a different live set are not drawn, because it
// spends other shares. Messages from unknown senders and from other groups are ignored.
func (e *Enforcer) ReceiveUsage(
	now float64, from, incarnation uint64, ageMs float64, liveSet uint32, reported []Usage,
) {
	p := e.peers[from]
	if p == nil || !e.sameGroup(p.Member) {
		return
	}
	if p.incarnation != incarnation {
		p.incarnation, p.firstReceived, p.sameLiveSetAt = incarnation, now, now
		p.usage.clear()
		p.lateness = lateness{}
	}
	sentAt := e.effectiveSendTime(now, p.lateness.observe(now, ageMs))
	if now-p.lastReceived > e.livenessTimeout() || p.liveSet != liveSet {
		e.sharing.invalidate()
	}
	p.lastReceived, p.liveSet = max(p.lastReceived, sentAt), liveSet
	e.currentShare(now) // determines which peers share before any units are drawn
	for _, u := range reported {
		if t := e.tenants[u.Tenant]; t != nil {
			e.receiveTenantUsage(now, p, ageMs, t, u)
		}
	}
}

// receiveTenantUsage records the usage of one tenant that a peer reports, and draws the new units
// if the peer shares with this limiter.
func (e *Enforcer) receiveTenantUsage(now float64, p *peer, ageMs float64, t *tenant, u Usage) {
	e.inherit(now, t, ageMs, u.FillLevel)
	units, known := p.usage.update(t.row, u.Units)
	if !known && ranBefore(now, ageMs, p.firstReceived) {
		units = 0
	}
	if units == 0 {
		return
	}
	t.groupAdmitted.total += units
	e.groupUnreported[u.Tenant] = t
	if p.sharesWithSelf(now) {
		e.draw(now, t, units)
	}
}

// ranBefore reports whether a sender ran for more than newPeerMs before its first message was
// received. The units that it had admitted by then are not charged here.
func ranBefore(now, ageMs, firstReceived float64) bool { return ageMs > now-firstReceived+newPeerMs }
