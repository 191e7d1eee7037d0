package balancer

// The handling of messages from peers: reports, levels, grants and failure hints.

import (
	"example.org/elmspan/bucket"
)

const (
	// olderPeerMs is how much earlier than this limiter a peer must have started to show that
	// the fleet is not new, in ms.
	olderPeerMs = 1000.0
	// minNewFleetResponses is the number of responses, none of them from an older peer, from
	// which a limiter concludes that the whole fleet is new.
	minNewFleetResponses = 4
	// maxCustomersFromPeers is the number of known customers from which on messages from peers
	// create no new ones.
	maxCustomersFromPeers = 20000
)

// handlePeerMessage handles a message from a peer. A message with any invalid part is dropped
// as a whole.
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

// validMessage reports whether the plans, classes and limiters named in a message exist.
func (l *Limiter) validMessage(m *peerMessage) bool {
	count := len(l.cfg.Plans)
	if m.flags&flagFailureHint != 0 {
		count = len(l.cfg.Classes)
	}
	limiters := uint64(len(l.peers))
	for _, e := range m.entries {
		if e.plan >= uint64(count) {
			return false
		}
		isReport := m.flags&flagLevelUpdate == 0
		if isReport && (e.limiterCount < 1 || e.limiterCount > limiters || e.firstLimiter >= limiters) {
			return false
		}
	}
	return true
}

// applyFailureHints counts failures that a peer observed at known servers. An entry of a hint
// has the server in place of the customer and the class in place of the plan.
func (l *Limiter) applyFailureHints(now float64, m *peerMessage) {
	for _, en := range m.entries {
		if s := l.servers[en.customer]; s != nil {
			l.recordFailure(now, s, int(en.plan))
		}
	}
}

// applyLevels applies levels from an aggregator, or the response to a request for levels.
func (l *Limiter) applyLevels(now float64, from int, m *peerMessage) {
	l.levelsReceived++
	if m.flags&flagLevelsResponse != 0 {
		l.peers[from].responded = true
		l.neighborResponded = l.neighborResponded || l.ringDistance(from) == 1
		l.observePeerAge(now, m)
	}
	for _, en := range m.entries {
		l.applyLevel(now, from, m, en)
	}
}

// applyReports applies a peer's reports and responds to its request for levels. A late message
// of an earlier incarnation is dropped.
func (l *Limiter) applyReports(now float64, from int, m *peerMessage) {
	p := &l.peers[from]
	if m.incarnation == p.previousIncarnation {
		return
	}
	if m.incarnation != p.incarnation {
		p.previousIncarnation, p.incarnation = p.incarnation, m.incarnation
	}
	l.observePeerAge(now, m)
	if m.flags&flagLevelsRequest != 0 && now >= p.levelsSentAt+4*tickIntervalMs {
		p.levelsSentAt = now
		l.sendLevelsResponse(now, from)
	}
	for _, en := range m.entries {
		l.applyReport(now, from, m, en)
	}
}

// applyReport applies a peer's report on one customer. Its figures are cumulative, so that the
// next report makes up for a lost one.
func (l *Limiter) applyReport(now float64, from int, m *peerMessage, en peerEntry) {
	if !l.acceptsCustomer(en.customer) {
		return
	}
	c := l.getOrCreateCustomer(now, en.customer, int(en.plan), int(en.limiterCount))
	if c.limiterCount == 0 {
		l.assignLimiterSet(now, c, int(en.limiterCount), int(en.firstLimiter))
	}
	l.refill(now, c)
	v := c.peerView(from)
	older := float64(m.ageMs) > now-l.startedAt+levelsRequestMs
	if v.incarnation != m.incarnation {
		v.reset(m.incarnation, en, older || l.evicted)
	}
	if m.seq <= v.seq {
		return
	}
	v.seq, v.inFlight = m.seq, int(min(en.inFlight, uint64(l.cfg.Plans[c.plan].MaxInFlight)))
	l.applySpending(now, c, v, en.spent)
	// An aggregator that has just started adopts the level of an older peer.
	if c.isAggregator && older && !c.levelKnown {
		level := min(l.cfg.Plans[c.plan].Burst, float64(en.level)/unitScale-c.spent)
		c.setLevel(now, max(l.minLevel(c), level))
	}
}

// reset starts the view of a peer over, at the first report of an incarnation. If an earlier
// incarnation has reported on the customer, or if the peer is younger than this limiter, all
// that it has spent counts here. Of an older peer only what is new with its first report counts
// (newOnly). The same holds once customers have been evicted here, as the peer may have
// reported its earlier spending before.
func (v *peerView) reset(incarnation uint32, en peerEntry, newOnly bool) {
	first := v.incarnation == 0
	v.receivedSpent, v.incarnation, v.seq = 0, incarnation, 0
	if first && newOnly {
		v.receivedSpent = en.spent - min(en.newlySpent, en.spent)
	}
}

// applySpending subtracts from the balance what a peer has admitted since its last report. A
// figure below the last one shows that the peer has evicted the customer in between.
func (l *Limiter) applySpending(now float64, c *customer, v *peerView, spent uint64) {
	if spent < v.receivedSpent {
		v.receivedSpent = 0
	}
	if units := float64(spent-v.receivedSpent) / unitScale; units > 0 {
		c.balance = bucket.Draw(c.balance, units, l.minLevel(c))
		c.decayRecentUnits(now)
		c.recentUnits += min(units, l.cfg.Plans[c.plan].Burst)
		c.lastActiveAt = now
		l.recordEscrowSpending(c, v.peer, units)
	}
	v.receivedSpent = spent
}

// acceptsCustomer reports whether messages from peers about a customer are applied.
func (l *Limiter) acceptsCustomer(id uint64) bool {
	return len(l.customers) < maxCustomersFromPeers || l.customers[id] != nil
}

// observePeerAge records whether a peer is older than this limiter. A limiter that starts does
// not know what was spent just before, and so begins with an empty escrow. But if no peer is
// older and all near ones have responded, the whole fleet is new, and every escrow is full.
func (l *Limiter) observePeerAge(now float64, m *peerMessage) {
	l.olderPeerSeen = l.olderPeerSeen || float64(m.ageMs) > now-l.startedAt+olderPeerMs
	if l.newFleet || l.olderPeerSeen || now-l.startedAt > levelsRequestMs {
		return
	}
	responded := 0
	for i := range l.peers {
		if l.requestsLevels(now, i) {
			return
		}
		if l.peers[i].responded {
			responded++
		}
	}
	if responded < minNewFleetResponses {
		return
	}
	l.newFleet = true
	for _, c := range l.customerList {
		l.fillEscrow(now, c)
	}
}
