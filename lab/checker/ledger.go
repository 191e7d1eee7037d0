// Package checker checks a day by the system's rules, from what the day's own
// parties saw: clients, servers, platform and operator. It knows nothing of how
// the system works. Emulator and simulation share it.
package checker

import (
	"fmt"
	"hash/crc32"
	"maps"
	"slices"
	"sync"
	"time"

	"example.org/elmspan/lab/scenario"
)

// Figures of the rules, as in the settings that the processes get.
const (
	DrainMs        = 3000
	ConfigApplyMs  = 3000
	RevokeMs       = 5000
	QuotaWindowS   = 5.0
	QuotaOvershoot = 0.1
	QuotaSlack     = 20.0
	maxViolations  = 20
)

// Log is what the parties saw. Times are since the start of traffic.
type Log struct {
	clock func() time.Duration

	mu         sync.Mutex
	sent       map[string]*Attempt
	runs       map[string][]Run
	arrivals   map[string]int       // times that it came to a server, run or not
	retries    map[string][]float64 // by service, when one came that was no first one
	firsts     map[string][]float64
	budget     scenario.RetryBudget
	draining   map[string]time.Duration // since when the list shows a member as draining or gone
	revoked    map[string]time.Duration // keys, since the acknowledgement
	quotas     map[string]quota
	violations []string
	counts     map[string]int // of broken rules
}

type quota struct{ rate, burst float64 }

// Attempt is one try of a client.
type Attempt struct {
	Class  *scenario.Class
	Tenant string
	Key    string
	Body   uint32 // checksum of what was sent
	at     time.Duration
	status int // 0: none
}

// Run is one run of a request at a server.
type Run struct {
	Service, Member, Tenant string
	Body                    uint32
	at                      time.Duration
}

// New returns an empty ledger on a clock that runs from the start of traffic.
func New(budget scenario.RetryBudget, clock func() time.Duration) *Log {
	return &Log{clock: clock, budget: budget, sent: map[string]*Attempt{}, runs: map[string][]Run{}, arrivals: map[string]int{},
		retries: map[string][]float64{}, firsts: map[string][]float64{}, draining: map[string]time.Duration{},
		revoked: map[string]time.Duration{}, quotas: map[string]quota{}, counts: map[string]int{}}
}

// Violation notes a broken rule that a party saw itself.
func (l *Log) Violation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violation(rule, format, args...)
}

// Draining notes that the platform shows a server as draining from now on.
func (l *Log) Draining(member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining[member] = l.clock()
}

// Revoked notes that the loss of a key is acknowledged from now on.
func (l *Log) Revoked(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[key] = l.clock()
}

// Quota notes what a tenant may have.
func (l *Log) Quota(tenant string, rate, burst float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quotas[tenant] = quota{rate, burst}
}

// violation notes a broken rule. Called under the mutex.
func (l *Log) violation(rule, format string, args ...any) {
	l.counts[rule]++
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, fmt.Sprintf("%.3f s %s: %s", l.clock().Seconds(), rule, fmt.Sprintf(format, args...)))
	}
}

// Sent notes that a client sends a try.
func (l *Log) Sent(id string, s *Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.at = l.clock()
	l.sent[id] = s
}

// Arrived notes that a request came to a server, whether it runs or not.
func (l *Log) Arrived(id, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.clock().Seconds()
	if l.arrivals[id]++; l.arrivals[id] == 1 {
		l.firsts[service] = append(l.firsts[service], at)
	} else {
		l.retries[service] = append(l.retries[service], at)
	}
}

// Ran notes that a server runs a request, and checks what it got.
func (l *Log) Ran(id string, r Run, sawKey bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.at = l.clock()
	s := l.sent[id]
	switch {
	case s == nil:
		l.violation("UNASKED", "%s ran %q, which no client sent", r.Member, id)
		return
	case s.Tenant != r.Tenant || sawKey:
		l.violation("UNASKED", "%s was told the tenant %q for %q, or the key", r.Member, r.Tenant, s.Tenant)
	case s.Body != r.Body:
		l.violation("UNASKED", "%s got another body with %s", r.Member, id)
	case s.Class.Service != r.Service:
		l.violation("ROUTE", "%s ran at %s, %s is its service", id, r.Service, s.Class.Service)
	}
	if at, ok := l.draining[r.Member]; ok && r.at-at > DrainMs*time.Millisecond {
		l.violation("DRAIN", "%s got %s %v after it was shown as draining", r.Member, id, r.at-at)
	}
	if at, ok := l.revoked[s.Key]; ok && s.at-at > RevokeMs*time.Millisecond {
		l.violation("CONFIG", "%s ran with a key that was taken away %v before", id, s.at-at)
	}
	l.runs[id] = append(l.runs[id], r)
	if n := len(l.runs[id]); n > 1 && !s.Class.Idempotent() {
		l.violation("TWICE", "%s (%s) ran %d times", id, s.Class.Name, n)
	}
}

// Answered notes what a client got.
func (l *Log) Answered(id string, status int, seal string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sent[id]
	s.status = status
	ok := slices.ContainsFunc(l.runs[id], func(r Run) bool { return seal == Seal(r.Member, id, body) })
	if status/100 == 2 && !ok {
		l.violation("MIXED", "%s got a success with the seal %q and %d bytes that no run of it gave", id, seal, len(body))
	}
}

// Finish checks what can only be told at the end.
func (l *Log) Finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	byTenant := map[string][]float64{}
	for id, rs := range l.runs {
		s := l.sent[id]
		if s.status != 0 && !s.Class.Idempotent() && (s.status == 429 || s.status == 503 || s.status == 408 || s.status == 421) {
			l.violation("REFUSED", "%s was answered %d and has run", id, s.status)
		}
		byTenant[s.Tenant] = append(byTenant[s.Tenant], rs[0].at.Seconds())
	}
	for t, at := range byTenant {
		q := l.quotas[t]
		if q.rate <= 0 {
			continue
		}
		slices.Sort(at)
		most := (q.rate*QuotaWindowS+q.burst)*(1+QuotaOvershoot) + QuotaSlack
		for i, j := 0, 0; i < len(at); i++ {
			for at[i]-at[j] > QuotaWindowS {
				j++
			}
			if n := float64(i - j + 1); n > most {
				l.violation("QUOTA", "%s ran %.0f requests in %v s up to %.1f s, %.0f are the most", t, n, QuotaWindowS, at[i], most)
				break
			}
		}
	}
	l.checkRetryBudgets()
}

// checkRetryBudgets checks the further tries of each service in each window.
func (l *Log) checkRetryBudgets() {
	b := l.budget
	if b.Ratio <= 0 {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(l.retries)) {
		more, firsts := l.retries[service], l.firsts[service]
		from, i, j := 0, 0, 0
		for k, at := range more { // times grow
			for more[from] < at-b.WindowS {
				from++
			}
			for i < len(firsts) && firsts[i] < at-b.WindowS {
				i++
			}
			for j < len(firsts) && firsts[j] <= at {
				j++
			}
			if n, most := float64(k-from+1), b.Ratio*float64(j-i)+b.Slack; n > most {
				l.violation("BUDGET", "%s got %.0f further tries in %v s up to %.1f s, %.0f are the most", service, n, b.WindowS, at, most)
				break
			}
		}
	}
}

// Seal is the stamp of a server on an answer.
func Seal(member, id string, body []byte) string {
	return fmt.Sprintf("%s.%08x", member, crc32.ChecksumIEEE(append([]byte(member+"/"+id+"/"), body...)))
}
