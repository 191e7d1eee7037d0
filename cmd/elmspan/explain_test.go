package main

import (
	"strings"
	"testing"
)

// Lines of three processes: two of text, one of them after something else, and one of JSON.
// The second is about another request.
const (
	firstAttempt = "time=2026-12-02T10:00:00.200Z level=DEBUG msg=try id=a1 service=s server=i-1 zone=z " +
		"result=failed ran=true took_ms=150 at=0 hedge=false\n"
	anotherRequest = "time=2026-12-02T10:00:00.100Z level=DEBUG msg=try id=a10 service=s server=i-9 zone=z " +
		"result=good ran=true took_ms=90 at=0 hedge=false\n"
	answer = "     0.5 edge-z-1 time=2026-12-02T10:00:00.310Z level=DEBUG msg=answered id=a1 status=502 " +
		`reason=no_answer by=gateway route="r one" tenant=t service=s after_ms=260 retry_after_ms=0` + "\n"
	secondAttempt = `{"time":"2026-12-02T10:00:00.25Z","level":"DEBUG","msg":"try","id":"a1","service":"s",` +
		`"server":"i-2","zone":"y","result":"full","ran":false,"took_ms":5,"at":1,"hedge":true}` + "\n"
)

// The lines about one request, of text and JSON logs, are shown in order, with
// what was tried and why it ended as it did; lines about others are not.
func TestExplain(t *testing.T) {
	var events []line
	for _, log := range []string{secondAttempt, firstAttempt + anotherRequest + answer} {
		lines, err := linesOf(strings.NewReader(log), "a1")
		if err != nil {
			t.Fatal(err)
		}
		events = append(events, lines...)
	}
	if len(events) != 3 {
		t.Fatalf("%d lines", len(events))
	}
	events[0], events[1] = events[1], events[0]
	var b strings.Builder
	if err := writeEvents(&b, events); err != nil {
		t.Fatal(err)
	}
	got := b.String()
	for _, want := range []string{
		"150.0 ms",
		"server i-1 of s (z) was tried for 150 ms: failed, it may have run",
		"server i-2 of s (y) was tried for 5 ms: full, beside another that was slow",
		"260.0 ms  0.5 edge-z-1",
		"answered 502 by the gateway after 260 ms: no_answer (route r one, tenant t)",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is not in\n%s", want, got)
		}
	}
	if _, err := linesOf(strings.NewReader("time=yesterday msg=try id=a1\n"), "a1"); err == nil {
		t.Error("a time that can't be read")
	}
}
