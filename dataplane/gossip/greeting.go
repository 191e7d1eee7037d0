package gossip

import "example.org/elmspan/dataplane/quota"

// Start announcements. A limiter that has just started receives digests from reporters of other groups to which it
// sends no messages itself. It announces its start to them, so that they send it the current totals of all active
// tenants. Without these, it would take the first total that it receives for a tenant as its baseline and not count the
// new units in it.
const (
	// announceWindowMs is the time after its start during which a limiter sends announcements. Until then it may learn
	// of further reporters.
	announceWindowMs = 1500.0
	// announceIntervalMs is the time between two announcements. They are repeated because datagrams may be lost.
	announceIntervalMs = 100.0
	announcementCount  = 2 // to each reporter after a change of the peers
)

// startAnnouncement is the state of the announcements to the limiters that report to this one.
type startAnnouncement struct {
	recipients []uint64
	needed     bool // a peer has been running for more than quota.SeniorityMs longer than this limiter
	remaining  int  // announcements that are left to send to each recipient
	sentAt     float64
}

// RecordPeerStart records the age of a peer when the first message of its current incarnation arrives. The age decides
// which of the two needs full usage: a much older peer makes this limiter announce its start, a much younger one is
// sent the full usage. If both started at about the same time, as when the whole fleet starts, neither is needed, as
// there are no totals to report.
func (d *Disseminator) RecordPeerStart(now float64, from uint64, peerAgeMs float64) {
	ownAgeMs := now - d.startedAt
	d.announcement.needed = d.announcement.needed || peerAgeMs > ownAgeMs+quota.SeniorityMs
	if ownAgeMs > peerAgeMs+quota.SeniorityMs {
		d.scheduleFullUsage(from)
	}
}

// scheduleAnnouncements makes the limiters of other groups that report to this one the recipients of announcements.
func (d *Disseminator) scheduleAnnouncements(peers []quota.Member, level quota.GroupingLevel) {
	byGroup := map[quota.Group][]uint64{}
	for _, p := range peers {
		group := level.Group(p)
		byGroup[group] = append(byGroup[group], p.ID)
	}
	ownGroup := level.Group(d.self)
	d.announcement.recipients = d.announcement.recipients[:0]
	for _, p := range peers {
		group := level.Group(p)
		if group != ownGroup && reporterRank(p.ID, byGroup[group], d.self.ID) <= reportersPerGroup {
			d.announcement.recipients = append(d.announcement.recipients, p.ID)
		}
	}
	d.announcement.remaining = announcementCount
}

// sendAnnouncements sends the announcements that are due.
func (d *Disseminator) sendAnnouncements(now float64, send SendFunc) {
	a := &d.announcement
	if !a.needed || a.remaining == 0 || now-a.sentAt < announceIntervalMs || now-d.startedAt > announceWindowMs {
		return
	}
	a.remaining--
	a.sentAt = now
	m := Message{From: d.self.ID, Incarnation: d.incarnation, AgeMs: now - d.startedAt, LiveSet: d.message.LiveSet}
	for _, id := range a.recipients {
		send(id, &m)
	}
}
