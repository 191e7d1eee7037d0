// Package checker checks a day by the system's rules, from what the day's own
// parties saw: clients, servers, platform and operator. It knows nothing of how
// the system works. Emulator and simulation share it.
//
// The parties report to a [Log] what they see; most rules are checked at once, the others by
// [Log.Finish]. A [Counter] counts what became of requests, and [Counter.Report] puts both
// into a [Report]. The names of the rules are those of the users' pages.
package checker

import (
	"fmt"
	"hash/crc32"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/elmspan/lab/scenario"
)

// Figures of the rules, as in the settings that the processes get.
const (
	DrainMs        = 3000 // from the list's word of a draining server to the last request that it gets
	ConfigApplyMs  = 3000 // from an acknowledgement to a configuration in force everywhere
	RouteRetries   = 2    // retry_count of all routes: servers on which a request may run in one attempt
	RevokeMs       = 5000 // from an acknowledgement to a revoked key that opens nothing
	QuotaWindowS   = 5.0
	QuotaOvershoot = 0.1  // share of a quota that may be exceeded
	QuotaSlack     = 20.0 // requests that may come on top
)

// Figures of the rule on routes that are added during the day.
const (
	minAddedRouteRequests = 20
	addedRouteShare       = 0.25 // of the share that is served on the first routes
)

// maxViolations are kept word for word; the others are counted.
const maxViolations = 20

// Rules that the checker knows of. Parties may report violations of others.
const (
	ruleUnasked = "UNASKED" // a server got what no client sent
	ruleRoute   = "ROUTE"   // a request ran at another service than its route's
	ruleDrain   = "DRAIN"   // a draining server got a request
	ruleConfig  = "CONFIG"  // an old configuration was in force
	ruleTwice   = "TWICE"   // what must not ran more than once
	ruleMixed   = "MIXED"   // a client got an answer that is not its own
	ruleRefused = "REFUSED" // what ran was answered as not executed
	ruleQuota   = "QUOTA"   // a tenant ran more than its quota
	ruleBudget  = "BUDGET"  // there were more retries than the budget
	ruleStarved = "STARVED" // a kind of request was served far less often than all
)

// Log is what the parties saw. Times are since the start of traffic. Its methods may be
// called at the same time.
type Log struct {
	clock  func() time.Duration
	budget scenario.RetryBudget

	mu              sync.Mutex
	sent            map[string]*Attempt
	runs            map[string][]Run
	arrivals        map[string][]time.Duration // when an attempt came to a server, run or not
	retries         map[string][]float64       // by service, when an attempt came again, in seconds
	firsts          map[string][]float64       // by service, when one came for the first time
	draining        map[string]time.Duration   // since when the list shows a member as draining or gone
	revoked         map[string]time.Duration   // keys, since the acknowledgement
	limits          map[string][]limitPeriod   // by tenant, in the order of their configurations
	acknowledged    []time.Duration            // when configurations were
	suspensions     []suspension               // in the order of time
	quotaUse        []QuotaUse                 // by Finish
	machines        map[string]*machineLog
	ends            Ends // by Finish
	violations      []string
	violationCounts map[string]int // by rule
}

// Attempt is one attempt of a client.
type Attempt struct {
	Class  *scenario.Class
	Tenant string
	Key    string
	Body   uint32 // checksum of what was sent
	// Machine is the limiter that it is sent to.
	Machine string
	// OnAddedRoute: its route was added during the day, and must be in force by now.
	OnAddedRoute bool
	// AnyRetries: the retry_count of its route is not [RouteRetries] but too high to bound anything.
	AnyRetries bool

	at           time.Duration
	status       int           // 0: no answer
	left         time.Duration // when its client left without an answer; 0: it did not
	aborted      time.Duration // when the limiter ended the connection without an answer; 0: it did not
	behind       string        // the attempt in the middle of whose answer the connection ended; empty: none
	unread       bool          // it was sent behind an answer that closes the connection
	serverFailed bool          // a server broke it off, or never answered
}

// Run is one run of a request at a server.
type Run struct {
	Service, Member, Tenant string
	Body                    uint32        // checksum of what came
	Work                    time.Duration // that the server has to do; 0: not known
	status                  int           // that the server answered; 0: none yet
	at                      time.Duration
	ended                   time.Duration // 0: it has not, as far as is known
}

// New returns an empty log on a clock that runs from the start of traffic.
func New(budget scenario.RetryBudget, clock func() time.Duration) *Log {
	return &Log{
		clock:           clock,
		budget:          budget,
		sent:            map[string]*Attempt{},
		runs:            map[string][]Run{},
		arrivals:        map[string][]time.Duration{},
		retries:         map[string][]float64{},
		firsts:          map[string][]float64{},
		draining:        map[string]time.Duration{},
		revoked:         map[string]time.Duration{},
		limits:          map[string][]limitPeriod{},
		machines:        map[string]*machineLog{},
		violationCounts: map[string]int{},
	}
}

// Violation notes that a rule was broken, as a party saw itself.
func (l *Log) Violation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violation(rule, format, args...)
}

// violation notes that a rule was broken. Called under the mutex.
func (l *Log) violation(rule, format string, args ...any) {
	l.violationCounts[rule]++
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations,
			fmt.Sprintf("%.3f s %s: %s", l.clock().Seconds(), rule, fmt.Sprintf(format, args...)))
	}
}

// Draining notes that the platform shows a server as draining from now on.
func (l *Log) Draining(member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining[member] = l.clock()
}

// Revoked notes that the revocation of a key is acknowledged from now on.
func (l *Log) Revoked(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked[key] = l.clock()
}

// Sent notes that a client sends an attempt.
func (l *Log) Sent(id string, a *Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.at = l.clock()
	l.sent[id] = a
}

// Arrived notes that an attempt came to a server, whether it runs at once, later or not at all, and checks that the
// server did not drain.
func (l *Log) Arrived(id, service, member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.clock()
	if since, ok := l.draining[member]; ok && at-since > DrainMs*time.Millisecond {
		l.violation(ruleDrain, "%s got %s %v after it was shown as draining", member, id, at-since)
	}
	if l.arrivals[id] = append(l.arrivals[id], at); len(l.arrivals[id]) == 1 {
		l.firsts[service] = append(l.firsts[service], at.Seconds())
	} else {
		l.retries[service] = append(l.retries[service], at.Seconds())
	}
}

// Ran notes that a server runs a request, and checks what it got. sawKey: the client's
// key came with it.
func (l *Log) Ran(id string, run Run, sawKey bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.at = l.clock()
	attempt := l.sent[id]
	if attempt == nil {
		l.violation(ruleUnasked, "%s ran %q, which no client sent", run.Member, id)
		return
	}
	l.checkContent(id, attempt, &run, sawKey)
	l.checkKey(id, attempt)
	l.checkSuspension(id, attempt)
	l.runs[id] = append(l.runs[id], run)
	if n := len(l.runs[id]); n > 1 && !attempt.Class.Idempotent() {
		l.violation(ruleTwice, "%s (%s) ran %d times", id, attempt.Class.Name, n)
	}
}

// checkContent checks that a server got what the client sent. Called under the mutex.
func (l *Log) checkContent(id string, attempt *Attempt, run *Run, sawKey bool) {
	switch {
	case attempt.Tenant != run.Tenant || sawKey:
		l.violation(ruleUnasked, "%s was told the tenant %q for %q, or the key",
			run.Member, run.Tenant, attempt.Tenant)
	case attempt.Body != run.Body:
		l.violation(ruleUnasked, "%s got another body with %s", run.Member, id)
	case attempt.Class.Service != run.Service:
		l.violation(ruleRoute, "%s ran at %s, %s is its service", id, run.Service, attempt.Class.Service)
	}
}

// checkKey checks that the key was still good. Called under the mutex.
func (l *Log) checkKey(id string, attempt *Attempt) {
	if at, ok := l.revoked[attempt.Key]; ok && attempt.at-at > RevokeMs*time.Millisecond {
		l.violation(ruleConfig, "%s ran with a key that was taken away %v before", id, attempt.at-at)
	}
}

// Answered notes what a client got.
func (l *Log) Answered(id string, status int, seal string, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id].status = status
	if status/100 != 2 {
		l.checkSealedFailure(id, status, seal, body)
		return
	}
	if !slices.ContainsFunc(l.runs[id], func(r Run) bool { return seal == Seal(r.Member, id, body) }) {
		l.violation(ruleMixed, "%s got a success with the seal %q and %d bytes that no run of it gave",
			id, seal, len(body))
	}
}

// Finish checks what can only be known at the end.
func (l *Log) Finish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.runs {
		attempt := l.sent[id]
		if !attempt.Class.Idempotent() && saysNotExecuted(attempt.status) {
			l.violation(ruleRefused, "%s was answered %d and has run", id, attempt.status)
		}
	}
	l.checkQuotas()
	l.checkServersPerRequest()
	l.checkAddedRoutes()
	l.checkConnections()
	for _, service := range slices.Sorted(maps.Keys(l.retries)) {
		l.checkRetryBudget(service)
	}
}

// Gave notes the status that a server answers a request that it runs.
func (l *Log) Gave(id, member string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.runs[id] {
		if run := &l.runs[id][i]; run.Member == member {
			run.status = status
		}
	}
}

// Unended notes that a client has waited in vain for the end of an answer that lasts until its connection ends, and
// checks that the server is still at it.
func (l *Log) Unended(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	bound := l.clock() - DisconnectMs*time.Millisecond
	for _, run := range l.runs[id] {
		if run.ended > 0 && run.ended < bound {
			l.violation(ruleMixed, "the answer to %s has no end, and %s has ended it at %.3f s",
				id, run.Member, run.ended.Seconds())
			return
		}
	}
}

// checkSealedFailure checks that a failure which bears a server's seal is what that server gave, with its whole body.
// Called under the mutex.
func (l *Log) checkSealedFailure(id string, status int, seal string, body []byte) {
	if seal == "" {
		return
	}
	member, _, _ := strings.Cut(seal, ".")
	gave := func(r Run) bool { return r.Member == member && r.status == status && seal == Seal(member, id, body) }
	if !slices.ContainsFunc(l.runs[id], gave) {
		l.violation(ruleMixed, "%s got a %d with the seal of %s and %d bytes, which gave no such answer",
			id, status, member, len(body))
	}
}

// checkServersPerRequest checks on how many servers requests ran in one attempt. Servers that broke off don't count.
// Called under the mutex.
func (l *Log) checkServersPerRequest() {
	beyond := 0
	for id, runs := range l.runs {
		if l.sent[id].AnyRetries {
			continue
		}
		servers := map[string]bool{}
		for _, run := range runs {
			if run.ended > 0 {
				servers[run.Member] = true
			}
		}
		if len(servers) > RouteRetries {
			beyond++
		}
	}
	if beyond > fewRequests {
		l.violation(ruleBudget, "%d requests ran on more than %d servers in one attempt", beyond, RouteRetries)
	}
}

// checkAddedRoutes checks that routes which were added during the day are served like the first ones. Called under the
// mutex.
func (l *Log) checkAddedRoutes() {
	var sent, served [2]int // on first routes, on added ones
	for _, a := range l.sent {
		if a.status == http.StatusTooManyRequests || a.left > 0 || !l.inTouch(a.Machine, span{a.at, a.at}) {
			continue
		}
		route := 0
		if a.OnAddedRoute {
			route = 1
		}
		sent[route]++
		if a.status/100 == 2 {
			served[route]++
		}
	}
	if sent[1] < minAddedRouteRequests || sent[0] == 0 {
		return
	}
	first, added := float64(served[0])/float64(sent[0]), float64(served[1])/float64(sent[1])
	if added < addedRouteShare*first {
		l.violation(ruleConfig, "on added routes %d of %d were served, on the first ones %d of %d",
			served[1], sent[1], served[0], sent[0])
	}
}

// saysNotExecuted reports whether a status promises that the request has not run.
func saysNotExecuted(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkRetryBudget checks the retries at a service in each window that ends with one.
// Called under the mutex.
func (l *Log) checkRetryBudget(service string) {
	b := l.budget
	if b.Ratio <= 0 {
		return
	}
	retries, firsts := l.retries[service], l.firsts[service] // both in the order of time
	oldestRetry, oldestFirst, nextFirst := 0, 0, 0
	for newest, end := range retries {
		for retries[oldestRetry] < end-b.WindowS {
			oldestRetry++
		}
		for oldestFirst < len(firsts) && firsts[oldestFirst] < end-b.WindowS {
			oldestFirst++
		}
		for nextFirst < len(firsts) && firsts[nextFirst] <= end {
			nextFirst++
		}
		limit := b.Ratio*float64(nextFirst-oldestFirst) + b.Slack
		if n := float64(newest - oldestRetry + 1); n > limit {
			l.violation(ruleBudget, "%s got %.0f further tries in %v s up to %.1f s, %.0f are the most",
				service, n, b.WindowS, end, limit)
			return
		}
	}
}

// Seal is the stamp of a server on an answer.
func Seal(member, id string, body []byte) string {
	return fmt.Sprintf("%s.%08x", member, crc32.ChecksumIEEE(append([]byte(member+"/"+id+"/"), body...)))
}
