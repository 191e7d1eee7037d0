package balancer

// Messages to peers: reports on what was admitted here, requests for levels and the responses
// to them. A level is the balance of a customer's bucket. Messages are paced so that no peer
// receives more than it can process.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// levelsRequestMs is the time from its start during which a limiter requests levels, in ms.
	levelsRequestMs = 2000.0
	// gossipShare is the share of the messages receivable by a limiter that its peers together
	// send it; the rest is a reserve for jitter.
	gossipShare = 0.9
	// The interval between two levels of a customer starts at the time in which a limiter can
	// receive levelIntervalMessages messages. It grows exponentially, with the coefficient
	// levelIntervalSteepness, in the rate of levels received beyond half of the fair rate, which
	// is gossipShare of what a limiter can receive.
	levelIntervalMessages  = 10.0
	levelIntervalSteepness = 4.0
)

// peer is the state of another limiter, and what is to be sent to it.
type peer struct {
	incarnation         uint32 // of its last report
	previousIncarnation uint32
	seq                 uint64      // of the last report sent to it
	responded           bool        // it has responded to the request for levels
	levelsSentAt        float64     // when its request for levels was last responded to
	due                 []*customer // customers to be reported in this tick
	grants              []peerEntry // grants to be sent in this tick
}

// exchangeWithPeers sends what is due: levels first, then grants, then reports to the peers in
// turn while there is credit.
func (l *Limiter) exchangeWithPeers(now float64) {
	fair := gossipShare * l.cfg.PeerMessagesPerSecond * tickIntervalMs / 1000 // fair rate, in messages per tick
	l.sendCredit = min(max(1, float64(len(l.peers)-1)), l.sendCredit+fair)
	l.paceLevels(fair)
	l.sendAggregatedLevels(now)
	l.sendGrants()
	l.collectDueReports()
	l.sendDueReports(now)
	l.unreported = slices.DeleteFunc(l.unreported, func(c *customer) bool {
		c.unreported = slices.ContainsFunc(c.reportsTo, c.hasUnreported)
		return !c.unreported
	})
}

// paceLevels sets the interval between two levels of a customer. All limiters are sent equally
// many levels, so the levels received here show an aggregator whether it may send more often.
// Reports do not show it, as only aggregators receive them.
func (l *Limiter) paceLevels(fair float64) {
	l.receiveRate += (l.levelsReceived/fair - l.receiveRate) * tickIntervalMs / 1000
	l.levelsReceived = 0
	excess := max(0, l.receiveRate-0.5)
	l.levelInterval = 1000 * levelIntervalMessages / l.cfg.PeerMessagesPerSecond *
		math.Exp(levelIntervalSteepness*excess)
}

// sendGrants sends each peer the escrow granted to it.
func (l *Limiter) sendGrants() {
	for i := range l.peers {
		p := &l.peers[i]
		if len(p.grants) == 0 {
			continue
		}
		l.sendToRange(peerMessage{flags: flagLevelUpdate | flagEscrowGrant, entries: p.grants}, i, 1)
		l.sendCredit--
		p.grants = p.grants[:0]
	}
}

// collectDueReports lists the customers to report to each peer, the most urgent first.
func (l *Limiter) collectDueReports() {
	slices.SortStableFunc(l.unreported, func(a, b *customer) int {
		return cmp.Compare(b.reportPriority(), a.reportPriority())
	})
	for _, c := range l.unreported {
		for _, i := range c.reportsTo {
			if c.hasUnreported(i) {
				l.peers[i].due = append(l.peers[i].due, c)
			}
		}
	}
}

// sendDueReports sends reports while there is credit. The next tick continues with the peer
// after the last one served, so that no peer is skipped for long.
func (l *Limiter) sendDueReports(now float64) {
	for k, from := 0, l.nextPeer; k < len(l.peers); k++ {
		i := (from + k) % len(l.peers)
		if (len(l.peers[i].due) > 0 || l.requestsLevels(now, i)) && l.sendCredit >= 1 {
			l.sendCredit--
			l.nextPeer = i + 1
			l.sendReport(now, i)
		}
		l.peers[i].due = l.peers[i].due[:0]
	}
}

// requestsLevels reports whether this limiter, having just started, requests levels from a
// peer: one near it on the ring that has not responded yet.
func (l *Limiter) requestsLevels(now float64, i int) bool {
	distance := l.ringDistance(i)
	return now-l.startedAt < levelsRequestMs && !l.peers[i].responded && distance > 0 && distance <= maxDirectPeers/2
}

// sendReport sends a peer what has changed, the most urgent first. In small sets each figure is
// sent a second time, in case the first message is lost.
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
		if v.resend {
			e.newlySpent = e.spent - v.previouslySentSpent
		}
		m.entries = append(m.entries, e)
	}
	sent := l.sendToRange(m, i, 1)
	for k, c := range p.due[:sent] {
		v := c.peerView(i)
		v.resend = m.entries[k].spent != v.sentSpent && !c.usesAggregators()
		v.previouslySentSpent, v.sentSpent, v.sentInFlight = v.sentSpent, m.entries[k].spent, c.inFlight
	}
}

// hasUnreported reports whether there is something to report to a peer.
func (c *customer) hasUnreported(i int) bool {
	v := c.peerView(i)
	return v.resend || c.spentSteps(v.sentSpent) != v.sentSpent || c.inFlight != v.sentInFlight && c.limitsInFlight
}

// reportPriority is the ratio of the units of the last request admitted to the balance.
func (c *customer) reportPriority() float64 { return (c.lastUnits + 1) / max(1, c.balance) }

// entryFor returns the report on a customer to a peer whose last report said sentSpent.
func (l *Limiter) entryFor(now float64, c *customer, sentSpent uint64) peerEntry {
	l.refill(now, c)
	spent := c.spentSteps(sentSpent)
	return peerEntry{
		customer:     c.id,
		plan:         uint64(c.plan),
		limiterCount: uint64(c.limiterCount),
		firstLimiter: uint64(c.firstLimiter),
		spent:        spent,
		newlySpent:   spent - sentSpent,
		level:        int64(math.Floor((c.balance + c.withheldBurst) * unitScale)),
		margin:       uint64(c.margin * unitScale),
		inFlight:     uint64(c.inFlight),
	}
}

// sendToRange sends a message to n consecutive limiters, except this one, and returns how many
// of its entries fitted in.
func (l *Limiter) sendToRange(m peerMessage, first, n int) (entries int) {
	data, entries := m.encode()
	for j := range n {
		if i := (first + j) % len(l.peers); i != l.cfg.Position {
			l.emit(SendPeer{To: i, Data: data})
		}
	}
	return entries
}

// markUnreported adds a customer to those with something to report.
func (l *Limiter) markUnreported(c *customer) {
	if !c.unreported && l.cfg.Caps.Peers {
		c.unreported = true
		l.unreported = append(l.unreported, c)
	}
}

// ringDistance is the distance between this limiter and another one on the ring of positions.
func (l *Limiter) ringDistance(i int) int {
	d := i - l.cfg.Position
	return min(max(d, -d), l.cfg.Balancers-max(d, -d))
}

// sendLevelsResponse sends a limiter that has just started the levels that it needs, in as many
// messages as necessary.
func (l *Limiter) sendLevelsResponse(now float64, to int) {
	m := peerMessage{flags: flagLevelUpdate | flagLevelsResponse, ageMs: uint64(now - l.startedAt)}
	for _, c := range l.customerList {
		l.refill(now, c)
		if l.sendsLevelOf(c, to) {
			m.entries = append(m.entries, l.entryFor(now, c, 0))
		}
	}
	for {
		sent := l.sendToRange(m, to, 1)
		if sent == len(m.entries) {
			return
		}
		m.entries = m.entries[sent:]
	}
}

// sendsLevelOf reports whether a starting limiter is sent a customer's level. In small sets it
// is sent every level below the burst. In large or unknown sets only its neighbors on the ring
// send it levels, and only low ones, as they have mostly the same customers.
func (l *Limiter) sendsLevelOf(c *customer, to int) bool {
	burst := l.cfg.Plans[c.plan].Burst
	below := burst - c.balance - c.withheldBurst
	if c.usesAggregators() || c.limiterCount == 0 {
		return l.ringDistance(to) == 1 && below > (1-lowLevelShare)*burst && below > 0
	}
	return slices.Contains(c.reportsTo, to) && below > 0
}
