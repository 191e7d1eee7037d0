package limiter

import (
	"testing"

	"example.org/elmspan/api"
)

const bytesPerSAt5Mbit = 5e6 / 8

// newDownloads returns a limiter behind a link, and a way to start downloads on it.
func newDownloads(t *testing.T, perS float64) (*Limiter, func(arrived, deadline float64) *RequestState) {
	t.Helper()
	l := New(0, Config{Self: 1, Incarnation: 1, Zone: "z", Seed: 1, LinkBytesPerSecond: perS})
	l.SetServers(0, []api.Server{{ID: "a", Upstream: "s", Addr: "x", Zone: "z", Capacity: 100, State: api.InService}})
	return l, func(arrived, deadline float64) *RequestState {
		return l.StartRequest(Request{
			Service: "s", Route: "r", Bulk: true, Idempotent: true, Buffered: true, MaxAttempts: 2,
			ArrivedMs: arrived, DeadlineMs: deadline, TargetMs: 1000,
		})
	}
}

// requireQueued has a download ask for a slot, and fails unless it has to wait for it.
func requireQueued(t *testing.T, s *RequestState, now float64) {
	t.Helper()
	if ok, _, refused := s.AcquireSlot(now); ok || refused {
		t.Fatalf("a second one at the same time: granted %v, refused %v", ok, refused)
	}
}

// requireGranted fails unless this one download gets a slot now. It returns when to ask again.
func requireGranted(t *testing.T, l *Limiter, now float64, want *RequestState) (at float64) {
	t.Helper()
	start, at := l.GrantSlots(now)
	if len(start) != 1 || start[0] != want {
		t.Fatalf("%d granted at %v, again at %v", len(start), now, at)
	}
	return at
}

// requireNoneGranted fails if a download gets a slot now. It returns when to ask again.
func requireNoneGranted(t *testing.T, l *Limiter, now float64) (at float64) {
	t.Helper()
	start, at := l.GrantSlots(now)
	if len(start) != 0 {
		t.Fatalf("%d granted at %v, again at %v", len(start), now, at)
	}
	return at
}

// On a small link one download follows on the other: the next is requested so that it comes
// when the one before has passed, and none waits without end for a server that doesn't answer.
func TestOneDownloadAtATime(t *testing.T) {
	l, download := newDownloads(t, bytesPerSAt5Mbit)
	a, b, c := download(0, 2500), download(0, 2500), download(0, 2500)
	if ok, _, refused := a.AcquireSlot(0); !ok || refused {
		t.Fatal("the first has to wait")
	}
	if m, _, _ := a.StartAttempt(0, false); m == nil {
		t.Fatal("not sent")
	}
	requireQueued(t, b, 1)
	requireQueued(t, c, 1)
	if at := requireNoneGranted(t, l, 50); at <= 50 {
		t.Fatalf("while a server works, again at %v", at)
	}
	a.ResponseStarted(100, 90_000) // takes 125 ms of the link
	at := requireNoneGranted(t, l, 101)
	if at < 110 || at > 140 {
		t.Fatalf("while the link is busy, again at %v", at)
	}
	at = requireGranted(t, l, at, b)
	requireGranted(t, l, at+10*initialTypicalMs, c) // behind a server that doesn't answer
	for _, s := range []*RequestState{a, b, c} {
		s.Finish()
	}
	if len(l.downloads.inFlight)+len(l.downloads.waiting) != 0 {
		t.Error("something is left")
	}
}

// A download that can't be carried within its latency target is refused at once, with a time
// to come back. One that has been refused before may use more of the target. A fast link
// grants all at once.
func TestDownloadsThatWouldBeLateAreRefused(t *testing.T) {
	l, download := newDownloads(t, bytesPerSAt5Mbit)
	granted, queued, refusals := 0, 0, 0
	for range 30 {
		s := download(0, 2500)
		switch ok, wait, refused := s.AcquireSlot(0); {
		case refused && wait < minRetryAfterMs:
			t.Errorf("come back after %v ms", wait)
		case refused:
			refusals++
		case ok:
			granted++
			s.StartAttempt(0, false)
		default:
			queued++
		}
	}
	if granted != 1 || queued < 2 || queued > 8 || refusals != 30-granted-queued {
		t.Errorf("%d granted, %d queued, %d refused", granted, queued, refusals)
	}
	if ok, _, refused := download(0, 1500).AcquireSlot(0); ok || refused { // its client has less time left
		t.Errorf("one that comes back is refused again: %v %v", ok, refused)
	}
	requireNoneGranted(t, l, 0)
	_, fast := newDownloads(t, 0)
	for range 30 {
		if ok, _, _ := fast(0, 2500).AcquireSlot(0); !ok {
			t.Fatal("a fast link makes one wait")
		}
	}
}

// The queue of downloads is bounded: one more than it takes is refused at once, with a time to come
// back, and those in it are granted their slots in the order in which they came.
func TestFullQueueOfDownloadsRefuses(t *testing.T) {
	const deadline = 1e6
	l, _ := newDownloads(t, bytesPerSAt5Mbit)
	download := func() *RequestState {
		return l.StartRequest(Request{
			Service: "s", Route: "r", Bulk: true, Idempotent: true, Buffered: true, MaxAttempts: 2,
			DeadlineMs: deadline, TargetMs: deadline, // all of the queue would be in time
		})
	}
	first := download()
	if ok, _, _ := first.AcquireSlot(0); !ok {
		t.Fatal("the first has to wait")
	}
	if m, _, _ := first.StartAttempt(0, false); m == nil {
		t.Fatal("not sent")
	}
	var queued []*RequestState
	for range maxQueuedDownloads {
		s := download()
		requireQueued(t, s, 1)
		queued = append(queued, s)
	}
	if _, waitMs, refused := download().AcquireSlot(1); !refused || waitMs < minRetryAfterMs {
		t.Errorf("one more than %d: refused %v, to come back in %v ms", maxQueuedDownloads, refused, waitMs)
	}
	first.Finish()
	now := 10.0
	for _, want := range queued {
		requireGranted(t, l, now, want)
		want.Finish()
		now += 10
	}
}
