package checker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/lab/scenario"
)

var (
	once   = &scenario.Class{Name: "file", Service: "filing", Type: "non_idempotent"}
	lookup = &scenario.Class{Name: "lookup", Service: "search", Type: "idempotent"}
)

// The log finds each rule broken, and nothing where none is: a check that could not fail
// would be of no use.
func TestLogFindsEachBrokenRule(t *testing.T) {
	good := Run{Service: "filing", Member: "m", Tenant: "t"}
	with := func(change func(*Run)) Run { r := good; change(&r); return r }
	for want, play := range map[string]func(*Log){
		"": func(l *Log) {
			l.Ran("a", good, false)
			l.Answered("a", 200, Seal("m", "a", []byte("x")), []byte("x"))
		},
		"TWICE":   func(l *Log) { l.Ran("a", good, false); l.Ran("a", good, false) },
		"REFUSED": func(l *Log) { l.Ran("a", good, false); l.Answered("a", 503, "", nil) },
		"MIXED": func(l *Log) {
			l.Ran("a", good, false)
			l.Answered("a", 200, Seal("m", "a", []byte("x")), []byte("y"))
		},
		"MIXED failure cut": func(l *Log) {
			l.Ran("a", good, false)
			l.Gave("a", "m", 500)
			l.Answered("a", 500, Seal("m", "a", []byte("page")), []byte("pa"))
		},
		"MIXED no end": func(l *Log) {
			l.Ran("a", good, false)
			l.runs["a"][0].ended = l.clock() - time.Second
			l.Unended("a")
		},
		"CONFIG no tenants": func(l *Log) {
			l.suspensions = []suspension{{sent: 1, acknowledged: l.clock() - 6*time.Second}}
			l.Ran("a", good, false)
		},
		"ROUTE":   func(l *Log) { l.Ran("a", with(func(r *Run) { r.Service = "search" }), false) },
		"UNASKED": func(l *Log) { l.Ran("b", good, false) },
		"UNASKED tenant": func(l *Log) {
			l.Ran("a", with(func(r *Run) { r.Tenant = "other" }), false)
		},
		"UNASKED key":  func(l *Log) { l.Ran("a", good, true) },
		"UNASKED body": func(l *Log) { l.Ran("a", with(func(r *Run) { r.Body = 9 }), false) },
		"DRAIN": func(l *Log) {
			l.draining["m"] = l.clock() - 4*time.Second
			l.Arrived("a", "filing", "m")
		},
		"CONFIG": func(l *Log) {
			l.revoked["k"] = l.clock() - 6*time.Second
			l.Ran("a", good, false)
		},
		"BUDGET": func(l *Log) {
			for range 7 {
				l.Arrived("a", "search", "m")
			}
		},
		"QUOTA": func(l *Log) {
			l.QuotasSent(1, []api.Tenant{{Name: "t", Rate: 10, Burst: 10}})
			for i := range 90 {
				id := fmt.Sprint("q", i)
				l.Sent(id, &Attempt{Class: lookup, Tenant: "t"})
				l.Ran(id, Run{Service: "search", Tenant: "t"}, false)
			}
		},
	} {
		requireBroken(t, want, play)
	}
}

// requireBroken plays something and requires that it breaks the rule that a name begins with, and no other one.
func requireBroken(t *testing.T, name string, play func(*Log)) {
	t.Helper()
	l := New(scenario.RetryBudget{Ratio: 0.1, Slack: 5, WindowS: 10}, func() time.Duration { return time.Minute })
	l.Sent("a", &Attempt{Class: once, Tenant: "t", Key: "k"})
	play(l)
	l.Finish()
	rule, _, _ := strings.Cut(name, " ")
	if n := len(l.violationCounts); rule == "" && n > 0 || rule != "" && (n != 1 || l.violationCounts[rule] == 0) {
		t.Errorf("%q: %v %v", name, l.violationCounts, l.violations)
	}
}

// So it does for what a server's seal says, and for the servers that a request ran on.
func TestLogFindsSealsAndServersThatAreTooMany(t *testing.T) {
	good := Run{Service: "filing", Member: "m", Tenant: "t"}
	for want, play := range map[string]func(*Log){
		"MIXED failure": func(l *Log) {
			l.Ran("a", good, false)
			l.Gave("a", "m", 200)
			l.Answered("a", 502, Seal("m", "a", nil), nil)
		},
		"BUDGET servers": func(l *Log) {
			for i := range 4 {
				id := fmt.Sprint("b", i)
				l.Sent(id, &Attempt{Class: lookup, Tenant: "t"})
				for _, member := range []string{"m", "n", "o"} {
					l.Ran(id, Run{Service: "search", Tenant: "t", Member: member}, false)
					l.RunEnded(id, member)
				}
			}
		},
	} {
		requireBroken(t, want, play)
	}
}

// While tenants are taken away for a time, requests may run until each machine must know, and again from when the
// tenants are brought back; 401 is no denial. An answer without an end is none while its server is at it.
func TestSuspendedKeysAndUnendedAnswersAreJudgedInTime(t *testing.T) {
	now := time.Minute
	l := New(scenario.RetryBudget{}, func() time.Duration { return now })
	send := func(id string) {
		l.Sent(id, &Attempt{Class: lookup, Tenant: "t"})
		l.Ran(id, Run{Service: "search", Tenant: "t", Member: "m"}, false)
	}
	l.KeysSuspending()
	l.KeysSuspended()
	now += RevokeMs * time.Millisecond
	send("early")
	l.Unended("early")
	for i := range 20 {
		id := fmt.Sprint("denied", i)
		l.Sent(id, &Attempt{Class: lookup, Tenant: "t"})
		l.Answered(id, 401, "", nil)
	}
	now += time.Second
	l.KeysRestoring()
	l.KeysRestored()
	send("late")
	l.Finish()
	if len(l.violations) > 0 || l.ends.Denied > 0 {
		t.Errorf("%v, %d denied", l.violations, l.ends.Denied)
	}
}

// A failure that a server gave and sealed is no broken rule, nor are two servers for a request.
func TestSealedFailureOfTheServerIsItsOwn(t *testing.T) {
	l := New(scenario.RetryBudget{}, func() time.Duration { return time.Minute })
	l.Sent("a", &Attempt{Class: lookup, Tenant: "t"})
	for _, member := range []string{"m", "n"} {
		l.Ran("a", Run{Service: "search", Tenant: "t", Member: member}, false)
		l.Gave("a", member, 500)
		l.RunEnded("a", member)
	}
	l.Answered("a", 500, Seal("n", "a", nil), nil)
	l.Finish()
	if len(l.violations) > 0 {
		t.Error(l.violations)
	}
}

// A kind of request that is served less than a quarter as often as all is starved.
func TestStarvedKindIsFound(t *testing.T) {
	for servedFilings, broken := range map[int]bool{30: true, 60: false} {
		l := New(scenario.RetryBudget{}, func() time.Duration { return time.Minute })
		c := NewCounter(&scenario.Day{LengthS: 1, Classes: []scenario.Class{*lookup, *once}})
		for i := range 1000 {
			c.Add(lookup, 0, 200, 1, time.Millisecond)
			status := 503
			if i < servedFilings*3 {
				status = 200
			}
			c.Add(once, 0, status, 1, time.Millisecond)
		}
		report := c.Report(l)
		if got := report.ViolationCounts[ruleStarved] > 0; got != broken {
			t.Errorf("%d filings of 1000 served: broken %v: %v", servedFilings*3, got, report.Violations)
		}
	}
}

// Routes that were added during the day and are served far less often than the first ones break CONFIG.
func TestAddedRoutesAreServedLikeTheFirst(t *testing.T) {
	for served, broken := range map[int]bool{4: true, 10: false} {
		l := New(scenario.RetryBudget{}, func() time.Duration { return time.Minute })
		for i := range 80 {
			id := fmt.Sprint("r", i)
			l.Sent(id, &Attempt{Class: lookup, Tenant: "t", Machine: "m", OnAddedRoute: i < 40})
			if i >= 40 || i < served {
				l.Ran(id, Run{Service: "search", Tenant: "t", Member: "s"}, false)
				l.Answered(id, 200, Seal("s", id, nil), nil)
			} else {
				l.Answered(id, 503, "", nil)
			}
		}
		l.Finish()
		if got := l.violationCounts[ruleConfig] > 0; got != broken {
			t.Errorf("%d of 40 served: broken %v: %v", served, got, l.violations)
		}
	}
}
