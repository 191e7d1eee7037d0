package connpool

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// longTimeout is longer than any of these tests takes.
const longTimeout = 10 * time.Second

// withStoppedClock runs a test on a clock that stands still.
func withStoppedClock(t *testing.T, test func(*testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, test)
}

// listen returns a listener on loopback, closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(l) })
	return l
}

// closeQuietly closes what the test is done with.
func closeQuietly(c interface{ Close() error }) { _ = c.Close() }

// poolWithServer returns a pool with one server, which takes connections and says nothing.
func poolWithServer(t *testing.T, maxConns int) (*Pool[int], *Host[int]) {
	t.Helper()
	p := New[int](maxConns, longTimeout, longTimeout)
	p.Update(1, listen(t).Addr().String(), 0, true)
	return p, p.Host(1)
}

func connect(t *testing.T, p *Pool[int], h *Host[int]) *Conn[int] {
	t.Helper()
	c, err := p.Connect(context.Background(), h)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// putIdle puts a connection back as one that has been idle for so long.
func putIdle(p *Pool[int], c *Conn[int], idle time.Duration) {
	p.Put(c)
	c.IdleSince = time.Now().Add(-idle)
}
