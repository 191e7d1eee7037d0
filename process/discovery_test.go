package process

import (
	"testing"
	"time"
)

// A leader asks the platform at once, whatever the age of its process, then at its pace,
// faster while servers come and go. A limiter asks for itself only where it has had no lease
// for long, and the more seldom the more of them there are. (docs/incidents/0003: a second
// without servers after a start of all. Fails where the pause counts from the start.)
func TestDiscoverySchedule(t *testing.T) {
	leaderWith := func(change func(*discoverySchedule)) discoverySchedule {
		s := discoverySchedule{requested: true, leading: true, sinceChange: time.Hour, ratePerS: 50}
		change(&s)
		return s
	}
	limiterWith := func(change func(*discoverySchedule)) discoverySchedule {
		s := discoverySchedule{
			sinceRequest: time.Hour, sinceLease: time.Hour, configured: true, limiters: 3, ratePerS: 50,
		}
		change(&s)
		return s
	}
	for name, c := range map[string]struct {
		schedule discoverySchedule
		want     bool
	}{
		"a new leader": {
			discoverySchedule{leading: true, sinceRequest: 100 * time.Millisecond, ratePerS: 50}, true,
		},
		"a leader soon after": {
			leaderWith(func(s *discoverySchedule) { s.sinceRequest = leaderInterval / 2 }), false,
		},
		"a leader at its pace": {
			leaderWith(func(s *discoverySchedule) { s.sinceRequest = leaderInterval }), true,
		},
		"a leader while servers change": {
			leaderWith(func(s *discoverySchedule) {
				s.sinceRequest, s.sinceChange = changingInterval, time.Second
			}), true,
		},
		"a leader, a server is missing": {
			leaderWith(func(s *discoverySchedule) {
				s.sinceRequest, s.serverMissing = missingInterval, true
			}), true,
		},
		"a limiter with a lease": {
			limiterWith(func(s *discoverySchedule) { s.sinceLease = time.Second }), false,
		},
		"a limiter without one": {
			limiterWith(func(s *discoverySchedule) { s.sinceLease, s.pages = controlPlaneTimeout+1, 1 }), true,
		},
		"a limiter that has asked just now": {
			limiterWith(func(s *discoverySchedule) { s.requested, s.sinceRequest = true, limiterInterval-1 }), false,
		},
		"a limiter with hundreds of others": {
			limiterWith(func(s *discoverySchedule) {
				s.requested, s.sinceRequest, s.limiters, s.pages = true, limiterInterval, 300, 6
			}), false,
		},
		"a limiter without a configuration": {
			limiterWith(func(s *discoverySchedule) { s.configured = false }), false,
		},
	} {
		if got := c.schedule.due(); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Who is no member of the control plane doesn't look whether a request is due until one can
// be: while leases come that is a few times a minute, and never later than it would ask.
func TestDiscoveryPausesUntilARequestCanBeDue(t *testing.T) {
	s := discoverySchedule{configured: true, sinceRequest: time.Hour, limiters: 300, pages: 16, ratePerS: 3200}
	looks, requestAt := 0, time.Duration(0)
	for now := time.Duration(0); now < 2*time.Minute; now += s.pause(false) {
		if now < time.Minute {
			looks++
		}
		lastLease := min(now, time.Minute-1) // one each 1.5 s for a minute
		lastLease -= lastLease % (1500 * time.Millisecond)
		s.sinceLease = now - lastLease
		if requestAt == 0 && s.due() {
			requestAt = now
		}
	}
	if looks > 10 {
		t.Errorf("%d looks in a minute in which nothing was due", looks)
	}
	last := time.Minute - 1500*time.Millisecond
	if requestAt < last+controlPlaneTimeout || requestAt > time.Minute+controlPlaneTimeout+checkInterval {
		t.Errorf("the last lease at %v, the request at %v", last, requestAt)
	}
	for _, c := range []struct {
		requested bool
		want      time.Duration
	}{{false, newLeaderInterval}, {true, checkInterval}} {
		member := &discoverySchedule{requested: c.requested}
		if got := member.pause(true); got != c.want {
			t.Errorf("a member that has asked (%v) looks after %v, want %v", c.requested, got, c.want)
		}
	}
}
