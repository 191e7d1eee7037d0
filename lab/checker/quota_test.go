package checker

import (
	"fmt"
	"strings"
	"testing"

	"example.org/elmspan/api"
)

// limit sends a configuration with a limit of tenant t at a time, and has it acknowledged right after.
func (d *day) limit(ms int, revision uint64, rate float64) {
	d.at(ms, func() { d.QuotasSent(revision, []api.Tenant{{Name: "t", Rate: rate, Burst: rate}}) })
	d.at(ms+1, func() { d.QuotasAcknowledged(revision) })
}

// run has so many requests of tenant t run within a second.
func (d *day) run(ms, requests int) {
	for i := range requests {
		id := fmt.Sprint(ms, "-", i)
		d.at(ms+i*1000/requests, func() {
			d.Sent(id, &Attempt{Class: lookup, Tenant: "t", Machine: "m"})
			d.Ran(id, Run{Service: lookup.Service, Member: "s", Tenant: "t"}, false)
		})
	}
}

// A limit of 10 allows 86 requests in 5 s, one of 100 allows 680. The lower one binds once it must be in force
// everywhere.
func TestQuotaIsJudgedByTheLimitsThatMayBeInForce(t *testing.T) {
	lower := func(d *day) {
		d.limit(0, 1, 100)
		d.limit(20, 2, 10)
	}
	lowerWhileDisturbed := func(d *day) {
		d.Disturbed("m", 1)
		lower(d)
	}
	refuseLower := func(d *day) {
		d.limit(0, 1, 100)
		d.at(20, func() { d.QuotasSent(2, []api.Tenant{{Name: "t", Rate: 10, Burst: 10}}) })
	}
	for _, c := range []struct {
		name      string
		play      func(*day)
		fromMs, n int // requests within a second
		broken    bool
	}{
		{"within", func(d *day) { d.limit(0, 1, 10) }, 10, 86, false},
		{"beyond", func(d *day) { d.limit(0, 1, 10) }, 10, 87, true},
		{"raised", func(d *day) { d.limit(0, 1, 10); d.limit(20, 2, 100) }, 30, 100, false},
		{"lowered, not in force yet", lower, 2000, 100, false},
		{"lowered, windows reach back", lower, 7000, 100, false},
		{"lowered, in force", lower, 8200, 100, true},
		{"lowered, a machine is disturbed", lowerWhileDisturbed, 8200, 100, false},
		{"lowered, its lease has run out", lowerWhileDisturbed, 10100, 100, true},
		{"lowered, not acknowledged", refuseLower, 20000, 100, false},
		{"no limit", func(d *day) { d.limit(0, 1, 0) }, 10, 1000, false},
	} {
		d := newDay()
		c.play(d)
		d.run(c.fromMs, c.n)
		d.Finish()
		if broken := d.violationCounts[ruleQuota] > 0; broken != c.broken {
			t.Errorf("%s: broken %v, want %v: %v", c.name, broken, c.broken, d.violations)
		}
	}
}

// Windows that end before a higher limit is sent are judged by the lower one.
func TestRaisedQuotaDoesNotExcuseWhatRanBefore(t *testing.T) {
	d := newDay()
	d.limit(0, 1, 10)
	d.run(10, 100)
	d.limit(6100, 2, 100)
	d.Finish()
	if d.violationCounts[ruleQuota] != 1 {
		t.Error(d.violations)
	}
}

// What is said of an exceeded quota distinguishes processes that have just started from others.
func TestExceededQuotaNamesYoungProcesses(t *testing.T) {
	d := newDay()
	d.at(0, func() { d.Started("m") })
	d.limit(0, 1, 10)
	d.run(9500, 90)
	d.Finish()
	const young = "1 of these had started less than 10s before and admitted 45"
	if len(d.violations) != 1 || !strings.Contains(d.violations[0], young) {
		t.Error(d.violations)
	}
	if use := d.quotaUse; len(use) != 1 || use[0].Ran != 90 || use[0].Share() < 1.04 {
		t.Errorf("%+v", use)
	}
}
