package limiter

import (
	"testing"

	"example.org/elmspan/api"
)

const mbit5 = 5e6 / 8

func downloads(t *testing.T, perS float64) (*Limiter, func(arrived, deadline float64) *RequestState) {
	t.Helper()
	l := New(0, Config{Self: 1, Incarnation: 1, Zone: "z", Seed: 1, LinkBytesPerSecond: perS})
	l.SetServers(0, []api.Server{{ID: "a", Upstream: "s", Addr: "x", Zone: "z", Capacity: 100, State: api.InService}})
	return l, func(arrived, deadline float64) *RequestState {
		return l.StartRequest(Request{Service: "s", Route: "r", Bulk: true, Idempotent: true, Buffered: true, MaxAttempts: 2, ArrivedMs: arrived, DeadlineMs: deadline, TargetMs: 1000})
	}
}

// On a small link one long answer follows on the other: the next is asked for
// when it will come as the one before has passed, and none waits for a server
// that is stuck.
func TestOneLongAnswerAtATime(t *testing.T) {
	l, flight := downloads(t, mbit5)
	a, b, c := flight(0, 2500), flight(0, 2500), flight(0, 2500)
	if ok, _, refused := a.AcquireSlot(0); !ok || refused {
		t.Fatal("the first has to wait")
	}
	if m, _, _ := a.StartAttempt(0, false); m == nil {
		t.Fatal("not sent")
	}
	for _, f := range []*RequestState{b, c} {
		if ok, _, refused := f.AcquireSlot(1); ok || refused {
			t.Fatalf("a second one at the same time: %v, refused %v", ok, refused)
		}
	}
	if start, at := l.GrantSlots(50); len(start) != 0 || at <= 50 {
		t.Fatalf("%d may go while a server works, again at %v", len(start), at)
	}
	a.ResponseStarted(100, 90_000) // takes 125 ms of the link
	start, at := l.GrantSlots(101)
	if len(start) != 0 || at < 110 || at > 140 {
		t.Fatalf("%d may go, again at %v", len(start), at)
	}
	if start, _ = l.GrantSlots(at); len(start) != 1 || start[0] != b {
		t.Fatalf("at its time %d may go", len(start))
	}
	if start, at = l.GrantSlots(at + 10*initialTypicalMs); len(start) != 1 || start[0] != c {
		t.Errorf("behind a server that is stuck %d may go, again at %v", len(start), at)
	}
	for _, f := range []*RequestState{a, b, c} {
		f.Finish()
	}
	if len(l.downloads.inFlight)+len(l.downloads.waiting) != 0 {
		t.Error("something is left")
	}
}

// What can't be carried in its aim is refused at once, with a time to come back;
// one that has been refused before is given more room; and a fast link needs no plan.
func TestWhatDoesNotFitIsRefused(t *testing.T) {
	l, flight := downloads(t, mbit5)
	taken, waits, refusals := 0, 0, 0
	for range 30 {
		f := flight(0, 2500)
		switch ok, wait, refused := f.AcquireSlot(0); {
		case refused && wait < minRetryAfterMs:
			t.Errorf("come back after %v ms", wait)
		case refused:
			refusals++
		case ok:
			taken++
			f.StartAttempt(0, false)
		default:
			waits++
		}
	}
	if taken != 1 || waits < 2 || waits > 8 || refusals != 30-taken-waits {
		t.Errorf("%d go, %d wait, %d are refused", taken, waits, refusals)
	}
	if ok, _, refused := flight(0, 1500).AcquireSlot(0); ok || refused { // its client has less time left
		t.Errorf("one that comes back is refused again: %v %v", ok, refused)
	}
	if start, _ := l.GrantSlots(0); len(start) != 0 {
		t.Errorf("%d may go", len(start))
	}
	_, fast := downloads(t, 0)
	for range 30 {
		if ok, _, _ := fast(0, 2500).AcquireSlot(0); !ok {
			t.Fatal("a fast link makes one wait")
		}
	}
}
