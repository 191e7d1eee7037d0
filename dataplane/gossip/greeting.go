package gossip

import "example.org/elmspan/dataplane/quota"

// A limiter that has just started is reported to by limiters of other groups that it sends nothing itself. They learn
// of its start by a greeting, and report where their sums begin: without that it would take the first sum that it
// receives for the beginning, and leave out the units that came with it.
const (
	// greetingMs is how long after its start a limiter greets those that report to it, as it learns of them.
	greetingMs = 1500.0
	// greetingPauseMs is the time between the first greeting and the second one, against loss.
	greetingPauseMs = 100.0
	greetings       = 2
)

// greeting is what is left of greeting the limiters that report to this one.
type greeting struct {
	recipients []uint64
	wanted     bool // others have run for longer than this limiter
	left       int  // greetings
	sentAt     float64
}

// RecordPeerStart notes the age of a limiter of which a first message has come since its start: whether this limiter or the
// other one has to be introduced. Neither has where a fleet starts as a whole: there are no sums to report.
func (d *Disseminator) RecordPeerStart(now float64, from uint64, ageMs float64) {
	own := now - d.startedAt
	d.greeting.wanted = d.greeting.wanted || ageMs > own+quota.SeniorityMs
	if own > ageMs+quota.SeniorityMs {
		d.introduce(from)
	}
}

// greetReporters has the limiters of other groups that report to this one be greeted.
func (d *Disseminator) greetReporters(peers []quota.Member, level quota.GroupingLevel) {
	byGroup := map[quota.Group][]uint64{}
	for _, p := range peers {
		group := level.Group(p)
		byGroup[group] = append(byGroup[group], p.ID)
	}
	own := level.Group(d.self)
	d.greeting.recipients = d.greeting.recipients[:0]
	for _, p := range peers {
		group := level.Group(p)
		if group != own && reporterPlace(p.ID, byGroup[group], d.self.ID) <= reportersPerGroup {
			d.greeting.recipients = append(d.greeting.recipients, p.ID)
		}
	}
	d.greeting.left = greetings
}

// greet sends the greetings that are due.
func (d *Disseminator) greet(now float64, send SendFunc) {
	g := &d.greeting
	if !g.wanted || g.left == 0 || now-g.sentAt < greetingPauseMs || now-d.startedAt > greetingMs {
		return
	}
	g.left--
	g.sentAt = now
	m := Message{From: d.self.ID, Incarnation: d.incarnation, AgeMs: now - d.startedAt, LiveSet: d.message.LiveSet}
	for _, id := range g.recipients {
		send(id, &m)
	}
}
