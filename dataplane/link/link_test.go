package link

import (
	"context"
	"testing"
	"time"
)

func newLink(mbps float64) (*Pacer, *time.Time) {
	l, now := New(mbps, 1), time.Unix(1000, 0)
	l.now = func() time.Time { return now }
	return l, &now
}

// Long bodies together pass at the link's pace, each in its turn, and what is
// written at once counts against them.
func TestBodiesPassAtThePaceOfTheLink(t *testing.T) {
	l, now := newLink(8) // 1 MB a second
	begun := *now
	passed := 0
	for range 100 {
		wait := l.take(Quantum)
		*now = now.Add(max(0, wait))
		passed += Quantum
	}
	if want := time.Duration(float64(passed-Quantum)/1e6*float64(time.Second)) - ahead; now.Sub(begun) < want-time.Millisecond || now.Sub(begun) > want+time.Millisecond {
		t.Errorf("%d bytes in %v, want %v", passed, now.Sub(begun), want)
	}
	l.Record(100_000)
	if wait := l.take(1); wait < 90*time.Millisecond {
		t.Errorf("a body waits %v behind 100 KB", wait)
	}
	*now = now.Add(time.Hour)
	if wait := l.take(1); wait > 0 || l.Backlog() != 0 {
		t.Errorf("after a pause it waits %v, backlog %v", wait, l.Backlog())
	}
}

// Who gives up stops waiting; nothing known of the link, nothing done.
func TestWaitEnds(t *testing.T) {
	l := New(0.001, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Record(1 << 20)
	if l.Wait(ctx, 1) == nil {
		t.Error("waited for its turn")
	}
	var none *Pacer
	none.Record(1)
	if none.Wait(ctx, 1) != nil || none.Backlog() != 0 || none.SocketBuffer() != 0 || New(0, 1) != nil || New(1000, 1).SocketBuffer() != 0 {
		t.Error("a link that nothing is known of")
	}
	if n := New(5, 1).SocketBuffer(); n < leastSock || n > 20<<10 {
		t.Errorf("a socket on a slow link holds %d bytes", n)
	}
}
