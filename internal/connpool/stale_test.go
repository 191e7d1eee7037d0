package connpool

import (
	"context"
	"net"
	"testing"
	"time"
)

const longIdle = 30 * minIdleAge

// Once idle connections were stale, requests that must not run twice get none that were
// idle for so long, for some time; others do.
func TestNonIdempotentRequestsAvoidStaleConnections(t *testing.T) {
	withStoppedClock(t, func(t *testing.T) {
		p, h := poolWithServer(t, 3)
		c := connect(t, p, h)
		staleGroup := idleGroup(10 * minIdleAge)
		putIdle(p, c, longIdle)
		if p.GetForNonIdempotent(h) != c {
			t.Fatal("nothing speaks against it yet")
		}
		for _, group := range []int{newGroup, 0, newGroup, 0} { // say nothing of idle ones
			p.RecordStale(group, Self)
		}
		p.RecordStale(staleGroup, 7) // one limiter, however often it reports
		p.RecordStale(staleGroup, 7)
		putIdle(p, c, longIdle)
		if p.GetForNonIdempotent(h) != c {
			t.Error("a new connection that broke speaks against it, or a single idle one")
		}
		p.RecordStale(staleGroup, Self)
		putIdle(p, c, longIdle)
		if p.GetForNonIdempotent(h) != nil {
			t.Error("one that may be stale was returned")
		}
		if p.Get(h) != c {
			t.Error("a request that can be sent again gets none")
		}
		putIdle(p, c, 2*minIdleAge)
		if p.GetForNonIdempotent(h) != c {
			t.Error("one that was idle for less was not returned")
		}
		p.stale.until = time.Now().Add(-time.Second)
		putIdle(p, c, longIdle)
		if p.GetForNonIdempotent(h) != c {
			t.Error("the limit never ends")
		}
	})
}

// While idle connections may be stale, a request that must not run twice gets none of them
// either where the most recently used one has just been closed by its server, or was taken
// by another request a moment before.
func TestEachConnectionIsCheckedForNonIdempotentRequests(t *testing.T) {
	withStoppedClock(t, func(t *testing.T) {
		l := listen(t)
		p := New[int](2, longTimeout, longTimeout)
		p.Update(1, l.Addr().String(), 0, true)
		h := p.Host(1)
		var ours [2]*Conn[int]
		var theirs [2]net.Conn
		for i := range ours {
			var err error
			if ours[i], err = p.Connect(context.Background(), h); err != nil {
				t.Fatal(err)
			}
			if theirs[i], err = l.Accept(); err != nil {
				t.Fatal(err)
			}
			defer closeQuietly(theirs[i])
		}
		p.RecordStale(idleGroup(10*minIdleAge), Self)
		p.RecordStale(idleGroup(10*minIdleAge), Self)
		putIdle(p, ours[0], longIdle)
		p.Put(ours[1])
		closeQuietly(theirs[1])
		for ours[1].Reusable() {
			time.Sleep(time.Millisecond)
		}
		if p.GetForNonIdempotent(h) != nil {
			t.Error("one that may be stale was returned")
		}
		if p.Get(h) != ours[0] {
			t.Error("a request that can be sent again gets none")
		}
	})
}
