package link

import (
	"context"
	"testing"
	"time"
)

// newTestPacer returns a pacer with a clock that the test sets.
func newTestPacer(mbps float64) (*Pacer, *time.Time) {
	p, now := New(mbps, 1), time.Unix(1000, 0)
	p.now = func() time.Time { return now }
	return p, &now
}

// Long bodies together pass at the link's pace, each in its turn, and what is
// written at once counts against them.
func TestBodiesPassAtThePaceOfTheLink(t *testing.T) {
	p, now := newTestPacer(8) // 1 MB a second
	start := *now
	passed := 0
	for range 100 {
		wait := p.reserve(Quantum)
		*now = now.Add(max(0, wait))
		passed += Quantum
	}
	want := time.Duration(float64(passed-Quantum)/1e6*float64(time.Second)) - maxBurst
	if got := now.Sub(start); got < want-time.Millisecond || got > want+time.Millisecond {
		t.Errorf("%d bytes in %v, want %v", passed, got, want)
	}
	p.Record(100_000)
	if wait := p.reserve(1); wait < 90*time.Millisecond {
		t.Errorf("a body waits %v behind 100 KB", wait)
	}
	*now = now.Add(time.Hour)
	if wait := p.reserve(1); wait > 0 || p.Backlog() != 0 {
		t.Errorf("after a pause it waits %v, backlog %v", wait, p.Backlog())
	}
}

// A body whose context ends stops waiting.
func TestWaitEndsWithTheContext(t *testing.T) {
	p := New(0.001, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.Record(1 << 20)
	if p.Wait(ctx, 1) == nil {
		t.Error("waited for its turn")
	}
}

// A link of unknown speed is not paced, and the buffers of a fast one are left alone.
func TestUnknownAndFastLinks(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var none *Pacer
	none.Record(1)
	if none.Wait(ctx, 1) != nil || none.Backlog() != 0 || none.SocketBuffer() != 0 {
		t.Error("a link of unknown speed is paced")
	}
	if New(0, 1) != nil || New(1000, 1).SocketBuffer() != 0 {
		t.Error("the buffers of a fast link are set")
	}
	if n := New(5, 1).SocketBuffer(); n < minSocketBuffer || n > 20<<10 {
		t.Errorf("a socket on a slow link holds %d bytes", n)
	}
}
