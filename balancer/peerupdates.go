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

// heard takes in what a peer tells. Cumulative figures heal a lost message
// with the next one; a new mark shows that the peer began anew.
func (l *Limiter) handlePeerMessage(now float64, e PeerMessage) {
	m, ok := decodePeerMessage(e.Data)
	if !ok || e.From < 0 || e.From >= len(l.peers) || e.From == l.cfg.Position || !l.validMessage(&m) {
		return
	}
	p := &l.peers[e.From]
	switch {
	case m.flags&flagFailureHint != 0:
		for _, en := range m.entries {
			if s := l.servers[en.customer]; s != nil { // only what the own list has named
				l.recordFailure(now, s, int(en.plan))
			}
		}
		return
	case m.flags&flagEscrowGrant != 0:
		for _, en := range m.entries {
			l.applyGrant(now, e.From, en)
		}
		return
	case m.flags&flagLevelUpdate != 0:
		l.levelsReceived++
		if m.flags&flagLevelsResponse != 0 {
			p.answered = true
			l.neighborAnswered = l.neighborAnswered || l.ringDistance(e.From) == 1
			l.observePeerAge(now, &m)
		}
		for _, en := range m.entries {
			l.applyLevel(now, e.From, &m, en)
		}
		return
	case m.incarnation == p.previousIncarnation: // a late message of an incarnation that is gone
		return
	case m.incarnation != p.incarnation:
		p.previousIncarnation, p.incarnation = p.incarnation, m.incarnation
	}
	l.observePeerAge(now, &m)
	if m.flags&flagLevelsRequest != 0 && now >= p.answeredAt+4*tickIntervalMs {
		p.answeredAt = now
		l.sendLevelsResponse(now, e.From)
	}
	for _, en := range m.entries {
		l.applyReport(now, e.From, &m, en)
	}
}

// sound tells whether all that a message names can be.
func (l *Limiter) validMessage(m *peerMessage) bool {
	kinds := len(l.cfg.Plans)
	if m.flags&flagFailureHint != 0 {
		kinds = len(l.cfg.Classes)
	}
	for _, e := range m.entries {
		if e.plan >= uint64(kinds) || m.flags&flagLevelUpdate == 0 &&
			(e.spread < 1 || e.spread > uint64(len(l.peers)) || e.firstLimiter >= uint64(len(l.peers))) {
			return false
		}
	}
	return true
}

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
		// Of a peer known before, or younger than this gateway, all it has spent
		// falls into our time; of an older one only what is new with this message, and
		// so once customers have been forgotten here, which it may still know.
		first := v.incarnation == 0
		v.receivedSpent, v.incarnation, v.seq = 0, m.incarnation, 0
		if first && (older || l.evicted) {
			v.receivedSpent = en.spent - min(en.newlySpent, en.spent)
		}
	}
	if m.seq <= v.seq {
		return
	}
	v.seq, v.inFlight = m.seq, int(min(en.inFlight, uint64(l.cfg.Plans[c.plan].MaxInFlight)))
	if en.spent < v.receivedSpent { // the peer had forgotten the customer
		v.receivedSpent = 0
	}
	if units := float64(en.spent-v.receivedSpent) / unitScale; units > 0 {
		c.balance = bucket.Draw(c.balance, units, l.minLevel(c))
		c.decayRecentUnits(now)
		c.recentUnits += min(units, l.cfg.Plans[c.plan].Burst)
		c.seenAt = now
		l.recordEscrowSpending(c, from, units)
	}
	v.receivedSpent = en.spent
	if c.isAggregator && older && !c.levelKnown { // a keeper that just started begins with what the teller believes
		c.setLevel(now, max(l.minLevel(c), min(l.cfg.Plans[c.plan].Burst, float64(en.level)/unitScale-c.spent)))
	}
}

// knows tells whether a peer's word on a customer is taken in.
func (l *Limiter) acceptsCustomer(id uint64) bool {
	return len(l.customers) < maxCustomersFromPeers || l.customers[id] != nil
}

// weighAge notes how old a peer is. One that starts does not know what was spent just
// before, and so begins with none of a ceiling's store. But where no peer is older and
// all near have answered, the whole fleet has just begun, and stores are full.
func (l *Limiter) observePeerAge(now float64, m *peerMessage) {
	l.olderPeerSeen = l.olderPeerSeen || float64(m.ageMs) > now-l.startedAt+olderPeerMs
	if l.newFleet || l.olderPeerSeen || now-l.startedAt > levelsRequestMs {
		return
	}
	answered := 0
	for i := range l.peers {
		if l.requestsLevels(now, i) {
			return
		} else if l.peers[i].answered {
			answered++
		}
	}
	if answered < minNewFleetAnswers {
		return
	}
	l.newFleet = true
	for _, c := range l.customerList {
		if burst := l.cfg.Plans[c.plan].HardBurst; c.spread > 0 {
			l.refill(now, c)
			for k := range c.escrow {
				c.escrow[k] = min(burst*c.escrowPart(), c.escrow[k]+(burst-c.initialHardBurst)*c.escrowPart())
			}
		}
	}
}
