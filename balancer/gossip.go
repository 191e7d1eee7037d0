package balancer

// This file sends messages to peers: reports on what passed here, requests for levels and
// the responses to them. Messages are paced so that no peer receives more than it can take.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// levelsRequestMs is how long a starting limiter requests levels from its peers, in ms.
	levelsRequestMs = 2000.0
	// gossipShare is the share that its peers use together of the messages that a limiter
	// takes in; the rest covers jitter.
	gossipShare = 0.9
	// The interval between two levels of a customer rises from the time in which
	// levelIntervalMessages messages are taken in, by this exponent of the messages received
	// above half of the fair number.
	levelIntervalMessages  = 10.0
	levelIntervalSteepness = 4.0
)

type peer struct {
	incarnation, previousIncarnation uint32
	seq                              uint64
	answered                         bool // has told us its levels
	answeredAt                       float64
	due                              []*customer // to be told with this tick
	grants                           []peerEntry
}

func (l *Limiter) exchangeWithPeers(now float64) {
	fair := gossipShare * l.cfg.PeerMessagesPerSecond * tickIntervalMs / 1000 // messages a tick
	l.sendCredit = min(max(1, float64(len(l.peers)-1)), l.sendCredit+fair)
	// Gateways are told about equally many levels: what comes in here tells a
	// keeper whether it may tell oftener. Reports, which keepers alone get, say nothing.
	l.receiveRate += (l.levelsReceived/fair - l.receiveRate) * tickIntervalMs / 1000
	l.levelsReceived = 0
	l.levelInterval = 1000 * levelIntervalMessages / l.cfg.PeerMessagesPerSecond * math.Exp(levelIntervalSteepness*max(0, l.receiveRate-0.5))
	l.sendAggregatedLevels(now)
	for i := range l.peers {
		if p := &l.peers[i]; len(p.grants) > 0 {
			l.sendToRange(peerMessage{flags: flagLevelUpdate | flagEscrowGrant, entries: p.grants}, i, 1)
			l.sendCredit--
			p.grants = p.grants[:0]
		}
	}
	slices.SortStableFunc(l.unreported, func(a, b *customer) int { return cmp.Compare(b.reportPriority(), a.reportPriority()) })
	for _, c := range l.unreported {
		for _, i := range c.reportsTo {
			if c.hasUnreported(i) {
				l.peers[i].due = append(l.peers[i].due, c)
			}
		}
	}
	for k, from := 0, l.nextPeer; k < len(l.peers); k++ {
		i := (from + k) % len(l.peers)
		if (len(l.peers[i].due) > 0 || l.requestsLevels(now, i)) && l.sendCredit >= 1 {
			l.sendCredit--
			l.nextPeer = i + 1
			l.sendReport(now, i)
		}
		l.peers[i].due = l.peers[i].due[:0]
	}
	l.unreported = slices.DeleteFunc(l.unreported, func(c *customer) bool {
		c.unreported = slices.ContainsFunc(c.reportsTo, c.hasUnreported)
		return !c.unreported
	})
}

// asks tells whether this gateway, just started, asks a peer near it for levels.
func (l *Limiter) requestsLevels(now float64, i int) bool {
	return now-l.startedAt < levelsRequestMs && !l.peers[i].answered && l.ringDistance(i) > 0 && l.ringDistance(i) <= maxDirectPeers/2
}

// tell sends a peer what has changed, most pressing first: what is untold
// against what is left. In small sets each figure is told once more, against loss.
func (l *Limiter) sendReport(now float64, i int) {
	p := &l.peers[i]
	p.seq++
	m := peerMessage{incarnation: l.incarnation, seq: p.seq, ageMs: uint64(now - l.startedAt)}
	if l.limitsInFlight {
		m.flags |= flagInFlight
	}
	if l.requestsLevels(now, i) {
		m.flags |= flagLevelsRequest
	}
	for _, c := range p.due {
		v := c.peerView(i)
		e := l.entryFor(now, c, v.sentSpent)
		if v.resend { // what the last message told may be lost
			e.newlySpent = e.spent - v.previouslySentSpent
		}
		m.entries = append(m.entries, e)
	}
	for k, c := range p.due[:l.sendToRange(m, i, 1)] {
		v := c.peerView(i)
		v.resend = m.entries[k].spent != v.sentSpent && !c.usesAggregators()
		v.previouslySentSpent, v.sentSpent, v.sentInFlight = v.sentSpent, m.entries[k].spent, c.inFlight
	}
}

// owes tells whether there is something to tell a peer.
func (c *customer) hasUnreported(i int) bool {
	v := c.peerView(i)
	return v.resend || c.spentSteps(v.sentSpent) != v.sentSpent || c.inFlight != v.sentInFlight && c.limitsInFlight
}

// press is how much spending of late weighs against what is left.
func (c *customer) reportPriority() float64 { return (c.lastUnits + 1) / max(1, c.balance) }

// entry is what is told of a customer to a peer that was told so much before.
func (l *Limiter) entryFor(now float64, c *customer, told uint64) peerEntry {
	l.refill(now, c)
	spent := c.spentSteps(told)
	return peerEntry{customer: c.id, plan: uint64(c.plan), spread: uint64(c.spread), firstLimiter: uint64(c.firstLimiter),
		spent: spent, newlySpent: spent - told, level: int64(math.Floor((c.balance + c.withheldBurst) * unitScale)),
		margin: uint64(c.margin * unitScale), inFlight: uint64(c.inFlight)}
}

// tellSet sends a message to n gateways in a row and returns how many of its
// entries went in.
func (l *Limiter) sendToRange(m peerMessage, first, n int) int {
	data, k := m.encode()
	for j := range n {
		if i := (first + j) % len(l.peers); i != l.cfg.Position {
			l.emit(SendPeer{To: i, Data: data})
		}
	}
	return k
}

// stir puts a customer on the list of those with something untold.
func (l *Limiter) markUnreported(c *customer) {
	if !c.unreported && l.cfg.Caps.Peers {
		c.unreported = true
		l.unreported = append(l.unreported, c)
	}
}

// apart is how many places lie between this gateway and another, either way round.
func (l *Limiter) ringDistance(i int) int {
	d := i - l.cfg.Position
	return min(max(d, -d), l.cfg.Balancers-max(d, -d))
}

// answer tells a gateway that just started of levels below full; in large sets
// its neighbours alone do, who have mostly the same customers.
func (l *Limiter) sendLevelsResponse(now float64, to int) {
	m := peerMessage{flags: flagLevelUpdate | flagLevelsResponse, ageMs: uint64(now - l.startedAt)}
	for _, c := range l.customerList {
		l.refill(now, c)
		below, told := l.cfg.Plans[c.plan].Burst-c.balance-c.withheldBurst, slices.Contains(c.reportsTo, to)
		if c.usesAggregators() || c.spread == 0 {
			told = l.ringDistance(to) == 1 && below > (1-lowLevelShare)*l.cfg.Plans[c.plan].Burst
		}
		if told && below > 0 {
			m.entries = append(m.entries, l.entryFor(now, c, 0))
		}
	}
	for n := 0; ; m.entries = m.entries[n:] {
		if n = l.sendToRange(m, to, 1); n == len(m.entries) {
			return
		}
	}
}
