package gossip

import (
	"cmp"
	"slices"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// recipient is a limiter that messages are sent to, with the updates that it was not sent yet.
type recipient struct {
	quota.Member

	// Set once, by [Disseminator.SetPeers].
	sameZone       bool
	groupMember    bool // of this limiter's replica group: is sent this limiter's usage
	reportedTo     bool // of another group: is sent the usage of this limiter's group
	secondReporter bool // another limiter of the group reports first, so this one reports seldom
	hinted         bool // is sent loads of servers

	// Pending updates.
	introduce      bool           // it has just started and needs to know all usage
	hints          []balance.Hint // ordered by server, the newest of each
	usage          []quota.Usage  // the newest of each tenant, that first which waits longest
	hintsOfItsZone bool           // some hints are about servers of its zone
	failureHint    bool           // some hints are failures
	urgentMs       float64        // usage of tenants that have little left must be sent so soon; 0: none

	// Times of the last messages.
	sentAt       float64 // any
	reportedAt   float64 // with usage, by a second reporter
	demandSentAt float64 // with demand
	mandatory    bool    // at this tick: is sent a message whatever the budget
}

// inherit takes over the state of the same limiter before a change of peers.
func (r *recipient) inherit(previous *recipient) {
	r.sentAt, r.reportedAt, r.demandSentAt = previous.sentAt, previous.reportedAt, previous.demandSentAt
	r.introduce = previous.introduce
	if previous.groupMember == r.groupMember { // pending usage is of the same kind
		r.usage, r.hints = previous.usage, previous.hints
	}
}

// addHint adds the load of a server. The newest load stands for all before; the last
// latency or failure stays until there is another.
func (r *recipient) addHint(h balance.Hint) {
	r.failureHint = r.failureHint || h.Latency == balance.LatencyFailed
	i, found := slices.BinarySearchFunc(r.hints, h, func(a, b balance.Hint) int {
		return cmp.Compare(a.Server, b.Server)
	})
	if !found {
		r.hints = slices.Insert(r.hints, i, h)
		return
	}
	if h.Latency == 0 {
		h.Latency = r.hints[i].Latency
	}
	r.hints[i] = h
}

// addUsage adds the usage of tenants. It is cumulative, so the newest figure stands for all
// before. A tenant keeps its place: what waits longest is sent first, so that none waits
// without end behind others that always have updates.
func (r *recipient) addUsage(usage []quota.Usage) {
	for _, e := range usage {
		if e.DueWithinMs > 0 && (r.urgentMs == 0 || e.DueWithinMs < r.urgentMs) {
			r.urgentMs = e.DueWithinMs
		}
		sameTenant := func(waiting quota.Usage) bool { return waiting.Tenant == e.Tenant }
		if i := slices.IndexFunc(r.usage, sameTenant); i >= 0 {
			r.usage[i] = e
		} else {
			r.usage = append(r.usage, e)
		}
	}
}

// takeHints moves the hints that one message has room for to out.
func (r *recipient) takeHints(out []balance.Hint) []balance.Hint {
	n := min(len(r.hints), maxHints)
	out = append(out, r.hints[:n]...)
	r.hints = slices.Delete(r.hints, 0, n)
	return out
}

// takeUsage moves the usage that one message has room for to out. A second reporter takes
// none until secondReporterMs after the last time.
func (r *recipient) takeUsage(now float64, out []quota.Usage) []quota.Usage {
	if r.secondReporter {
		if now-r.reportedAt < secondReporterMs {
			return out
		}
		r.reportedAt = now
	}
	n := min(len(r.usage), maxTenants)
	out = append(out, r.usage[:n]...)
	r.usage = slices.Delete(r.usage, 0, n)
	return out
}
