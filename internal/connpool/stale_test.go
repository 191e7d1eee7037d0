package connpool

import (
	"context"
	"net"
	"testing"
	"time"
)

const longIdle = 30 * minIdleTime

// After stale connections were recorded, non-idempotent requests get no connections with
// such idle times for a while; other requests do.
func TestNonIdempotentRequestsAvoidStaleConnections(t *testing.T) {
	withStoppedClock(t, func(t *testing.T) {
		p, h := poolWithServer(t, 3)
		c := connect(t, p, h)
		staleGroup := idleGroup(10 * minIdleTime)
		putIdle(p, c, longIdle)
		if p.GetForNonIdempotent(h) != c {
			t.Fatal("not returned, although no stale connection was recorded")
		}
		for _, group := range []int{newGroup, 0, newGroup, 0} { // not evidence about idle connections
			p.RecordStale(group, Self)
		}
		p.RecordStale(staleGroup, 7) // repeated reports of one limiter count once
		p.RecordStale(staleGroup, 7)
		putIdle(p, c, longIdle)
		if p.GetForNonIdempotent(h) != c {
			t.Error("not returned after failures of new connections and a single stale one")
		}
		p.RecordStale(staleGroup, Self)
		putIdle(p, c, longIdle)
		if p.GetForNonIdempotent(h) != nil {
			t.Error("a connection that may be stale was returned")
		}
		if p.Get(h) != c {
			t.Error("an idempotent request gets no connection")
		}
		putIdle(p, c, 2*minIdleTime)
		if p.GetForNonIdempotent(h) != c {
			t.Error("a connection with a shorter idle time was not returned")
		}
		p.stale.until = time.Now().Add(-time.Second)
		putIdle(p, c, longIdle)
		if p.GetForNonIdempotent(h) != c {
			t.Error("the limit still applies after its end")
		}
	})
}

// While idle connections may be stale, a non-idempotent request gets none of them, even if
// the most recently used one has just been closed by its server or taken by another request.
func TestEachConnectionIsCheckedForNonIdempotentRequests(t *testing.T) {
	withStoppedClock(t, func(t *testing.T) {
		l := listen(t)
		p := New[int](2, longTimeout, longTimeout)
		p.Update(1, l.Addr().String(), 0, true)
		h := p.Host(1)
		var conns [2]*Conn[int]
		var serverConns [2]net.Conn
		for i := range conns {
			var err error
			if conns[i], err = p.Connect(context.Background(), h); err != nil {
				t.Fatal(err)
			}
			if serverConns[i], err = l.Accept(); err != nil {
				t.Fatal(err)
			}
			defer closeQuietly(serverConns[i])
		}
		p.RecordStale(idleGroup(10*minIdleTime), Self)
		p.RecordStale(idleGroup(10*minIdleTime), Self)
		putIdle(p, conns[0], longIdle)
		p.Put(conns[1])
		closeQuietly(serverConns[1])
		for conns[1].Reusable() {
			time.Sleep(time.Millisecond)
		}
		if p.GetForNonIdempotent(h) != nil {
			t.Error("a connection that may be stale was returned")
		}
		if p.Get(h) != conns[0] {
			t.Error("an idempotent request gets no connection")
		}
	})
}
