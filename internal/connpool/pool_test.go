package connpool

import (
	"context"
	"errors"
	"testing"
	"time"
)

// The most recently used idle connection goes first, so that the others grow old and are
// closed. One that has timed out is not used.
func TestMostRecentlyUsedConnectionGoesFirst(t *testing.T) {
	withStoppedClock(t, func(t *testing.T) {
		p, h := poolWithServer(t, 2)
		first, second := connect(t, p, h), connect(t, p, h)
		if _, err := p.Connect(context.Background(), h); !errors.Is(err, ErrPoolExhausted) {
			t.Errorf("past the maximum: %v", err)
		}
		p.Put(first)
		p.Put(second)
		if c := p.Get(h); c != second {
			t.Error("not the most recently used")
		}
		p.Put(second)
		if c, err := p.Connect(context.Background(), h); err != nil {
			t.Errorf("an idle connection did not make space: %v", err)
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

// The deadline of one request says nothing about a connection that is kept after it: with
// that deadline left on it, the check of Reusable took the connection for closed.
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

// A connection is given up before the time is over for which its server said to keep it,
// also where that is shorter than the timeout of the pool.
func TestConnectionIsGivenUpBeforeItsKeepAliveEnds(t *testing.T) {
	withStoppedClock(t, func(t *testing.T) {
		p, h := poolWithServer(t, 2)
		c := connect(t, p, h)
		c.KeepAlive = longTimeout / 2
		putIdle(p, c, longTimeout/4)
		if p.Get(h) != c {
			t.Fatal("given up too soon")
		}
		putIdle(p, c, longTimeout/2-longTimeout/40)
		if p.Get(h) != nil {
			t.Error("used when its server is about to close it")
		}
	})
}
