package quota

import "math"

const (
	// LivenessTimeoutMs is how long a peer counts as live after a message from it. What
	// limiters admit beyond their shares in that time, when they are partitioned all of a
	// sudden, is the most by which the sum can exceed the plan.
	LivenessTimeoutMs = 450.0
	// GroupedLivenessTimeoutMs is the same in a fleet that forms groups, where messages are
	// fewer.
	GroupedLivenessTimeoutMs = 700.0
	// ShareRetentionMs is how long the share of a removed member is kept back: longer than
	// the member could go on by itself without updates from the control plane.
	ShareRetentionMs = 6000.0
	// newPeerMs is the age up to which a peer that is first received from counts as just
	// started: all its units are drawn. What an older one admitted before was paid for
	// elsewhere.
	newPeerMs = 2000.0
)

// Member is a limiter of the fleet.
type Member struct {
	ID   uint64 // hash of its name
	Zone string
}

// peer is another limiter. Fields but the member are about its messages, and so stay at
// their initial values for a peer in another group.
type peer struct {
	Member
	incarnation   uint64  // which start of it sent the last message; 0: regard the next as a new one
	firstReceived float64 // time of the first message of this incarnation
	lastReceived  float64
	liveSet       uint32     // of the peer: whom it receives from
	sameLiveSetAt float64    // the last time when that equalled this limiter's live set
	removedAt     float64    // 0: it is a member
	usage         usageTable // reported by it
	lateness      lateness   // of the messages of this incarnation
}

// SetMembers replaces the list of the other limiters of the fleet. A limiter that is no
// longer a member keeps its share for ShareRetentionMs.
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

// sameGroup reports whether a limiter is in this limiter's group, and so reports for itself.
func (e *Enforcer) sameGroup(m Member) bool { return e.level.Group(m) == e.level.Group(e.self) }

// live reports whether this limiter receives a peer's own messages.
func (e *Enforcer) live(now float64, p *peer) bool {
	return e.sameGroup(p.Member) && now-p.lastReceived <= e.livenessTimeout()
}

// livenessTimeout is how long a peer or group counts as live after a message.
func (e *Enforcer) livenessTimeout() float64 {
	if e.level > 0 {
		return GroupedLivenessTimeoutMs
	}
	return LivenessTimeoutMs
}

// sentAt is the time from which a message that is received now shows that its sender is live. A process that stood
// still finds messages in its socket that are older than the time-out: those say nothing of the present.
func (e *Enforcer) sentAt(now, latenessMs float64) float64 {
	if latenessMs <= e.livenessTimeout() {
		return now
	}
	return now - latenessMs
}

// ReceiveUsage takes in a message from a peer of this limiter's group: the sender's
// incarnation and its age, its live set, and its usage. Units of a sender with another live
// set are not drawn: it spends shares of its own. A message of an unknown sender, or of
// one in another group, is ignored.
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
	sentAt := e.sentAt(now, p.lateness.observe(now, ageMs))
	if now-p.lastReceived > e.livenessTimeout() || p.liveSet != liveSet {
		e.sharing.invalidate()
	}
	p.lastReceived, p.liveSet = max(p.lastReceived, sentAt), liveSet
	e.currentShare(now) // decides who shares before any unit is drawn
	for _, u := range reported {
		if t := e.tenants[u.Tenant]; t != nil {
			e.receiveTenantUsage(now, p, ageMs, t, u)
		}
	}
}

func (e *Enforcer) receiveTenantUsage(now float64, p *peer, ageMs float64, t *tenant, u Usage) {
	e.inherit(now, t, ageMs, u.FillLevel)
	units, known := p.usage.update(t.row, u.Units)
	if !known && ranBefore(now, ageMs, p.firstReceived) {
		units = 0
	}
	if units == 0 {
		return
	}
	t.group.total += units
	e.groupUnreported[u.Tenant] = t
	if p.sharesWithSelf(now) {
		e.draw(now, t, units)
	}
}

// ranBefore reports whether a sender had run for some time before it was first received from:
// what it had admitted by then is not to be paid for here.
func ranBefore(now, ageMs, firstReceived float64) bool { return ageMs > now-firstReceived+newPeerMs }
