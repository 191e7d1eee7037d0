package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"example.org/elmspan/api"
)

// youngProcess is the age up to which a process counts as just started, in what is said of an exceeded quota.
const youngProcess = 10 * time.Second

// limitPeriod is a time in which a limit of a tenant may be in force.
type limitPeriod struct {
	revision    uint64 // of the configuration that had it last
	rate, burst float64
	// since the configuration was sent; until no limiter may go by it any more, 0: not known yet
	from, until time.Duration
}

// allowed is how many requests may run in a window under the limit.
func (p *limitPeriod) allowed() float64 {
	if p.rate <= 0 {
		return math.Inf(1)
	}
	return (p.rate*QuotaWindowS+p.burst)*(1+QuotaOvershoot) + QuotaSlack
}

// TrafficStarts notes that the clock runs from now on: what was noted before holds from the start.
func (l *Log) TrafficStarts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged = nil
	for _, periods := range l.limits {
		for i := range periods {
			periods[i].from = 0
		}
	}
	for _, m := range l.machines {
		m.started = []time.Duration{-youngProcess}
	}
}

// QuotasSent notes that a configuration is sent: each limit in it may be in force from now on.
func (l *Log) QuotasSent(revision uint64, tenants []api.Tenant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range tenants {
		l.addLimit(revision, &tenants[i])
	}
}

// addLimit begins a period, or goes on with one of the same limit. Called under the mutex.
func (l *Log) addLimit(revision uint64, t *api.Tenant) {
	periods := l.limits[t.Name]
	if n := len(periods); n > 0 {
		last := &periods[n-1]
		if last.until == 0 && last.rate == t.Rate && last.burst == t.Burst {
			last.revision = revision
			return
		}
	}
	l.limits[t.Name] = append(periods, limitPeriod{revision: revision, rate: t.Rate, burst: t.Burst, from: l.clock()})
}

// QuotasAcknowledged notes that a configuration is acknowledged now. Limits of other configurations that were sent
// before it bind until [ConfigApplyMs] later; where a machine is disturbed meanwhile, until its lease must have run
// out, [RevokeMs] after the acknowledgement.
func (l *Log) QuotasAcknowledged(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	for tenant := range l.limits {
		periods := l.limits[tenant]
		for i := range periods {
			if p := &periods[i]; p.until == 0 && p.revision != revision && p.from < now {
				p.until = now + RevokeMs*time.Millisecond
			}
		}
	}
	l.acknowledged = append(l.acknowledged, now)
}

// endLimits shortens the periods that ended with an acknowledgement after which all machines were in touch. Called
// under the mutex, at the end of the day.
func (l *Log) endLimits() {
	for _, at := range l.acknowledged {
		applied := at + ConfigApplyMs*time.Millisecond
		if !l.allInTouch(span{at, applied}) {
			continue
		}
		for _, periods := range l.limits {
			for i := range periods {
				if periods[i].until == at+RevokeMs*time.Millisecond {
					periods[i].until = applied
				}
			}
		}
	}
}

// allInTouch reports whether all machines were in touch for all of a span. Called under the mutex.
func (l *Log) allInTouch(s span) bool {
	for name := range l.machines {
		if !l.inTouch(name, s) {
			return false
		}
	}
	return true
}

// maxAllowed is the most of a tenant's requests that may run in a window: one that two limits reach into is judged
// by the higher one. Called under the mutex.
func (l *Log) maxAllowed(tenant string, window span) float64 {
	highest, limited := 0.0, false
	for i := range l.limits[tenant] {
		p := &l.limits[tenant][i]
		if p.from <= window.to && (p.until == 0 || p.until >= window.from) {
			highest, limited = max(highest, p.allowed()), true
		}
	}
	if !limited {
		return math.Inf(1)
	}
	return highest
}

// QuotaUse is how near a tenant has come to its quota: the window of [QuotaWindowS] that was nearest.
type QuotaUse struct {
	Tenant  string
	EndS    float64 // of the window, since the start of traffic
	Ran     int
	Allowed float64
	Detail  string // who admitted the requests of the window, and when
}

// Share is what has run, as a share of what is allowed.
func (u *QuotaUse) Share() float64 { return float64(u.Ran) / u.Allowed }

// tenantRun is the first run of an attempt.
type tenantRun struct {
	at, sent time.Duration
	machine  string
}

// checkQuotas checks the quotas of all tenants. Called under the mutex.
func (l *Log) checkQuotas() {
	l.endLimits()
	byTenant := map[string][]tenantRun{}
	for id, runs := range l.runs {
		attempt := l.sent[id]
		byTenant[attempt.Tenant] = append(byTenant[attempt.Tenant], tenantRun{runs[0].at, attempt.at, attempt.Machine})
	}
	for tenant, runs := range byTenant {
		slices.SortFunc(runs, func(a, b tenantRun) int { return cmp.Compare(a.at, b.at) })
		l.checkQuota(tenant, runs)
	}
	slices.SortFunc(l.quotaUse, func(a, b QuotaUse) int { return strings.Compare(a.Tenant, b.Tenant) })
}

// checkQuota checks a tenant's quota in each window that ends with a run. Called under the mutex.
func (l *Log) checkQuota(tenant string, runs []tenantRun) {
	const window = time.Duration(QuotaWindowS * float64(time.Second))
	nearest, oldest, nearestOldest := QuotaUse{Tenant: tenant, Allowed: math.Inf(1)}, 0, 0
	for newest := range runs {
		end := runs[newest].at
		for end-runs[oldest].at > window {
			oldest++
		}
		allowed := l.maxAllowed(tenant, span{end - window, end})
		use := QuotaUse{Tenant: tenant, EndS: end.Seconds(), Ran: newest - oldest + 1, Allowed: allowed}
		if use.Share() > nearest.Share() {
			nearest, nearestOldest = use, oldest
		}
	}
	if math.IsInf(nearest.Allowed, 1) {
		return
	}
	nearest.Detail = l.describeWindow(runs[nearestOldest : nearestOldest+nearest.Ran])
	l.quotaUse = append(l.quotaUse, nearest)
	if nearest.Share() > 1 {
		l.violation(ruleQuota, "%s ran %d requests in %v s up to %.1f s, %.0f are the most; %s",
			tenant, nearest.Ran, QuotaWindowS, nearest.EndS, nearest.Allowed, nearest.Detail)
	}
}

// describeWindow says who admitted the requests of a window: without it one can't see whether limiters forgot with a
// restart what had been used, or received it late. Called under the mutex.
func (l *Log) describeWindow(runs []tenantRun) string {
	machines, young := map[string]bool{}, map[string]bool{}
	byYoung, sentBefore := 0, 0
	var bySecond [int(QuotaWindowS) + 1]int
	for _, r := range runs {
		bySecond[int((r.at-runs[0].at).Seconds())]++
		machines[r.machine] = true
		if r.sent < runs[0].at {
			sentBefore++
		}
		if age, known := l.processAge(r.machine, r.at); known && age < youngProcess {
			young[r.machine] = true
			byYoung++
		}
	}
	return fmt.Sprintf("%d limiters admitted them, %d of these had started less than %v before and admitted %d; "+
		"%d were sent before the window; by second %v",
		len(machines), len(young), youngProcess, byYoung, sentBefore, bySecond)
}

// processAge is how long a machine's process had run at a time. Called under the mutex.
func (l *Log) processAge(machine string, at time.Duration) (age time.Duration, known bool) {
	m := l.machines[machine]
	if m == nil {
		return 0, false
	}
	for _, started := range m.started {
		if started <= at {
			age, known = at-started, true
		}
	}
	return age, known
}

// Started notes that a machine's process starts now.
func (l *Log) Started(machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.machine(machine)
	m.started = append(m.started, l.clock())
}
