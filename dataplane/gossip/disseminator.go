package gossip

import (
	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// Disseminator decides which peers are sent a message, when, and with what content. It belongs
// to one incarnation of a limiter. It is not safe for concurrent use.
//
// Its send rate does not grow with the fleet: the number of recipients
// ([Disseminator.SetPeers]) and the size of a message ([MaxMessageSize]) are bounded, and in a
// large fleet the [Budget] applies.
type Disseminator struct {
	self        quota.Member
	incarnation uint64
	startedAt   float64
	budget      Budget

	// Set by SetPeers.
	fleetSize    FleetSize
	recipients   []*recipient // ordered by id
	announcement startAnnouncement

	// Stale connections: idle ones that servers closed without notice.
	staleIdleGroup uint8   // the lowest recent idle group; 0: none
	staleUntil     float64 // time until which staleIdleGroup is reported

	// Budget accounting.
	lastTickAt float64
	creditMs   float64 // unused budget, in milliseconds of sending; negative: overdrawn

	// State of the current tick. The slices are reused, so that an idle tick does not allocate.
	ownUsage   []quota.Usage    // this limiter's
	groupUsage []quota.Usage    // its group's
	hints      []balance.Hint   // of all servers with an update
	demand     []balance.Demand // for all services
	due        []*recipient
	sentUsage  []quota.Usage // backing array of the message's usage
	message    Message       // its header fields are those that were sent last
}

// SendFunc sends a message to the limiter whose name has this hash. The message is only valid
// during the call.
type SendFunc func(to uint64, m *Message)

// NewDisseminator returns the disseminator of a limiter that starts now. It has no peers until
// [Disseminator.SetPeers] is called.
func NewDisseminator(now float64, self quota.Member, incarnation uint64, b Budget) *Disseminator {
	return &Disseminator{self: self, incarnation: incarnation, startedAt: now, budget: b}
}

// Recipients returns the number of limiters that messages are sent to.
func (d *Disseminator) Recipients() int { return len(d.recipients) }

// ReportStaleConnection makes the messages of the next staleReportMs report that a server had
// closed an idle connection without notice. Of several reports, the lowest idle group is sent
// (see [Message.StaleIdleGroup]).
func (d *Disseminator) ReportStaleConnection(now float64, idleGroup int) {
	if d.staleIdleGroup == 0 || now > d.staleUntil || uint8(idleGroup) < d.staleIdleGroup {
		d.staleIdleGroup = uint8(idleGroup)
	}
	d.staleUntil = now + staleReportMs
}

// scheduleFullUsage marks a recipient that has just started, so that the next message to it carries the usage of all
// active tenants.
func (d *Disseminator) scheduleFullUsage(id uint64) {
	for _, r := range d.recipients {
		if r.ID == id {
			r.needsFullUsage = true
		}
	}
}

// Tick collects updates from the quotas and servers, and calls send for each message that is
// due.
func (d *Disseminator) Tick(now float64, quotas *quota.Enforcer, servers *balance.Set, send SendFunc) {
	digest := d.collect(now, quotas, servers)
	headerChanged := d.updateHeader(now, quotas)
	for _, r := range d.recipients {
		d.addHints(r, servers)
		if r.needsFullUsage && (r.groupMember || r.receivesDigest) {
			r.addUsage(quotas.UsageSnapshot(now, !r.groupMember, nil))
		}
		r.needsFullUsage = false
		r.addTickUsage(d.ownUsage, digest.Consumed)
		d.schedule(now, r, headerChanged)
	}
	d.sendAnnouncements(now, send)
	d.sendDue(now, digest, send)
}

// collect gathers the changes since the last tick. It returns the digest of this limiter's
// group; its level is 0 if the fleet has no groups.
func (d *Disseminator) collect(now float64, quotas *quota.Enforcer, servers *balance.Set) quota.Digest {
	d.ownUsage = quotas.ReportUsage(now, d.ownUsage[:0])
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

// updateHeader sets the fields that all messages have in common. It reports whether peers must
// be notified of a change of them immediately: quota shares depend on the live sets, and
// until peers know that servers close idle connections, each of them may lose a request.
func (d *Disseminator) updateHeader(now float64, quotas *quota.Enforcer) (changed bool) {
	liveSet := quotas.LiveSet(now)
	if now > d.staleUntil {
		d.staleIdleGroup = 0
	}
	m := &d.message
	changed = liveSet != m.LiveSet || d.staleIdleGroup != 0 && m.StaleIdleGroup == 0
	m.LiveSet, m.StaleIdleGroup = liveSet, d.staleIdleGroup
	return changed
}

// addHints queues the tick's hints for a recipient: all hints if it receives loads, only the
// significant ones if it is a group member of the same zone in a large fleet.
func (d *Disseminator) addHints(r *recipient, servers *balance.Set) {
	significantOnly := !r.receivesLoads
	receivesSignificant := d.fleetSize >= LargeFleet && r.sameZone && r.groupMember
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
		r.hasLocalHints = r.hasLocalHints || servers.ZoneOf(h.Server) == r.Zone
	}
}

// addTickUsage queues the tick's usage: this limiter's own usage for members of its group, the
// group's usage for limiters of other groups. Usage from the backup reporter is never urgent.
func (r *recipient) addTickUsage(own, group []quota.Usage) {
	switch {
	case r.groupMember:
		r.addUsage(own)
	case r.receivesDigest:
		r.addUsage(group)
		if r.backupReporter {
			r.usageDueWithinMs = 0
		}
	}
}

// fill moves a recipient's pending updates into the message. Updates that do not fit stay
// queued for the next message.
func (d *Disseminator) fill(now float64, r *recipient, digest quota.Digest) *Message {
	r.sentAt, r.hasLocalHints, r.usageDueWithinMs, r.hasFailureHints = now, false, 0, false
	m := &d.message
	m.From, m.Incarnation, m.AgeMs = d.self.ID, d.incarnation, now-d.startedAt
	m.Hints = r.takeHints(m.Hints[:0])
	m.Demand = m.Demand[:0]
	if r.sameZone && (d.fleetSize < VeryLargeFleet || now-r.demandSentAt >= veryLargeDemandMs) {
		m.Demand = append(m.Demand, d.demand...)
		r.demandSentAt = now
	}
	d.sentUsage = r.takeUsage(now, d.sentUsage[:0])
	if !r.receivesDigest {
		m.Consumed, m.GroupDigest = d.sentUsage, quota.Digest{}
		return m
	}
	m.Consumed, m.GroupDigest = nil, digest
	m.GroupDigest.Primary, m.GroupDigest.Consumed = !r.backupReporter, d.sentUsage
	return m
}
