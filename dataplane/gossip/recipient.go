package gossip

import (
	"cmp"
	"slices"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// recipient is a limiter that messages are sent to, with the updates that are pending for it.
type recipient struct {
	quota.Member

	// Set by [Disseminator.SetPeers].
	sameZone       bool
	groupMember    bool // in this limiter's group ([quota.Group]): is sent this limiter's usage
	receivesDigest bool // in another group: is sent the usage of this limiter's group
	backupReporter bool // this limiter is the backup reporter to it, and reports less often
	receivesLoads  bool // is sent the loads of servers

	// Pending updates.
	needsFullUsage   bool           // it has just started and must be sent the usage of all active tenants
	hints            []balance.Hint // the newest hint of each server, ordered by server
	usage            []quota.Usage  // the newest usage of each tenant, the longest pending first
	hasLocalHints    bool           // some hints are about servers of the recipient's zone
	hasFailureHints  bool           // some hints are failures
	usageDueWithinMs float64        // time within which the usage of urgent tenants is due (quota.Usage); 0: none

	// Times of the last messages.
	sentAt       float64 // any message
	reportedAt   float64 // message with usage, by a backup reporter
	demandSentAt float64 // message with demand

	// Set by schedule.
	mandatory bool // a message is sent at this tick even if the budget is exhausted
}

// copyState carries over the state that the same limiter had before a change of peers.
func (r *recipient) copyState(previous *recipient) {
	r.sentAt, r.reportedAt, r.demandSentAt = previous.sentAt, previous.reportedAt, previous.demandSentAt
	r.needsFullUsage = previous.needsFullUsage
	if previous.groupMember == r.groupMember { // else pending usage is of the other kind, own or group
		r.usage, r.hints = previous.usage, previous.hints
	}
}

// addHint queues a hint. It replaces the pending hint of the same server, except that the
// pending latency or failure is kept if the new hint has none.
func (r *recipient) addHint(h balance.Hint) {
	r.hasFailureHints = r.hasFailureHints || h.Latency == balance.LatencyFailed
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

// addUsage queues the usage of tenants. Usage is cumulative, so it replaces the pending usage
// of the same tenant. A tenant keeps its position in the queue, so that tenants with constant
// updates do not starve the others.
func (r *recipient) addUsage(usage []quota.Usage) {
	for _, u := range usage {
		if u.DueWithinMs > 0 && (r.usageDueWithinMs == 0 || u.DueWithinMs < r.usageDueWithinMs) {
			r.usageDueWithinMs = u.DueWithinMs
		}
		sameTenant := func(pending quota.Usage) bool { return pending.Tenant == u.Tenant }
		if i := slices.IndexFunc(r.usage, sameTenant); i >= 0 {
			r.usage[i] = u
		} else {
			r.usage = append(r.usage, u)
		}
	}
}

// takeHints moves as many hints to out as fit into one message.
func (r *recipient) takeHints(out []balance.Hint) []balance.Hint {
	n := min(len(r.hints), maxHints)
	out = append(out, r.hints[:n]...)
	r.hints = slices.Delete(r.hints, 0, n)
	return out
}

// takeUsage moves as much usage to out as fits into one message. A backup reporter takes none
// until backupReportIntervalMs after its last report.
func (r *recipient) takeUsage(now float64, out []quota.Usage) []quota.Usage {
	if r.backupReporter {
		if now-r.reportedAt < backupReportIntervalMs {
			return out
		}
		r.reportedAt = now
	}
	n := min(len(r.usage), maxTenants)
	out = append(out, r.usage[:n]...)
	r.usage = slices.Delete(r.usage, 0, n)
	return out
}
