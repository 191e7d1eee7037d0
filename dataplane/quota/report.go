package quota

import "math"

// How often usage is reported. A tenant whose bucket is low, or that has admitted much
// since its last report, is urgent.
const (
	lowBalance  = 0.5  // of the burst: a bucket below it is urgent
	urgentUnits = 0.05 // of the burst: a tenant with more unreported units is urgent
	// urgentFleetUnits is the same for all limiters together, if each has as many unreported units as this one.
	urgentFleetUnits = 0.5
	urgentMs         = 60.0  // between reports of an urgent tenant
	relaxedMs        = 250.0 // between a limiter's reports of another tenant
	groupRelaxedMs   = 700.0 // between a group's reports of another tenant
	// lowRepeatMs is the time between reports of a low bucket without new units: half of lowReportMs at most.
	lowRepeatMs = 500.0
)

// In a very large fleet, nearly every unit of a small tenant is the only one that a limiter
// admits in a second. Reported at once, each of them would be a message. What all limiters
// together may leave unreported for a moment is what the rule allows beyond the plan: a
// tenth of it, and slackUnits whatever the plan. Asked for at surgeFactor times its rate, a
// tenant comes to slackUnits in slackUnits / (surgeFactor x rate) seconds. Its reports may
// wait that much longer than those of a large tenant, half of the time at each of the two
// that pass them on: a limiter, and the reporter of its group (docs/decisions/0017).
const (
	// VeryLargeFleetPeers is the number of peers from which on reports wait by need.
	VeryLargeFleetPeers = 96
	slackUnits          = 20.0  // quota_slack of the rules
	surgeFactor         = 10.0  // times its rate that a tenant is asked for at the worst
	maxExtraWaitMs      = 240.0 // longer that a report waits at each of the two ...
	extraWaitStepMs     = 20.0  // ... in ticks of a large fleet: half a tick more would be half a tick late
)

// What is reported of usage to a limiter that has just started.
const (
	maxIntroduced   = 96       // tenants, two messages
	introducedAgeMs = 10_000.0 // since the last report: what a quota's window can reach, and a time to spare
)

// Usage is the report of one tenant's usage. Units are cumulative: the next report makes up
// for a lost one.
type Usage struct {
	Tenant    uint64 // TenantID
	Units     uint64 // admitted since the sender's start
	FillLevel uint8  // of the bucket, in 255ths of the burst
	// DueWithinMs is the time within which peers should receive the report, as the bucket is
	// low; 0: at leisure. It is not sent.
	DueWithinMs float64
}

// usageCounter is a count of units that only grows, and what has been reported of it.
type usageCounter struct {
	total      uint64 // since the start
	reported   uint64 // total at the last report
	reportedAt float64
	repeat     bool // the last report is due once more, against loss
	low        bool // it is due once more as the bucket is low, at leisure
}

func (c *usageCounter) due() bool { return c.urgent() || c.low }

// urgent reports whether a report is due by what was admitted, and not only as the bucket is low.
func (c *usageCounter) urgent() bool { return c.total != c.reported || c.repeat }

func (c *usageCounter) unreported() uint64 { return c.total - c.reported }

// report marks the total as reported and returns it.
func (c *usageCounter) report(now float64) uint64 {
	c.repeat = c.reported != c.total
	c.reported, c.reportedAt, c.low = c.total, now, false
	return c.total
}

// ReportUsage appends the reports of this limiter's own usage that are due now: tenants
// with unreported units, the more often the lower their buckets are. Each total is reported
// twice, against loss.
func (e *Enforcer) ReportUsage(now float64, out []Usage) []Usage {
	for id, t := range e.unreported {
		if !t.admitted.due() && !e.repeatsLow(now, t, &t.admitted) {
			delete(e.unreported, id)
			continue
		}
		out = e.appendDue(now, out, id, t, &t.admitted, relaxedMs)
	}
	return out
}

// UsageSnapshot is the usage to report to a limiter that has just started, appended to out: this limiter's totals, or
// its group's, of the tenants that are in use, maxIntroduced at most. Sums that it receives for the first time are
// where it begins to count: it would leave out the units that come with the first sum.
func (e *Enforcer) UsageSnapshot(now float64, ofGroup bool, out []Usage) []Usage {
	for id, t := range e.tenants {
		c := &t.admitted
		if ofGroup {
			c = &t.group
		}
		if len(out) >= maxIntroduced {
			break
		}
		if t.plan.Rate <= 0 || c.total == 0 || now-c.reportedAt > introducedAgeMs {
			continue
		}
		e.refill(now, t)
		out = append(out, Usage{Tenant: id, Units: c.total, FillLevel: t.fillLevel(), DueWithinMs: urgentMs})
	}
	return out
}

// repeatsLow reports whether the report of a tenant is repeated although there are no new units, and marks it as due:
// as long as the bucket is low, a limiter that has just started must receive it (inherit.go).
func (e *Enforcer) repeatsLow(now float64, t *tenant, c *usageCounter) bool {
	e.refill(now, t)
	if t.plan.Rate <= 0 || t.balance >= lowBalance*t.plan.Burst {
		return false
	}
	c.low = c.low || now-c.reportedAt >= lowRepeatMs
	return true
}

// appendDue appends the report of a tenant's counter if its interval has passed. A tenant
// without a limit is not reported until it has one.
func (e *Enforcer) appendDue(
	now float64, out []Usage, id uint64, t *tenant, c *usageCounter, relaxedMs float64,
) []Usage {
	if t.plan.Rate <= 0 {
		return out
	}
	interval, urgent := e.reportInterval(now, t, c.unreported(), relaxedMs)
	urgent = urgent && c.urgent()
	if !c.due() || now-c.reportedAt < interval {
		return out
	}
	u := Usage{Tenant: id, Units: c.report(now), FillLevel: t.fillLevel()}
	if urgent {
		u.DueWithinMs = interval
	}
	return append(out, u)
}

// reportInterval returns the time between two reports of a tenant with some unreported
// units: relaxedMs, unless the tenant is urgent.
func (e *Enforcer) reportInterval(
	now float64, t *tenant, units uint64, relaxedMs float64,
) (intervalMs float64, urgent bool) {
	e.refill(now, t)
	urgentFrom := urgentUnits * t.plan.Burst
	if e.veryLargeFleet() {
		urgentFrom = max(1, urgentFrom) // a single unit is never urgent
	} else {
		urgentFrom = min(urgentFrom, max(1, urgentFleetUnits*t.plan.Burst/float64(len(e.peers)+1)))
	}
	if t.balance >= lowBalance*t.plan.Burst && float64(units) <= urgentFrom {
		return relaxedMs, false
	}
	if !e.veryLargeFleet() {
		return urgentMs, true
	}
	extraMs := min(maxExtraWaitMs, millisPerSecond*slackUnits/(2*surgeFactor*t.plan.Rate))
	return urgentMs + extraWaitStepMs*math.Floor(extraMs/extraWaitStepMs), true
}

func (e *Enforcer) veryLargeFleet() bool { return len(e.peers) >= VeryLargeFleetPeers }

// fillLevel is the balance of a bucket as it is reported.
func (t *tenant) fillLevel() uint8 {
	if t.plan.Burst <= 0 {
		return 0
	}
	return uint8(fullLevel * max(0, min(1, t.balance/t.plan.Burst)))
}
