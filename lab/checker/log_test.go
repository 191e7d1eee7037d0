package checker

import (
	"fmt"
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
		l := New(scenario.RetryBudget{Ratio: 0.1, Slack: 5, WindowS: 10}, func() time.Duration { return time.Minute })
		l.Sent("a", &Attempt{Class: once, Tenant: "t", Key: "k"})
		play(l)
		l.Finish()
		rule := want
		if len(rule) > 7 {
			rule = rule[:7]
		}
		if n := len(l.violationCounts); rule == "" && n > 0 || rule != "" && (n != 1 || l.violationCounts[rule] == 0) {
			t.Errorf("%q: %v %v", want, l.violationCounts, l.violations)
		}
	}
}
