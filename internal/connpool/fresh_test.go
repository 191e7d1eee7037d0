package connpool

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// While connections that rested may have been forgotten, a request that must not run
// twice gets none of them either where the one that rested least has just been closed
// by its server, or was taken by another request a moment before.
func TestFreshIsLookedAtOneByOne(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) { // time stands still
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		p := New[int](2, patience, patience)
		p.Update(1, l.Addr().String(), 0, true)
		h := p.Host(1)
		var ours [2]*Conn[int]
		var theirs [2]net.Conn
		for i := range ours {
			if ours[i], err = p.Connect(context.Background(), h); err != nil {
				t.Fatal(err)
			}
			if theirs[i], err = l.Accept(); err != nil {
				t.Fatal(err)
			}
			defer theirs[i].Close()
		}
		const old = 30 * youngest
		p.RecordStale(ageGroup(10*youngest), 0)
		p.RecordStale(ageGroup(10*youngest), 0)
		p.Put(ours[0])
		ours[0].IdleSince = time.Now().Add(-old)
		p.Put(ours[1])
		theirs[1].Close()
		for ours[1].Reusable() {
			time.Sleep(time.Millisecond)
		}
		if p.GetForNonIdempotent(h) != nil {
			t.Error("one that may have been forgotten was given")
		}
		if p.Get(h) != ours[0] {
			t.Error("what can be sent again goes nowhere")
		}
	})
}
