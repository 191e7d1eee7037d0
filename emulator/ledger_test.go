package emulator

import (
	"fmt"
	"testing"
	"time"
)

var (
	once   = &Class{Name: "file", Service: "filing", Type: "non_idempotent"}
	lookup = &Class{Name: "lookup", Service: "search", Type: "idempotent"}
)

// The judge finds each rule broken, and nothing where none is: a check that
// could not fail would be worth nothing.
func TestJudge(t *testing.T) {
	good := run{service: "filing", member: "m", tenant: "t"}
	with := func(change func(*run)) run { r := good; change(&r); return r }
	for want, play := range map[string]func(*ledger){
		"": func(l *ledger) {
			l.run("a", good, false)
			l.answered("a", 200, sealOf("m", "a", []byte("x")), []byte("x"))
		},
		"TWICE":   func(l *ledger) { l.run("a", good, false); l.run("a", good, false) },
		"REFUSED": func(l *ledger) { l.run("a", good, false); l.answered("a", 503, "", nil) },
		"MIXED": func(l *ledger) {
			l.run("a", good, false)
			l.answered("a", 200, sealOf("m", "a", []byte("x")), []byte("y"))
		},
		"ROUTE":   func(l *ledger) { l.run("a", with(func(r *run) { r.service = "search" }), false) },
		"UNASKED": func(l *ledger) { l.run("b", good, false) },
		"UNASKED tenant": func(l *ledger) {
			l.run("a", with(func(r *run) { r.tenant = "other" }), false)
		},
		"UNASKED key":  func(l *ledger) { l.run("a", good, true) },
		"UNASKED body": func(l *ledger) { l.run("a", with(func(r *run) { r.body = 9 }), false) },
		"DRAIN": func(l *ledger) {
			l.draining["m"] = l.now() - 4*time.Second
			l.run("a", good, false)
		},
		"CONFIG": func(l *ledger) {
			l.revoked["k"] = l.now() - 6*time.Second
			l.run("a", good, false)
		},
		"QUOTA": func(l *ledger) {
			l.quotas["t"] = quotaOf{10, 10}
			for i := range 90 {
				id := fmt.Sprint("q", i)
				l.send(id, &sentTry{class: lookup, tenant: "t"})
				l.run(id, run{service: "search", tenant: "t"}, false)
			}
		},
	} {
		l := newLedger()
		l.start = time.Now().Add(-time.Minute)
		l.send("a", &sentTry{class: once, tenant: "t", key: "k"})
		play(l)
		l.judge()
		rule := want
		if len(rule) > 7 {
			rule = rule[:7]
		}
		if n := len(l.counts); rule == "" && n > 0 || rule != "" && (n != 1 || l.counts[rule] == 0) {
			t.Errorf("%q: %v %v", want, l.counts, l.broken)
		}
	}
}

func TestSpecFaults(t *testing.T) {
	s, err := ReadSpec("../docs/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Spec){
		"no zones":         func(s *Spec) { s.Zones = nil },
		"unknown service":  func(s *Spec) { s.Classes[0].Service = "x" },
		"unknown trouble":  func(s *Spec) { s.Troubles[0].Kind = "x" },
		"trouble too late": func(s *Spec) { s.Troubles[0].At = 1e6 },
		"nobody asks":      func(s *Spec) { s.Tenants = nil },
	} {
		s, err = ReadSpec("../docs/fleet.toml")
		if err != nil {
			t.Fatal(err)
		}
		spoil(s)
		if s.check() == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
