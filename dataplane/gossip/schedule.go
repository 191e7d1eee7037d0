package gossip

import "example.org/elmspan/dataplane/balance"

// Intervals in milliseconds. Shorter intervals cost messages; with longer ones, quotas and the
// choice of servers work on older information.

// Intervals in a small fleet.
const (
	// TickMs is the time between two ticks, and thus between two messages to a limiter of the
	// same zone.
	TickMs = 6.0
	// crossZoneMs is the time between messages to a limiter of another zone about usage or
	// about servers of that zone.
	crossZoneMs = 30.0
	// thirdZoneMs is the time between messages to a limiter of another zone about servers
	// that are not in that zone.
	thirdZoneMs = 150.0
	// heartbeatMs is the maximum time between messages to a recipient: a third of
	// quota.LivenessTimeoutMs, so that two messages in a row may be lost.
	heartbeatMs = 150.0
)

// Intervals in a large and a very large fleet.
const (
	largeTickMs = 20.0
	// urgentIntervalMs is the minimum time between messages with server failures or with the
	// usage of urgent tenants (quota.Usage.DueWithinMs).
	urgentIntervalMs = 50.0
	// neighborHintMs is the minimum time between messages with loads to a neighbor in a large
	// fleet.
	neighborHintMs = 35.0
	// veryLargeHintMs is the minimum time between messages with loads to a neighbor in a very
	// large fleet.
	veryLargeHintMs = 150.0
	// largeHeartbeatMs is the maximum time between messages to a recipient that depends on
	// them for the liveness of this limiter: a third of quota.GroupedLivenessTimeoutMs.
	largeHeartbeatMs = 230.0
	// backupReportIntervalMs is the time between digests with usage from the backup reporter,
	// which are not used as long as those of the primary reporter are.
	backupReportIntervalMs = 900.0
	// veryLargeDemandMs is the time between messages with demand in a very large fleet, where
	// subsets of servers are recomputed at the same interval.
	veryLargeDemandMs = 500.0
)

// staleReportMs is the time for which a stale connection is reported after its detection.
const staleReportMs = 1000.0

// significantLatency is the lowest latency that is sent to group members other than neighbors
// in a large fleet, in sixteenths of the typical latency. A failure ([balance.LatencyFailed])
// is above it. Loads are not sent to these members: an outdated load is worse than none, because
// all limiters that are told that a server is idle choose it (docs/decisions/0005).
const significantLatency = 20

// TickMs returns the interval in milliseconds at which the host must call [Disseminator.Tick].
func (d *Disseminator) TickMs() float64 {
	if d.fleetSize >= LargeFleet {
		return largeTickMs
	}
	return TickMs
}

// heartbeatInterval returns the maximum time between two messages to a group member or a
// recipient of digests.
func (d *Disseminator) heartbeatInterval() float64 {
	if d.fleetSize >= LargeFleet {
		return largeHeartbeatMs
	}
	return heartbeatMs
}

// schedule adds a recipient to d.due if a message to it is due. headerChanged makes a message
// to each group member and each recipient of digests due immediately.
func (d *Disseminator) schedule(now float64, r *recipient, headerChanged bool) {
	since := now - r.sentAt
	urgent := r.usageDueWithinMs > 0 && since >= max(r.usageDueWithinMs, largeHeartbeatMs)
	r.mandatory = (r.groupMember || r.receivesDigest) && (since >= d.heartbeatInterval() || headerChanged || urgent)
	hasUpdates := len(r.hints)+len(r.usage) > 0
	if r.mandatory || hasUpdates && since >= d.minInterval(r) {
		d.due = append(d.due, r)
	}
}

// minInterval returns the minimum time between two messages to a recipient with pending
// updates.
func (d *Disseminator) minInterval(r *recipient) float64 {
	switch d.fleetSize {
	case VeryLargeFleet:
		return r.veryLargeMinInterval()
	case LargeFleet:
		return r.largeMinInterval()
	}
	switch {
	case r.sameZone && (len(r.hints) > 0 || r.groupMember):
		return 0
	case r.hasLocalHints, len(r.usage) > 0:
		return crossZoneMs
	}
	return thirdZoneMs
}

func (r *recipient) largeMinInterval() float64 {
	switch {
	case r.receivesLoads && len(r.hints) > 0:
		return neighborHintMs
	case r.hasFailureHints || r.usageDueWithinMs > 0:
		return urgentIntervalMs
	}
	return largeHeartbeatMs
}

// veryLargeMinInterval returns the shortest interval that any of the pending updates requires:
// usage that a quota depends on must not wait for the interval of loads (docs/incidents/0019).
func (r *recipient) veryLargeMinInterval() float64 {
	interval := largeHeartbeatMs
	if r.receivesLoads && len(r.hints) > 0 {
		interval = veryLargeHintMs
	}
	if r.hasFailureHints {
		interval = min(interval, urgentIntervalMs)
	}
	if r.usageDueWithinMs > 0 {
		interval = min(interval, r.usageDueWithinMs)
	}
	return interval
}

// significant returns the part of a hint that is sent to group members other than neighbors in
// a large fleet. It returns false if there is none.
func significant(h balance.Hint) (balance.Hint, bool) {
	if h.Latency < significantLatency {
		return h, false
	}
	h.InFlight = balance.InFlightUnknown
	return h, true
}
