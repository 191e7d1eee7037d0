package dataplane

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// memory is a network in memory whose connections do what TCP's do: they hold some
// bytes, are closed in one direction, reset, and have deadlines. Nothing on it waits
// for the machine, so that in a bubble of synctest time passes only where all wait
// for it: what takes how long is the same on each machine, however busy.
type memory struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	conns     []net.Conn // all that there were
}

// end closes all connections, and has what still sleeps wake up: time passes no more
// once the test has ended.
func (m *memory) end() {
	m.mu.Lock()
	for _, c := range m.conns {
		closeConn(c)
	}
	m.mu.Unlock()
	time.Sleep(time.Hour)
}

// inMemory is a test in a bubble of its own, whose helpers use a network in memory.
type inMemory struct {
	testing.TB
	net *memory
}

// inFakeTime runs a test in fake time, on a network in memory.
func inFakeTime(t *testing.T, test func(t testing.TB)) {
	synctest.Test(t, func(t *testing.T) {
		m := &memory{listeners: map[string]*memListener{}}
		t.Cleanup(m.end)
		test(inMemory{t, m})
	})
}

// listenOn returns a listener on the network of a test.
func listenOn(t testing.TB) net.Listener {
	t.Helper()
	if m, ok := t.(inMemory); ok {
		return m.net.listen(t)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(l) })
	return l
}

// dialOn connects on the network of a test.
func dialOn(t testing.TB, addr string) (net.Conn, error) {
	if m, ok := t.(inMemory); ok {
		return m.net.dial(t.Context(), "tcp", addr)
	}
	return net.Dial("tcp", addr)
}

func (m *memory) listen(t testing.TB) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &memListener{
		m: m, at: memAddr(fmt.Sprintf("192.0.2.%d:80", len(m.listeners)+1)),
		come: make(chan net.Conn, 64), closed: make(chan struct{}),
	}
	m.listeners[string(l.at)] = l
	t.Cleanup(func() { closeConn(l) })
	return l
}

func (m *memory) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[addr]
	m.mu.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	a, b := newWire(l.at)
	m.mu.Lock()
	m.conns = append(m.conns, a, b)
	m.mu.Unlock()
	select {
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case l.come <- b:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve has a gateway serve on the network in memory alone, until the test ends.
func (m inMemory) serve(g *Gateway) {
	if err := errors.Join(g.listener.tcp.Close(), g.readiness.listener.Close(), g.gossip.socket.Close()); err != nil {
		m.Fatal(err)
	}
	g.listener.tcp, g.forwarder.pool.Dial = m.net.listen(m), m.net.dial
	work, stop := context.WithCancel(context.Background())
	g.tasks.Go(func() { g.forwarder.pool.Sweep(work) })
	g.tasks.Go(g.listener.accept)
	m.Cleanup(func() {
		stop()
		closeConn(g.listener.tcp)
		g.listener.closeAll()
		g.tasks.Wait()
	})
}

type memAddr string

func (memAddr) Network() string  { return "tcp" }
func (a memAddr) String() string { return string(a) }

type memListener struct {
	m      *memory
	at     memAddr
	come   chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.come:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return l.at }

// memRoom is how many bytes stand on the way of a connection in one direction.
const memRoom = 64 << 10

// memConn is one end of a connection.
type memConn struct {
	mu      *sync.Mutex // of both ends
	changed *sync.Cond  // of both ends
	peer    *memConn
	at      memAddr

	in              []byte // has come and was not read
	ended           bool   // nothing comes behind it
	reset           bool   // what was in is read, then the reset is met
	closed          bool
	shut            bool // for writing
	abort           bool // Close resets
	readBy, writeBy time.Time
}

func newWire(at memAddr) (a, b *memConn) {
	mu := new(sync.Mutex)
	cond := sync.NewCond(mu)
	a, b = &memConn{mu: mu, changed: cond, at: at}, &memConn{mu: mu, changed: cond, at: at}
	a.peer, b.peer = b, a
	return a, b
}

// await waits for a change until some time. Called under the mutex.
func (c *memConn) await(until time.Time) {
	if !until.IsZero() {
		t := time.AfterFunc(time.Until(until), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.changed.Broadcast()
		})
		defer t.Stop()
	}
	c.changed.Wait()
}

func past(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

func (c *memConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case past(c.readBy):
			return 0, os.ErrDeadlineExceeded
		case len(c.in) > 0:
			n := copy(b, c.in)
			c.in = c.in[n:]
			c.changed.Broadcast()
			return n, nil
		case c.reset:
			return 0, syscall.ECONNRESET
		case c.ended:
			return 0, io.EOF
		}
		c.await(c.readBy)
	}
}

func (c *memConn) Write(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return n, net.ErrClosed
		case past(c.writeBy):
			return n, os.ErrDeadlineExceeded
		case c.shut:
			return n, syscall.EPIPE
		case c.reset:
			return n, syscall.ECONNRESET
		case c.peer.closed: // it takes the bytes, and answers them with a reset
			c.reset = true
			c.changed.Broadcast()
			return len(b), nil
		}
		if room := memRoom - len(c.peer.in); room > 0 {
			part := b[n:min(len(b), n+room)]
			c.peer.in = append(c.peer.in, part...)
			n += len(part)
			c.changed.Broadcast()
		}
		if n == len(b) {
			return n, nil
		}
		c.await(c.writeBy)
	}
}

func (c *memConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.abort || len(c.in) > 0 { // what was not read is answered with a reset
		c.peer.reset = true
	}
	c.peer.ended = true
	c.changed.Broadcast()
	return nil
}

func (c *memConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut, c.peer.ended = true, true
	c.changed.Broadcast()
	return nil
}

// SetLinger has Close reset the connection.
func (c *memConn) SetLinger(int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = true
	return nil
}

func (c *memConn) LocalAddr() net.Addr  { return c.at }
func (c *memConn) RemoteAddr() net.Addr { return c.at }

func (c *memConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *memConn) SetReadDeadline(t time.Time) error  { return c.setBy(&c.readBy, t) }
func (c *memConn) SetWriteDeadline(t time.Time) error { return c.setBy(&c.writeBy, t) }

func (c *memConn) setBy(by *time.Time, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	*by = t
	c.changed.Broadcast()
	return nil
}

// SyscallConn shows those who look at the socket itself one that is as quiet: on which
// nothing has come, or none at all.
func (c *memConn) SyscallConn() (syscall.RawConn, error) { return memRaw{c}, nil }

type memRaw struct{ c *memConn }

// quietSocket is a socket to which nobody can send.
var quietSocket = sync.OnceValue(func() int {
	fd, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		panic(err)
	}
	return fd
})

func (r memRaw) Read(f func(fd uintptr) bool) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	switch {
	case r.c.closed:
		return net.ErrClosed
	case past(r.c.readBy):
		return os.ErrDeadlineExceeded
	case len(r.c.in) > 0 || r.c.ended || r.c.reset:
		f(^uintptr(0))
	default:
		f(uintptr(quietSocket()))
	}
	return nil
}

func (memRaw) Control(func(fd uintptr)) error    { return errors.ErrUnsupported }
func (memRaw) Write(func(fd uintptr) bool) error { return errors.ErrUnsupported }
