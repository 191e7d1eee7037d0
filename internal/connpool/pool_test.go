package connpool

import (
	"context"
	"errors"
	"testing"
	"time"
)

// The most recently used idle connection is taken first, so that surplus connections time
// out. A connection that has timed out is not used.
func TestMostRecentlyUsedConnectionGoesFirst(t *testing.T) {
	withStoppedClock(t, func(t *testing.T) {
		p, h := poolWithServer(t, 2)
		first, second := connect(t, p, h), connect(t, p, h)
		if _, err := p.Connect(context.Background(), h); !errors.Is(err, ErrPoolExhausted) {
			t.Errorf("connecting beyond MaxConns: %v", err)
		}
		p.Put(first)
		p.Put(second)
		if c := p.Get(h); c != second {
			t.Error("Get did not return the most recently used connection")
		}
		p.Put(second)
		if c, err := p.Connect(context.Background(), h); err != nil {
			t.Errorf("no idle connection was evicted: %v", err)
		} else {
			c.Close()
		}
		if len(h.idle) != 1 || h.idle[0] != second || p.open != 1 {
			t.Errorf("%d idle, %d open", len(h.idle), p.open)
		}
		second.IdleSince = time.Now().Add(-2 * longTimeout)
		if c := p.Get(h); c != nil || p.open != 0 {
			t.Errorf("a connection that has timed out was returned, %d open", p.open)
		}
	})
}

// Put clears the deadline of the last request. With an expired deadline left on the
// connection, Reusable reported it as closed.
func TestConnectionIsKeptPastTheDeadlineOfARequest(t *testing.T) {
	withStoppedClock(t, func(t *testing.T) {
		p, h := poolWithServer(t, 2)
		c := connect(t, p, h)
		if err := c.SetDeadline(time.Now().Add(-time.Second)); err != nil {
			t.Fatal(err)
		}
		p.Put(c)
		if p.Get(h) != c {
			t.Error("a usable connection was closed")
		}
	})
}

// A connection is closed before the keep-alive timeout that its server announced expires,
// even if that is shorter than the idle timeout of the pool.
func TestConnectionIsGivenUpBeforeItsKeepAliveEnds(t *testing.T) {
	withStoppedClock(t, func(t *testing.T) {
		p, h := poolWithServer(t, 2)
		c := connect(t, p, h)
		c.KeepAlive = longTimeout / 2
		putIdle(p, c, longTimeout/4)
		if p.Get(h) != c {
			t.Fatal("closed too soon")
		}
		putIdle(p, c, longTimeout/2-longTimeout/40)
		if p.Get(h) != nil {
			t.Error("used although its server is about to close it")
		}
	})
}
