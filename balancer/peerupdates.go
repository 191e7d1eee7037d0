package balancer

// This file applies what peers send: reports, levels, grants and failure hints.

import (
	"example.org/elmspan/bucket"
)

const (
	// olderPeerMs is how much earlier a peer must have started to be older, in ms.
	olderPeerMs = 1000.0
	// minNewFleetAnswers is the number of answers, none of them by an older peer, from which
	// a limiter concludes that the whole fleet is new.
	minNewFleetAnswers = 4
	// maxCustomersFromPeers is the number of known customers from which on a peer's report
	// creates no new ones.
	maxCustomersFromPeers = 20000
)

// handlePeerMessage takes in a message of a peer. One that is not valid in all its parts is
// dropped whole.
func (l *Limiter) handlePeerMessage(now float64, e PeerMessage) {
	m, ok := decodePeerMessage(e.Data)
	if !ok || e.From < 0 || e.From >= len(l.peers) || e.From == l.cfg.Position || !l.validMessage(&m) {
		return
	}
	switch {
	case m.flags&flagFailureHint != 0:
		l.applyFailureHints(now, &m)
	case m.flags&flagEscrowGrant != 0:
		for _, en := range m.entries {
			l.applyGrant(now, e.From, en)
		}
	case m.flags&flagLevelUpdate != 0:
		l.applyLevels(now, e.From, &m)
	default:
		l.applyReports(now, e.From, &m)
	}
}

// validMessage reports whether the plans, classes and limiters that a message names exist.
func (l *Limiter) validMessage(m *peerMessage) bool {
	kinds := len(l.cfg.Plans)
	if m.flags&flagFailureHint != 0 {
		kinds = len(l.cfg.Classes)
	}
	limiters := uint64(len(l.peers))
	for _, e := range m.entries {
		if e.plan >= uint64(kinds) {
			return false
		}
		isReport := m.flags&flagLevelUpdate == 0
		if isReport && (e.spread < 1 || e.spread > limiters || e.firstLimiter >= limiters) {
			return false
		}
	}
	return true
}

// applyFailureHints counts failures that a peer observed at servers of the own list. The
// entries of a hint have the server in place of the customer and the class in place of the plan.
func (l *Limiter) applyFailureHints(now float64, m *peerMessage) {
	for _, en := range m.entries {
		if s := l.servers[en.customer]; s != nil {
			l.recordFailure(now, s, int(en.plan))
		}
	}
}

// applyLevels takes in levels from an aggregator, or the response to a request for levels.
func (l *Limiter) applyLevels(now float64, from int, m *peerMessage) {
	l.levelsReceived++
	if m.flags&flagLevelsResponse != 0 {
		l.peers[from].answered = true
		l.neighborAnswered = l.neighborAnswered || l.ringDistance(from) == 1
		l.observePeerAge(now, m)
	}
	for _, en := range m.entries {
		l.applyLevel(now, from, m, en)
	}
}

// applyReports takes in a peer's reports and answers its request for levels. A late message
// of a former incarnation is dropped.
func (l *Limiter) applyReports(now float64, from int, m *peerMessage) {
	p := &l.peers[from]
	if m.incarnation == p.previousIncarnation {
		return
	}
	if m.incarnation != p.incarnation {
		p.previousIncarnation, p.incarnation = p.incarnation, m.incarnation
	}
	l.observePeerAge(now, m)
	if m.flags&flagLevelsRequest != 0 && now >= p.answeredAt+4*tickIntervalMs {
		p.answeredAt = now
		l.sendLevelsResponse(now, from)
	}
	for _, en := range m.entries {
		l.applyReport(now, from, m, en)
	}
}

// applyReport takes in a peer's report on one customer. Its figures are cumulative, so that
// the next report makes up for a lost one.
func (l *Limiter) applyReport(now float64, from int, m *peerMessage, en peerEntry) {
	if !l.acceptsCustomer(en.customer) {
		return
	}
	c := l.lookupCustomer(now, en.customer, int(en.plan), int(en.spread))
	if c.spread == 0 {
		l.setMembership(now, c, int(en.spread), int(en.firstLimiter))
	}
	l.refill(now, c)
	v := c.peerView(from)
	older := float64(m.ageMs) > now-l.startedAt+levelsRequestMs
	if v.incarnation != m.incarnation {
		v.restart(m.incarnation, en, older || l.evicted)
	}
	if m.seq <= v.seq {
		return
	}
	v.seq, v.inFlight = m.seq, int(min(en.inFlight, uint64(l.cfg.Plans[c.plan].MaxInFlight)))
	l.applySpending(now, c, v, en.spent)
	if c.isAggregator && older && !c.levelKnown { // an aggregator that has just started takes the peer's level
		level := min(l.cfg.Plans[c.plan].Burst, float64(en.level)/unitScale-c.spent)
		c.setLevel(now, max(l.minLevel(c), level))
	}
}

// restart begins the view of a peer anew, at the first report of an incarnation. All that a
// known peer has spent since its restart, or a peer younger than this limiter, counts here. Of
// an older peer only what is new with this report counts (newOnly), and so after customers
// have been evicted here, which it may still know.
func (v *peerView) restart(incarnation uint32, en peerEntry, newOnly bool) {
	first := v.incarnation == 0
	v.receivedSpent, v.incarnation, v.seq = 0, incarnation, 0
	if first && newOnly {
		v.receivedSpent = en.spent - min(en.newlySpent, en.spent)
	}
}

// applySpending draws from the balance what a peer has admitted since its last report. A
// figure below the last one shows that the peer evicted the customer meanwhile.
func (l *Limiter) applySpending(now float64, c *customer, v *peerView, spent uint64) {
	if spent < v.receivedSpent {
		v.receivedSpent = 0
	}
	if units := float64(spent-v.receivedSpent) / unitScale; units > 0 {
		c.balance = bucket.Draw(c.balance, units, l.minLevel(c))
		c.decayRecentUnits(now)
		c.recentUnits += min(units, l.cfg.Plans[c.plan].Burst)
		c.seenAt = now
		l.recordEscrowSpending(c, v.peer, units)
	}
	v.receivedSpent = spent
}

// acceptsCustomer reports whether a peer's message on a customer is taken in.
func (l *Limiter) acceptsCustomer(id uint64) bool {
	return len(l.customers) < maxCustomersFromPeers || l.customers[id] != nil
}

// observePeerAge learns how long a peer has run. A limiter that starts does not know what was
// spent just before, and so begins with an empty escrow. But where no peer is older and all
// near ones have answered, the whole fleet is new, and every escrow is full.
func (l *Limiter) observePeerAge(now float64, m *peerMessage) {
	l.olderPeerSeen = l.olderPeerSeen || float64(m.ageMs) > now-l.startedAt+olderPeerMs
	if l.newFleet || l.olderPeerSeen || now-l.startedAt > levelsRequestMs {
		return
	}
	answered := 0
	for i := range l.peers {
		if l.requestsLevels(now, i) {
			return
		}
		if l.peers[i].answered {
			answered++
		}
	}
	if answered < minNewFleetAnswers {
		return
	}
	l.newFleet = true
	for _, c := range l.customerList {
		l.fillEscrow(now, c)
	}
}
