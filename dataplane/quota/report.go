package quota

import "math"

// Thresholds and intervals of usage reports. A tenant is urgent if its bucket is low or if it has
// many unreported units.
const (
	lowBalance  = 0.5  // fraction of the burst: a bucket below it is low
	urgentUnits = 0.05 // fraction of the burst: a tenant with more unreported units is urgent
	// urgentFleetUnits is the same for all limiters together, assuming that each has as many
	// unreported units as this one.
	urgentFleetUnits       = 0.5
	urgentIntervalMs       = 60.0  // between reports of an urgent tenant
	relaxedIntervalMs      = 250.0 // between a limiter's reports of a tenant that is not urgent
	groupRelaxedIntervalMs = 700.0 // between a group's reports of a tenant that is not urgent
	// lowRepeatIntervalMs is the time between reports of a low bucket without new units. It must be
	// at most half of emptyReportHoldMs.
	lowRepeatIntervalMs = 500.0
)

// In a very large fleet, almost every unit of a small tenant is the only one that a limiter admits
// within a second. Reporting units immediately would take a message for each of them. The units
// that all limiters together may leave unreported are bounded by the tolerance of the operator's quota
// rule, slackUnits for any plan. A tenant that is requested at surgeFactor times its rate uses
// slackUnits within slackUnits / (surgeFactor x rate) seconds. Its reports may be
// delayed by that much more than those of a large tenant, half of it at each of the two hops: the
// limiter, and the reporter of its group (docs/decisions/0017).
const (
	// VeryLargeFleetPeers is the minimum number of peers in a very large fleet, where the report
	// interval of urgent tenants depends on their rates.
	VeryLargeFleetPeers = 96
	// surgeFactor is the highest expected request rate, as a multiple of the tenant's rate. Larger:
	// reports of small tenants take more messages. Smaller: a surge exceeds the quota before it is known.
	surgeFactor     = 10.0
	maxExtraDelayMs = 240.0 // upper bound of the additional delay at each hop
	// extraDelayStepMs is the tick of a large fleet. The additional delay is rounded down to whole
	// ticks, because a delay that ends between two ticks lasts until the later one.
	extraDelayStepMs = 20.0
)

// Limits of the usage that is reported to a limiter that has just started.
const (
	maxSnapshotTenants = 96 // as many as fit into two messages
	// snapshotMaxAgeWindows is the age of a tenant's last report up to which it counts, in windows of
	// the quota rule: one for the window itself, one for reports that were sent late.
	snapshotMaxAgeWindows = 2
)

// Usage is the usage report of one tenant. Units are cumulative, so that the next report makes up
// for a lost one.
type Usage struct {
	Tenant    uint64 // TenantID
	Units     uint64 // admitted since the sender's start
	FillLevel uint8  // of the bucket, in 255ths of the burst
	// DueWithinMs is the time within which peers should receive the report of an urgent tenant; 0:
	// the tenant is not urgent. It is not sent.
	DueWithinMs float64
}

// usageCounter is a monotonic count of units and the state of its reports.
type usageCounter struct {
	total      uint64 // since the start
	reported   uint64 // total at the last report
	reportedAt float64
	repeat     bool // the last report is due once more, in case it was lost
	lowRepeat  bool // a report is due because the bucket is low; it is not urgent
}

func (c *usageCounter) due() bool { return c.unitsDue() || c.lowRepeat }

// unitsDue reports whether a report is due because of admitted units, and not only because the
// bucket is low.
func (c *usageCounter) unitsDue() bool { return c.total != c.reported || c.repeat }

func (c *usageCounter) unreported() uint64 { return c.total - c.reported }

// report marks the total as reported and returns it.
func (c *usageCounter) report(now float64) uint64 {
	c.repeat = c.reported != c.total
	c.reported, c.reportedAt, c.lowRepeat = c.total, now, false
	return c.total
}

// ReportUsage appends to out the reports of this limiter's own usage that are due: those of tenants
// with unreported units, at shorter intervals if the tenant is urgent, and those of low buckets.
// Each total is reported twice, in case a message is lost.
func (e *Enforcer) ReportUsage(now float64, out []Usage) []Usage {
	e.forgetRemoved(now)
	for id, t := range e.unreported {
		if !t.admitted.due() && !e.repeatsLow(now, t, &t.admitted) {
			delete(e.unreported, id)
			continue
		}
		out = e.appendDue(now, out, id, t, &t.admitted, relaxedIntervalMs)
	}
	return out
}

// UsageSnapshot appends to out the usage to report to a limiter that has just started: the totals
// of this limiter, or of its group, for at most maxSnapshotTenants tenants in use. The recipient
// takes the first total that it receives as its baseline. Without the snapshot it would miss the
// units that come with the first regular report.
func (e *Enforcer) UsageSnapshot(now float64, ofGroup bool, out []Usage) []Usage {
	for id, t := range e.tenants {
		c := &t.admitted
		if ofGroup {
			c = &t.groupAdmitted
		}
		if len(out) >= maxSnapshotTenants {
			break
		}
		if t.plan.Rate <= 0 || c.total == 0 || now-c.reportedAt > snapshotMaxAgeWindows*e.windowMs {
			continue
		}
		e.refill(now, t)
		out = append(out, Usage{Tenant: id, Units: c.total, FillLevel: t.fillLevel(), DueWithinMs: urgentIntervalMs})
	}
	return out
}

// repeatsLow reports whether a tenant's report is repeated without new units because its bucket is
// low, and marks a report as due after lowRepeatIntervalMs. A limiter that starts while the bucket
// is low must receive the report (inherit.go).
func (e *Enforcer) repeatsLow(now float64, t *tenant, c *usageCounter) bool {
	e.refill(now, t)
	if t.plan.Rate <= 0 || t.balance >= lowBalance*t.plan.Burst {
		return false
	}
	c.lowRepeat = c.lowRepeat || now-c.reportedAt >= lowRepeatIntervalMs
	return true
}

// appendDue appends the report of a tenant's counter if it is due and its interval has passed. A
// tenant without a limit is not reported until it has one.
func (e *Enforcer) appendDue(
	now float64, out []Usage, id uint64, t *tenant, c *usageCounter, relaxedIntervalMs float64,
) []Usage {
	if t.plan.Rate <= 0 {
		return out
	}
	interval, urgent := e.reportInterval(now, t, c.unreported(), relaxedIntervalMs)
	urgent = urgent && c.unitsDue()
	if !c.due() || now-c.reportedAt < interval {
		return out
	}
	u := Usage{Tenant: id, Units: c.report(now), FillLevel: t.fillLevel()}
	if urgent {
		u.DueWithinMs = interval
	}
	return append(out, u)
}

// reportInterval returns the time between two reports of a tenant with the given number of
// unreported units, and whether the tenant is urgent. The interval is relaxedIntervalMs if it is
// not.
func (e *Enforcer) reportInterval(
	now float64, t *tenant, units uint64, relaxedIntervalMs float64,
) (intervalMs float64, urgent bool) {
	e.refill(now, t)
	urgentFrom := urgentUnits * t.plan.Burst
	if e.veryLargeFleet() {
		urgentFrom = max(1, urgentFrom) // a single unit is never urgent
	} else {
		urgentFrom = min(urgentFrom, max(1, urgentFleetUnits*t.plan.Burst/float64(len(e.peers)+1)))
	}
	if t.balance >= lowBalance*t.plan.Burst && float64(units) <= urgentFrom {
		return relaxedIntervalMs, false
	}
	if !e.veryLargeFleet() {
		return urgentIntervalMs, true
	}
	extraMs := min(maxExtraDelayMs, millisPerSecond*e.slackUnits/(2*surgeFactor*t.plan.Rate))
	return urgentIntervalMs + extraDelayStepMs*math.Floor(extraMs/extraDelayStepMs), true
}

func (e *Enforcer) veryLargeFleet() bool { return len(e.peers) >= VeryLargeFleetPeers }

// fillLevel returns the balance of the bucket as a [Usage.FillLevel].
func (t *tenant) fillLevel() uint8 {
	if t.plan.Burst <= 0 {
		return 0
	}
	return uint8(fullLevel * max(0, min(1, t.balance/t.plan.Burst)))
}
