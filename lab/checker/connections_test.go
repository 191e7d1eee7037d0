package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/elmspan/lab/scenario"
)

// day is a log whose clock is set by hand.
type day struct {
	*Log
	now time.Duration
}

func newDay() *day {
	d := &day{now: time.Minute}
	d.Log = New(scenario.RetryBudget{}, func() time.Duration { return d.now })
	return d
}

// at has something happen so many milliseconds after the minute that the day begins with.
func (d *day) at(ms int, happens func()) {
	d.now = time.Minute + time.Duration(ms)*time.Millisecond
	happens()
}

// worked has clients leave machine m after 100 ms, while a server has work for them: for 2 s, unless it is dropped.
func (d *day) worked(class *scenario.Class, clients int, dropped func(client int) bool) {
	for i := range clients {
		id := fmt.Sprint(class.Name, i)
		d.at(0, func() {
			d.Sent(id, &Attempt{Class: class, Machine: "m"})
			d.Arrived(id, class.Service, "s")
			d.Ran(id, Run{Service: class.Service, Member: "s", Work: 2 * time.Second}, false)
		})
		d.at(100, func() { d.Left(id) })
		end := 2000
		if dropped(i) {
			end = 110
		}
		d.at(end, func() { d.RunEnded(id, "s") })
	}
}

// abort has limiters end connections after 100 ms on which answers are due, for attempts that have come to a server.
func (d *day) abort(attempts int) { d.abortSentAt(0, attempts) }

// abortSentAt is abort for attempts that were sent at a time.
func (d *day) abortSentAt(ms, attempts int) {
	for i := range attempts {
		id := fmt.Sprint("cut", i)
		d.at(ms, func() {
			d.Sent(id, &Attempt{Class: once, Machine: "m"})
			d.Arrived(id, once.Service, "s")
		})
		d.at(100, func() { d.Aborted(id) })
	}
}

// arriveLate has attempts come to a server 700 ms after their clients have left.
func (d *day) arriveLate(attempts int) {
	for i := range attempts {
		id := fmt.Sprint("late", i)
		d.at(0, func() { d.Sent(id, &Attempt{Class: once, Machine: "m"}) })
		d.at(100, func() { d.Left(id) })
		d.at(800, func() { d.Arrived(id, once.Service, "s") })
	}
}

// The rules on the ends of connections are found broken, and only where they are.
func TestLogChecksTheEndsOfConnections(t *testing.T) {
	allBut := func(first int) func(int) bool { return func(client int) bool { return client >= first } }
	all, none := allBut(0), allBut(16)
	for name, c := range map[string]struct {
		play func(*day)
		want string
	}{
		"all dropped":                  {func(d *day) { d.worked(lookup, 8, all) }, ""},
		"none dropped":                 {func(d *day) { d.worked(lookup, 8, none) }, ruleDisconnect},
		"a quarter goes on":            {func(d *day) { d.worked(lookup, 16, allBut(4)) }, ""},
		"more than a quarter":          {func(d *day) { d.worked(lookup, 16, allBut(5)) }, ruleDisconnect},
		"not to be repeated":           {func(d *day) { d.worked(once, 8, none) }, ""},
		"on a machine that was frozen": {func(d *day) { d.Disturbed("m", time.Second); d.worked(lookup, 8, none) }, ""},
		"on a machine that drains":     {func(d *day) { d.Terminated("m"); d.worked(lookup, 8, none) }, ruleDisconnect},
		"sent late":                    {func(d *day) { d.arriveLate(4) }, ruleDisconnect},
		"a few sent late":              {func(d *day) { d.arriveLate(3) }, ""},
		"a few cut":                    {func(d *day) { d.abort(3) }, ""},
		"many cut":                     {func(d *day) { d.abort(4) }, ruleLost},
		"one cut in a drain":           {func(d *day) { d.Terminated("m"); d.abort(1) }, ruleLost},
		"cut by a server":              {func(d *day) { d.abort(4); failed(d, 4) }, ""},
		"cut by a kill":                {func(d *day) { d.Disturbed("m", 0); d.abort(4) }, ""},
		"cut at the end of the grace": {func(d *day) {
			d.at(-5000, func() { d.Terminated("m") })
			d.abortSentAt(-2500, 4)
		}, ""},
		"sent too late for that": {func(d *day) {
			d.at(-5000, func() { d.Terminated("m") })
			d.abortSentAt(-1500, 1)
		}, ruleLost},
		"cut after a SIGHUP":                 {func(d *day) { d.Reloaded("m"); d.abort(1) }, ruleLost},
		"cut a second after it was sent":     {func(d *day) { d.Terminated("m"); d.hold(1000) }, ruleLost},
		"cut as soon as it was sent":         {func(d *day) { d.Terminated("m"); d.hold(LossSlackMs) }, ""},
		"cut so with no signal near":         {func(d *day) { d.hold(1000) }, ""},
		"behind a closing answer":            {func(d *day) { d.unread(lookup, false) }, ""},
		"behind it, and passed on":           {func(d *day) { d.unread(lookup, true) }, ruleLost},
		"behind it, and run":                 {func(d *day) { d.unread(once, true) }, ruleTwice},
		"behind an answer that breaks off":   {func(d *day) { d.Terminated("m"); d.behind(false) }, ruleLost},
		"behind one that a server broke off": {func(d *day) { d.Terminated("m"); d.behind(true) }, ""},
		"a few proper requests denied":       {func(d *day) { d.deny(5, 404) }, ""},
		"many proper requests denied":        {func(d *day) { d.deny(6, 404) }, ruleDenied},
		"many requests over their rate":      {func(d *day) { d.deny(6, 429) }, ""},
	} {
		d := newDay()
		c.play(d)
		d.Finish()
		broken := slices.Sorted(maps.Keys(d.violationCounts))
		if got := strings.Join(broken, " "); got != c.want {
			t.Errorf("%s: %v %v, want %q", name, broken, d.violations, c.want)
		}
	}
}

// hold has a limiter end a connection so many milliseconds after an attempt was sent that has come to no server.
func (d *day) hold(ms int) {
	d.at(0, func() { d.Sent("held", &Attempt{Class: lookup, Machine: "m"}) })
	d.at(ms, func() { d.Aborted("held") })
}

// unread has an attempt be sent behind a closing answer, and come to a server nevertheless.
func (d *day) unread(class *scenario.Class, arrives bool) {
	d.at(0, func() { d.Sent("unread", &Attempt{Class: class, Machine: "m"}) })
	if arrives {
		d.Arrived("unread", class.Service, "s")
	}
	d.at(100, func() { d.Unread("unread") })
}

// behind has a connection end in the middle of an answer, with another attempt behind it that a server has.
func (d *day) behind(serverFailed bool) {
	for _, id := range []string{"first", "second"} {
		d.at(0, func() {
			d.Sent(id, &Attempt{Class: lookup, Machine: "m"})
			d.Arrived(id, lookup.Service, "s")
		})
	}
	if serverFailed {
		d.ServerFailed("first")
	}
	d.at(100, func() {
		d.Aborted("first")
		d.AbortedBehind("second", "first")
	})
}

// failed has the servers of the first attempts that were cut be the ones that broke off.
func failed(d *day, attempts int) {
	for i := range attempts {
		d.ServerFailed(fmt.Sprint("cut", i))
	}
}

// deny has proper requests be answered with a status.
func (d *day) deny(attempts, status int) {
	for i := range attempts {
		id := fmt.Sprint("denied", i)
		d.Sent(id, &Attempt{Class: lookup, Machine: "m"})
		d.Answered(id, status, "", nil)
	}
}
