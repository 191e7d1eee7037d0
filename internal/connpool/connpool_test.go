package connpool

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

const patience = 10 * time.Second

// listen returns the address of a server that takes connections and says nothing.
func listen(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// The latest used idle connection goes first, so that the others grow old and
// are closed; past their time they are not used.
func TestIdleConnections(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) { // time stands still
		addr := listen(t)
		p := New[int](2, patience, patience)
		p.Update(1, addr, 0, true)
		h := p.Host(1)
		var cs [2]*Conn[int]
		for i := range cs {
			c, err := p.Connect(context.Background(), h)
			if err != nil {
				t.Fatal(err)
			}
			cs[i] = c
		}
		if _, err := p.Connect(context.Background(), h); err != ErrPoolExhausted {
			t.Errorf("past the budget: %v", err)
		}
		p.Put(cs[0])
		p.Put(cs[1])
		if c := p.Get(h); c != cs[1] {
			t.Error("not the latest used")
		}
		p.Put(cs[1])
		if c, err := p.Connect(context.Background(), h); err != nil {
			t.Errorf("an idle connection did not make room: %v", err)
		} else {
			c.Close()
		}
		if len(h.idle) != 1 || h.idle[0] != cs[1] || p.open != 1 {
			t.Errorf("%d idle, %d open", len(h.idle), p.open)
		}
		cs[1].IdleSince = time.Now().Add(-2 * patience)
		if c := p.Get(h); c != nil || p.open != 0 {
			t.Errorf("an old connection was taken, %d open", p.open)
		}
	})
}

// The time of one request says nothing about a connection that is kept after it:
// with that deadline left on it, the check for silence took it for closed.
func TestKeptPastTheDeadline(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) { // time stands still
		addr := listen(t)
		p := New[int](2, patience, patience)
		p.Update(1, addr, 0, true)
		h := p.Host(1)
		c, err := p.Connect(context.Background(), h)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(-time.Second))
		p.Put(c)
		if p.Get(h) != c {
			t.Error("a sound connection was closed")
		}
	})
}

// A connection is given up before the time is over for which its server said to keep
// it, also where that is shorter than the pool's own.
func TestKeepFor(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) { // time stands still
		p := New[int](2, patience, patience)
		p.Update(1, listen(t), 0, true)
		h := p.Host(1)
		c, err := p.Connect(context.Background(), h)
		if err != nil {
			t.Fatal(err)
		}
		c.KeepAlive = patience / 2
		p.Put(c)
		c.IdleSince = time.Now().Add(-patience / 4)
		if p.Get(h) != c {
			t.Fatal("given up too soon")
		}
		p.Put(c)
		c.IdleSince = time.Now().Add(-patience/2 + patience/40)
		if p.Get(h) != nil {
			t.Error("used when its server is about to close it")
		}
	})
}

// Once a connection that had rested was forgotten, requests that must not run twice
// are given none that rested so long, for some time; others are.
func TestForgotten(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) { // time stands still
		p := New[int](3, patience, patience)
		p.Update(1, listen(t), 0, true)
		h := p.Host(1)
		c, err := p.Connect(context.Background(), h)
		if err != nil {
			t.Fatal(err)
		}
		rested := func(d time.Duration) {
			p.Put(c)
			c.IdleSince = time.Now().Add(-d)
		}
		const old = 30 * youngest
		rested(old)
		if p.GetForNonIdempotent(h) != c {
			t.Fatal("nothing speaks against it yet")
		}
		for _, group := range []int{newConns, 0, newConns, 0} { // says nothing of rest
			p.RecordStale(group, 0)
		}
		p.RecordStale(ageGroup(10*youngest), 7) // one limiter, however often it says so
		p.RecordStale(ageGroup(10*youngest), 7)
		rested(old)
		if p.GetForNonIdempotent(h) != c {
			t.Error("a new connection that broke speaks against it, or a single one that rested")
		}
		p.RecordStale(ageGroup(10*youngest), 0)
		rested(old)
		if p.GetForNonIdempotent(h) != nil {
			t.Error("one that may have been forgotten was given")
		}
		if p.Get(h) != c {
			t.Error("what can be sent again goes nowhere")
		}
		rested(2 * youngest)
		if p.GetForNonIdempotent(h) != c {
			t.Error("one that rested for less was not given")
		}
		p.careful.until = time.Now().Add(-time.Second)
		rested(old)
		if p.GetForNonIdempotent(h) != c {
			t.Error("it is held against them for ever")
		}
	})
}
