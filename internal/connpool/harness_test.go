package connpool

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// longTimeout exceeds the running time of each of these tests.
const longTimeout = 10 * time.Second

// withStoppedClock runs a test in a synctest bubble, whose clock advances only while the
// test sleeps.
func withStoppedClock(t *testing.T, test func(*testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, test)
}

// listen returns a loopback listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(l) })
	return l
}

// closeQuietly closes c and ignores the error.
func closeQuietly(c interface{ Close() error }) { _ = c.Close() }

// poolWithServer returns a pool with one server, which accepts connections but never responds.
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

// putIdle returns a connection to the pool and backdates the start of its idle time.
func putIdle(p *Pool[int], c *Conn[int], idle time.Duration) {
	p.Put(c)
	c.IdleSince = time.Now().Add(-idle)
}
