package checker

import (
	"net/http"
	"time"
)

// Rules on the ends of connections.
const (
	ruleDisconnect = "GONE"   // work went on for clients that had left
	ruleLost       = "LOST"   // a limiter ended a connection without the answer that was due on it
	ruleDenied     = "DENIED" // proper requests got a 4xx of the limiter's own
)

// Figures of these rules.
const (
	// DisconnectMs is how long after its client has left a request may still come to a server, or be worked on there.
	DisconnectMs = 500
	// ContactMs is how long after a disturbance a machine counts as out of touch.
	ContactMs = 4000
	// LossSlackMs is how long after it was sent a request may be cut that no server had.
	LossSlackMs = 200
	// GraceMs is the time from SIGTERM to SIGKILL.
	GraceMs = 6000
	// drainOpenMs: a request that is sent later than this after SIGTERM may be cut at the end of the grace period ...
	drainOpenMs = 3000
	// ... whose last sixth begins here.
	lastSixthMs = GraceMs - GraceMs/6
	// drainWindowMs is how long after SIGTERM what happens belongs to the drain.
	drainWindowMs = GraceMs + 1000

	fewRequests          = 3   // that rules with a share or a number leave uncounted
	longRunsPerContinued = 4.0 // one in so many runs may go on
	fewDenied            = 5
	deniedPerSent        = 500
)

// span is a time from and to.
type span struct{ from, to time.Duration }

// overlaps reports whether two spans have a moment in common.
func (s span) overlaps(o span) bool { return s.from <= o.to && o.from <= s.to }

// machineLog is what was done to a machine.
type machineLog struct {
	disturbed  []span          // kills and freezes, with the time until it is in touch again
	terminated []time.Duration // when it got SIGTERM
	reloaded   []time.Duration // when it got SIGHUP
	started    []time.Duration // when its process was started
}

// Disturbed notes that a machine is killed or stands still for a time from now on: rules with a bound don't hold for
// it then and for [ContactMs] after.
func (l *Log) Disturbed(machine string, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := l.clock()
	m := l.machine(machine)
	m.disturbed = append(m.disturbed, span{from, from + length + ContactMs*time.Millisecond})
}

// Terminated notes that a machine's process gets SIGTERM now.
func (l *Log) Terminated(machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.machine(machine)
	m.terminated = append(m.terminated, l.clock())
}

// Reloaded notes that a machine's process gets SIGHUP now.
func (l *Log) Reloaded(machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.machine(machine)
	m.reloaded = append(m.reloaded, l.clock())
}

// machine returns what is noted of a machine. Called under the mutex.
func (l *Log) machine(name string) *machineLog {
	m := l.machines[name]
	if m == nil {
		m = &machineLog{}
		l.machines[name] = m
	}
	return m
}

// Left notes that a client closes its connection now, without having had an answer.
func (l *Log) Left(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id].left = l.clock()
}

// Aborted notes that the limiter ended the connection on which an answer was due.
func (l *Log) Aborted(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id].aborted = l.clock()
}

// AbortedBehind notes that the limiter ended the connection in the middle of the answer to an earlier attempt.
func (l *Log) AbortedBehind(id, first string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.sent[id]
	a.aborted, a.behind = l.clock(), first
}

// Unread notes that an attempt was sent behind an answer that closes the connection: it counts as not received, and its
// client sends it again.
func (l *Log) Unread(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id].unread = true
}

// ServerFailed notes that a server broke off, or never answers, an attempt: what becomes of it is not the limiter's
// fault.
func (l *Log) ServerFailed(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.sent[id]; a != nil {
		a.serverFailed = true
	}
}

// HasArrived reports whether an attempt came to a server.
func (l *Log) HasArrived(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.arrivals[id]) > 0
}

// RunEnded notes that a server has ended its work on a request, or dropped it.
func (l *Log) RunEnded(id, member string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.runs[id]
	for i := range runs {
		if runs[i].Member == member && runs[i].ended == 0 {
			runs[i].ended = l.clock()
			return
		}
	}
}

// Ends counts attempts by how their connections ended, and what was judged of them.
type Ends struct {
	Left        int // clients that left without an answer, at machines in touch
	LongRuns    int // repeatable runs that would have lasted past the bound after their clients had left
	Continued   int // and that did
	ArrivedLate int // requests that came to a server after that bound
	Aborted     int // requests that got no answer as limiters ended their connections
	Lost        int // of these, requests that a sound server had
	Unread      int // requests that were sent behind an answer that closes the connection
	Denied      int // proper requests that got a 4xx of the limiter's own
}

// checkConnections checks the rules on the ends of connections. Called under the mutex.
func (l *Log) checkConnections() {
	e := &l.ends
	for id, a := range l.sent {
		l.countEnd(e, id, a)
	}
	if e.ArrivedLate > fewRequests {
		l.violation(ruleDisconnect, "%d requests came to a server over %d ms after their clients had left",
			e.ArrivedLate, DisconnectMs)
	}
	if e.Continued > fewRequests && longRunsPerContinued*float64(e.Continued) > float64(e.LongRuns) {
		l.violation(ruleDisconnect, "%d of %d runs went on over %d ms after their clients had left",
			e.Continued, e.LongRuns, DisconnectMs)
	}
	if e.Lost > fewRequests {
		l.violation(ruleLost, "%d requests were cut by limiters without an answer, after they had come to a server",
			e.Lost)
	}
	if e.Denied > fewDenied+len(l.sent)/deniedPerSent {
		l.violation(ruleDenied, "%d of %d proper requests were ended with a 4xx, by status: %v",
			e.Denied, len(l.sent), l.statuses())
	}
}

// statuses counts the attempts that were denied by their status. Called under the mutex.
func (l *Log) statuses() map[int]int {
	count := map[int]int{}
	for _, a := range l.sent {
		if isDenial(a.status) {
			count[a.status]++
		}
	}
	return count
}

// countEnd counts how an attempt ended. Called under the mutex.
func (l *Log) countEnd(e *Ends, id string, a *Attempt) {
	if a.left > 0 && l.inTouch(a.Machine, span{a.left, a.left + DisconnectMs*time.Millisecond}) {
		e.Left++
		e.addLeft(a, l.arrivals[id], l.runs[id])
	}
	if a.aborted > 0 {
		e.Aborted++
	}
	if l.isLost(id, a) {
		e.Lost++
		if l.aroundPlannedWork(a) { // none may be lost
			l.violation(ruleLost, "%s (%s) was cut at %.3f s, around a signal to %s",
				id, a.Class.Name, a.aborted.Seconds(), a.Machine)
		}
	}
	if l.isHeldUnread(id, a) {
		l.violation(ruleLost, "%s (%s) was cut at %.3f s, %d ms after it was sent, around a signal to %s",
			id, a.Class.Name, a.aborted.Seconds(), (a.aborted - a.at).Milliseconds(), a.Machine)
	}
	if a.unread {
		e.Unread++
		l.checkUnread(id, a)
	}
	if isDenial(a.status) && !l.deniedInSuspension(a) {
		e.Denied++
	}
}

// inTouch reports whether a machine was in touch for all of a span. Called under the mutex.
func (l *Log) inTouch(machine string, s span) bool {
	for _, d := range l.machine(machine).disturbed {
		if d.overlaps(s) {
			return false
		}
	}
	return true
}

// isLost reports whether a limiter in touch cut a request that a sound server had. Called under the mutex.
func (l *Log) isLost(id string, a *Attempt) bool {
	if a.aborted == 0 || len(l.arrivals[id]) == 0 {
		return false
	}
	if l.serverBrokeOff(a) || !l.inTouch(a.Machine, span{a.at, a.aborted}) {
		return false
	}
	for _, at := range l.machine(a.Machine).terminated {
		since := a.aborted - at
		inLastSixth := since >= lastSixthMs*time.Millisecond && since <= drainWindowMs*time.Millisecond
		if inLastSixth && a.at-at <= drainOpenMs*time.Millisecond {
			return false
		}
	}
	return true
}

// isHeldUnread reports whether a limiter in touch cut a request around planned work that no server had, later than
// LossSlackMs after it was sent. Called under the mutex.
func (l *Log) isHeldUnread(id string, a *Attempt) bool {
	return a.aborted-a.at > LossSlackMs*time.Millisecond && len(l.arrivals[id]) == 0 && !l.serverBrokeOff(a) &&
		l.aroundPlannedWork(a) && l.inTouch(a.Machine, span{a.at, a.aborted})
}

// serverBrokeOff reports whether a server broke off the answer to an attempt, or to the one in the middle of whose
// answer its connection ended. Called under the mutex.
func (l *Log) serverBrokeOff(a *Attempt) bool {
	return a.serverFailed || a.behind != "" && l.sent[a.behind].serverFailed
}

// checkUnread checks that no server had what counts as not received. Called under the mutex.
func (l *Log) checkUnread(id string, a *Attempt) {
	if len(l.arrivals[id]) == 0 {
		return
	}
	rule := ruleLost
	if !a.Class.Idempotent() { // its client sends it again
		rule = ruleTwice
	}
	l.violation(rule, "%s (%s) came to a server, though it was sent behind the last answer of its connection to %s",
		id, a.Class.Name, a.Machine)
}

// aroundPlannedWork reports whether an attempt was cut between SIGTERM and 1 s after the grace period, or after a
// SIGHUP that came up to ConfigApplyMs before it was sent. Called under the mutex.
func (l *Log) aroundPlannedWork(a *Attempt) bool {
	m := l.machine(a.Machine)
	for _, at := range m.terminated {
		if since := a.aborted - at; since >= 0 && since <= drainWindowMs*time.Millisecond {
			return true
		}
	}
	for _, at := range m.reloaded {
		if a.aborted >= at && a.at <= at+ConfigApplyMs*time.Millisecond {
			return true
		}
	}
	return false
}

// isDenial reports whether a status ends a proper request for good.
func isDenial(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status >= 300 && status < 500
}

// addLeft counts what was done for a client that had left.
func (e *Ends) addLeft(a *Attempt, arrivals []time.Duration, runs []Run) {
	bound := a.left + DisconnectMs*time.Millisecond
	for _, at := range arrivals {
		if at > bound {
			e.ArrivedLate++
		}
	}
	if !a.Class.Idempotent() {
		return
	}
	for _, run := range runs {
		if run.at+run.Work <= bound {
			continue
		}
		e.LongRuns++
		if run.ended == 0 || run.ended > bound {
			e.Continued++
		}
	}
}
