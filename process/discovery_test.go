package process

import (
	"testing"
	"time"
)

// A new leader requests the server list immediately, however long its process has been running,
// and then at intervals that are shorter while servers change. A limiter requests the list itself
// only after a long time without a lease, and less often the more limiters there are. Guards
// against docs/incidents/0003: when the first interval counted from the start of the process, a
// restart of all processes left the system without servers for a second.
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
		"a leader soon after a request": {
			leaderWith(func(s *discoverySchedule) { s.sinceRequest = leaderInterval / 2 }), false,
		},
		"a leader after its interval": {
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
		"a limiter without a lease": {
			limiterWith(func(s *discoverySchedule) { s.sinceLease, s.pages = controlPlaneTimeout+1, 1 }), true,
		},
		"a limiter soon after a request": {
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

// A process without a member of the control plane doesn't check whether a request is due before
// one can be. While leases arrive it checks only a few times a minute, and it still makes the
// first request on time after they stop.
func TestDiscoveryPausesUntilARequestCanBeDue(t *testing.T) {
	s := discoverySchedule{configured: true, sinceRequest: time.Hour, limiters: 300, pages: 16, ratePerS: 3200}
	checks, requestAt := 0, time.Duration(0)
	for now := time.Duration(0); now < 2*time.Minute; now += s.pause(false) {
		if now < time.Minute {
			checks++
		}
		lastLease := min(now, time.Minute-1) // a lease every 1.5 s for a minute
		lastLease -= lastLease % (1500 * time.Millisecond)
		s.sinceLease = now - lastLease
		if requestAt == 0 && s.due() {
			requestAt = now
		}
	}
	if checks > 10 {
		t.Errorf("%d checks in a minute in which no request was due", checks)
	}
	last := time.Minute - 1500*time.Millisecond
	if requestAt < last+controlPlaneTimeout || requestAt > time.Minute+controlPlaneTimeout+checkInterval {
		t.Errorf("last lease at %v, request at %v", last, requestAt)
	}
	for _, c := range []struct {
		requested bool
		want      time.Duration
	}{{false, newLeaderInterval}, {true, checkInterval}} {
		member := &discoverySchedule{requested: c.requested}
		if got := member.pause(true); got != c.want {
			t.Errorf("member with requested = %v: pause %v, want %v", c.requested, got, c.want)
		}
	}
}
