package gossip

import "example.org/elmspan/dataplane/balance"

// Intervals in milliseconds. Shorter ones cost messages; longer ones leave quotas and
// choices of servers with older information.

// In a small fleet.
const (
	// TickMs is the time between two ticks, and so between two messages to a limiter of
	// the same zone.
	TickMs = 6.0
	// otherZoneMs is the time between messages to a limiter of another zone, about servers
	// of its zone or about usage.
	otherZoneMs = 30.0
	// thirdZoneMs is the time between messages to a limiter of another zone about servers
	// that are not in its zone.
	thirdZoneMs = 150.0
	// aliveMs is the longest time between messages that show that this limiter is alive: a
	// third of quota.LivenessTimeoutMs, so that two in a row may be lost.
	aliveMs = 150.0
)

// In a large and a very large fleet.
const (
	largeTickMs = 20.0
	// soonMs is the time between messages with failures of servers, and with the usage of
	// tenants that have little left.
	soonMs = 50.0
	// neighborHintMs is the time between messages with loads to a neighbor, in a large fleet.
	neighborHintMs = 35.0
	// veryLargeHintMs is the same in a very large fleet.
	veryLargeHintMs = 150.0
	// largeAliveMs is the longest time between messages that show that this limiter is
	// alive: a third of quota.GroupedLivenessTimeoutMs.
	largeAliveMs = 230.0
	// secondReporterMs is the time between group digests with usage from the second
	// reporter of a group, which counts only while the first one sends nothing.
	secondReporterMs = 900.0
	// veryLargeDemandMs is the time between messages with demand in a very large fleet.
	// Subsets of servers are computed as seldom.
	veryLargeDemandMs = 500.0
)

// staleReportMs is how long a stale connection is reported after it was seen.
const staleReportMs = 1000.0

// significantLatency is the least latency that is sent in a large fleet, in sixteenths of
// the typical one; failures are above it. Loads are not sent there: a load that arrives
// late is worse than none, as all who receive that a server is idle choose it
// (docs/decisions/0005).
const significantLatency = 20

// TickMs is how often the host is to call [Disseminator.Tick], in milliseconds.
func (d *Disseminator) TickMs() float64 {
	if d.regime >= LargeFleet {
		return largeTickMs
	}
	return TickMs
}

// aliveMs is the longest time between two messages to a limiter that counts on this one.
func (d *Disseminator) aliveMs() float64 {
	if d.regime >= LargeFleet {
		return largeAliveMs
	}
	return aliveMs
}

// schedule adds a recipient to those that are due, if it is. changed says that every
// message is to go out at once.
func (d *Disseminator) schedule(now float64, r *recipient, changed bool) {
	since := now - r.sentAt
	urgent := r.urgentMs > 0 && since >= max(r.urgentMs, largeAliveMs)
	r.mandatory = (r.groupMember || r.reportedTo) && (since >= d.aliveMs() || changed || urgent)
	hasUpdates := len(r.hints)+len(r.usage) > 0
	if r.mandatory || hasUpdates && since >= d.pause(r) {
		d.due = append(d.due, r)
	}
}

// pause is the least time between two messages to a recipient for which there are updates.
func (d *Disseminator) pause(r *recipient) float64 {
	switch d.regime {
	case VeryLargeFleet:
		return r.veryLargePause()
	case LargeFleet:
		return r.largePause()
	}
	switch {
	case r.sameZone && (len(r.hints) > 0 || r.groupMember):
		return 0
	case r.hintsOfItsZone, len(r.usage) > 0:
		return otherZoneMs
	}
	return thirdZoneMs
}

func (r *recipient) largePause() float64 {
	switch {
	case r.hinted && len(r.hints) > 0:
		return neighborHintMs
	case r.failureHint || r.urgentMs > 0:
		return soonMs
	}
	return largeAliveMs
}

// veryLargePause is the shortest pause that any of the updates asks for: what a quota needs
// must not wait for loads (docs/incidents/0019).
func (r *recipient) veryLargePause() float64 {
	pause := largeAliveMs
	if r.hinted && len(r.hints) > 0 {
		pause = veryLargeHintMs
	}
	if r.failureHint {
		pause = min(pause, soonMs)
	}
	if r.urgentMs > 0 {
		pause = min(pause, r.urgentMs)
	}
	return pause
}

// significant returns the part of a hint that goes to group members in a large fleet that
// are no neighbors, false for none.
func significant(h balance.Hint) (balance.Hint, bool) {
	if h.Latency < significantLatency {
		return h, false
	}
	h.InFlight = balance.InFlightUnknown
	return h, true
}
