package checker

import (
	"net/http"
	"time"
)

// suspension is a time in which the tenant table is empty, so that no key is valid. Times are 0 until
// they are known.
type suspension struct {
	sent         time.Duration // the configuration with the empty table
	acknowledged time.Duration
	restoring    time.Duration // the tenants are brought back
	restored     time.Duration // acknowledged
}

// KeysSuspending notes that a configuration without tenants is about to be sent.
func (l *Log) KeysSuspending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspensions = append(l.suspensions, suspension{sent: l.clock()})
}

// KeysSuspended notes that the configuration without tenants is acknowledged.
func (l *Log) KeysSuspended() {
	l.setSuspension(func(s *suspension, now time.Duration) { s.acknowledged = now })
}

// KeysRestoring notes that the tenants are about to be brought back.
func (l *Log) KeysRestoring() {
	l.setSuspension(func(s *suspension, now time.Duration) { s.restoring = now })
}

// KeysRestored notes that the configuration with the tenants is acknowledged.
func (l *Log) KeysRestored() {
	l.setSuspension(func(s *suspension, now time.Duration) { s.restored = now })
}

// setSuspension sets a time of the last suspension.
func (l *Log) setSuspension(set func(s *suspension, now time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.suspensions); n > 0 {
		set(&l.suspensions[n-1], l.clock())
	}
}

// binds reports whether what is sent at a time may not run, as every machine must know of the empty table.
func (s *suspension) binds(at time.Duration) bool {
	known := s.acknowledged > 0 && at > s.acknowledged+RevokeMs*time.Millisecond
	return known && (s.restoring == 0 || at < s.restoring)
}

// mayHold reports whether the empty table may have been in force somewhere for what was sent at a time.
func (s *suspension) mayHold(at time.Duration) bool {
	begun := at >= s.sent-ConfigApplyMs*time.Millisecond
	return begun && (s.restored == 0 || at <= s.restored+RevokeMs*time.Millisecond)
}

// checkSuspension checks that no request runs while no key is valid. Called under the mutex.
func (l *Log) checkSuspension(id string, attempt *Attempt) {
	for i := range l.suspensions {
		if l.suspensions[i].binds(attempt.at) {
			l.violation(ruleConfig, "%s ran at %.3f s, while no tenant is left", id, attempt.at.Seconds())
		}
	}
}

// deniedInSuspension reports whether an attempt was refused as the tenant table may have been empty. Called under the
// mutex.
func (l *Log) deniedInSuspension(a *Attempt) bool {
	if a.status != http.StatusUnauthorized {
		return false
	}
	for i := range l.suspensions {
		if l.suspensions[i].mayHold(a.at) {
			return true
		}
	}
	return false
}
