package gossip

import (
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// Disseminator decides who is sent a message, when, and what is in it. One belongs to one
// start of a limiter; its host calls it from one goroutine at a time or under one lock.
//
// What it sends in a second doesn't grow with the fleet: the number of recipients is
// bounded ([Disseminator.SetPeers]), so is the size of a message ([MaxMessageSize]), and in a large
// fleet the [Budget] holds.
type Disseminator struct {
	self        quota.Member
	incarnation uint64
	startedAt   float64
	budget      Budget

	// Set by [Disseminator.SetPeers].
	regime     FleetSize
	recipients []*recipient // ordered by id
	greeting   greeting

	// Connections that servers had closed without a word.
	staleAge   uint8   // the lowest age of late; 0: none
	staleUntil float64 // reported until then

	// Of the budget.
	tickedAt float64 // time of the last tick
	savedMs  float64 // what is saved up, in its time; below 0: owed

	// Of the present tick. The slices are kept for the next one, so that a tick at rest
	// allocates nothing.
	usage      []quota.Usage    // this limiter's
	groupUsage []quota.Usage    // its group's
	hints      []balance.Hint   // of all servers with an update
	demand     []balance.Demand // for all services
	due        []*recipient
	sentUsage  []quota.Usage // backs the message's usage
	message    Message       // also says what was last sent in its head
}

// SendFunc sends a message to a limiter, by the hash of its name. The message is valid until
// it returns.
type SendFunc func(to uint64, m *Message)

// NewDisseminator returns the disseminator of a limiter that starts now, which has no peers yet.
func NewDisseminator(now float64, self quota.Member, incarnation uint64, b Budget) *Disseminator {
	return &Disseminator{self: self, incarnation: incarnation, startedAt: now, budget: b}
}

// Recipients is the number of limiters that messages are sent to.
func (d *Disseminator) Recipients() int { return len(d.recipients) }

// ReportStaleConnection has others notified that a server had closed a connection without a
// word. The age is in the unit of [Message.StaleAge]; the lowest one of late is sent.
func (d *Disseminator) ReportStaleConnection(now float64, age int) {
	if d.staleAge == 0 || now > d.staleUntil || uint8(age) < d.staleAge {
		d.staleAge = uint8(age)
	}
	d.staleUntil = now + staleReportMs
}

// introduce has a limiter that has just started be sent the usage of all tenants that are in use, with the next
// message.
func (d *Disseminator) introduce(id uint64) {
	for _, r := range d.recipients {
		if r.ID == id {
			r.introduce = true
		}
	}
}

// Tick collects the updates of quotas and servers and hands the messages that are
// due to send.
func (d *Disseminator) Tick(now float64, quotas *quota.Enforcer, servers *balance.Set, send SendFunc) {
	digest := d.collect(now, quotas, servers)
	changed := d.updateHead(now, quotas)
	for _, r := range d.recipients {
		d.addHints(r, servers)
		if r.introduce && (r.groupMember || r.reportedTo) {
			r.addUsage(quotas.Introduction(now, !r.groupMember, nil))
		}
		r.introduce = false
		r.addTickUsage(d.usage, digest.Consumed)
		d.schedule(now, r, changed)
	}
	d.greet(now, send)
	d.sendDue(now, digest, send)
}

// collect takes what has changed since the last tick. It returns the digest of this
// limiter's group; level 0: there are no groups.
func (d *Disseminator) collect(now float64, quotas *quota.Enforcer, servers *balance.Set) quota.Digest {
	d.usage = quotas.ReportUsage(now, d.usage[:0])
	d.hints = servers.DrainHints(d.hints[:0])
	servers.UpdateSubsets(now)
	d.demand = servers.Demands(now, d.demand[:0])
	if quotas.Level() == 0 {
		return quota.Digest{}
	}
	digest := quotas.ReportDigest(now, d.groupUsage[:0])
	d.groupUsage = digest.Consumed
	return digest
}

// updateHead sets what all messages have in common. It returns whether all must be sent at
// once: the shares of the quotas depend on who receives from whom, and until others know
// that servers close connections a request each may be lost.
func (d *Disseminator) updateHead(now float64, quotas *quota.Enforcer) (changed bool) {
	liveSet := quotas.LiveSet(now)
	if now > d.staleUntil {
		d.staleAge = 0
	}
	m := &d.message
	changed = liveSet != m.LiveSet || d.staleAge != 0 && m.StaleIdleGroup == 0
	m.LiveSet, m.StaleIdleGroup = liveSet, d.staleAge
	return changed
}

// addHints adds the tick's hints for a recipient: all of them where it is sent loads, the
// significant ones for members of the group in a large fleet.
func (d *Disseminator) addHints(r *recipient, servers *balance.Set) {
	significantOnly := !r.hinted
	receivesSignificant := d.regime >= LargeFleet && r.sameZone && r.groupMember
	if significantOnly && !receivesSignificant {
		return
	}
	for _, h := range d.hints {
		if significantOnly {
			var ok bool
			if h, ok = significant(h); !ok {
				continue
			}
		}
		r.addHint(h)
		r.hintsOfItsZone = r.hintsOfItsZone || servers.ZoneOf(h.Server) == r.Zone
	}
}

// addTickUsage adds the tick's usage: this limiter's for members of its group, the group's
// for those that it reports to. The second reporter's usage is never urgent.
func (r *recipient) addTickUsage(own, group []quota.Usage) {
	switch {
	case r.groupMember:
		r.addUsage(own)
	case r.reportedTo:
		r.addUsage(group)
		if r.secondReporter {
			r.urgentMs = 0
		}
	}
}

// fill puts a recipient's pending updates into the message; what has no room waits for the
// next one.
func (d *Disseminator) fill(now float64, r *recipient, digest quota.Digest) *Message {
	r.sentAt, r.hintsOfItsZone, r.urgentMs, r.failureHint = now, false, 0, false
	m := &d.message
	m.From, m.Incarnation, m.AgeMs = d.self.ID, d.incarnation, now-d.startedAt
	m.Hints = r.takeHints(m.Hints[:0])
	m.Demand = m.Demand[:0]
	if r.sameZone && (d.regime < VeryLargeFleet || now-r.demandSentAt >= veryLargeDemandMs) {
		m.Demand = append(m.Demand, d.demand...)
		r.demandSentAt = now
	}
	d.sentUsage = r.takeUsage(now, d.sentUsage[:0])
	if !r.reportedTo {
		m.Consumed, m.GroupDigest = d.sentUsage, quota.Digest{}
		return m
	}
	m.Consumed, m.GroupDigest = nil, digest
	m.GroupDigest.First, m.GroupDigest.Consumed = !r.secondReporter, d.sentUsage
	return m
}
