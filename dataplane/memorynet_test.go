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

// memoryNetwork is an in-memory network whose connections behave like TCP: they buffer a limited number of bytes, can
// be half-closed and reset, and have deadlines. Its operations never wait for the operating system, so in a synctest
// bubble time advances only while all goroutines are blocked: durations don't depend on the machine or its load.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	conns     []net.Conn // all connections ever made
}

// closeAll closes all connections and then sleeps, so that goroutines that are still sleeping wake up: fake time does
// not advance after the test has ended.
func (m *memoryNetwork) closeAll() {
	m.mu.Lock()
	for _, c := range m.conns {
		closeConn(c)
	}
	m.mu.Unlock()
	time.Sleep(time.Hour)
}

// memoryTB is a test in its own synctest bubble, whose helpers use an in-memory network.
type memoryTB struct {
	testing.TB
	net *memoryNetwork
}

// inFakeTime runs a test in fake time, on an in-memory network.
func inFakeTime(t *testing.T, test func(t testing.TB)) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryNetwork{listeners: map[string]*memListener{}}
		t.Cleanup(m.closeAll)
		test(memoryTB{t, m})
	})
}

// listenOn returns a listener on the network of a test.
func listenOn(t testing.TB) net.Listener {
	t.Helper()
	if m, ok := t.(memoryTB); ok {
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
	if m, ok := t.(memoryTB); ok {
		return m.net.dial(t.Context(), "tcp", addr)
	}
	return net.Dial("tcp", addr)
}

func (m *memoryNetwork) listen(t testing.TB) net.Listener {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := &memListener{
		network: m, addr: memAddr(fmt.Sprintf("192.0.2.%d:80", len(m.listeners)+1)),
		incoming: make(chan net.Conn, 64), closed: make(chan struct{}),
	}
	m.listeners[string(l.addr)] = l
	t.Cleanup(func() { closeConn(l) })
	return l
}

func (m *memoryNetwork) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	m.mu.Lock()
	l := m.listeners[addr]
	m.mu.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	a, b := newMemConnPair(l.addr)
	m.mu.Lock()
	m.conns = append(m.conns, a, b)
	m.mu.Unlock()
	select {
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case l.incoming <- b:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve makes a gateway serve on the in-memory network only, until the test ends.
func (m memoryTB) serve(g *Gateway) {
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
	network  *memoryNetwork
	addr     memAddr
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return l.addr }

// memBufferSize is how many bytes a connection buffers in each direction.
const memBufferSize = 64 << 10

// memConn is one end of an in-memory connection.
type memConn struct {
	mu      *sync.Mutex // shared by both ends
	changed *sync.Cond  // shared by both ends
	peer    *memConn
	addr    memAddr

	received                    []byte // received and not read yet
	eof                         bool   // the peer sends nothing more
	reset                       bool   // reads return the bytes received, then the reset
	closed                      bool
	writeClosed                 bool // CloseWrite was called
	resetOnClose                bool // Close sends a reset
	readDeadline, writeDeadline time.Time
}

func newMemConnPair(addr memAddr) (a, b *memConn) {
	mu := new(sync.Mutex)
	cond := sync.NewCond(mu)
	a, b = &memConn{mu: mu, changed: cond, addr: addr}, &memConn{mu: mu, changed: cond, addr: addr}
	a.peer, b.peer = b, a
	return a, b
}

// waitForChange waits until the state of either end changes, or until a deadline unless it is zero. The mutex must be
// held.
func (c *memConn) waitForChange(until time.Time) {
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

func deadlinePassed(t time.Time) bool { return !t.IsZero() && !time.Now().Before(t) }

func (c *memConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case deadlinePassed(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case len(c.received) > 0:
			n := copy(b, c.received)
			c.received = c.received[n:]
			c.changed.Broadcast()
			return n, nil
		case c.reset:
			return 0, syscall.ECONNRESET
		case c.eof:
			return 0, io.EOF
		}
		c.waitForChange(c.readDeadline)
	}
}

func (c *memConn) Write(b []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return n, net.ErrClosed
		case deadlinePassed(c.writeDeadline):
			return n, os.ErrDeadlineExceeded
		case c.writeClosed:
			return n, syscall.EPIPE
		case c.reset:
			return n, syscall.ECONNRESET
		case c.peer.closed: // the peer accepts the bytes and responds with a reset
			c.reset = true
			c.changed.Broadcast()
			return len(b), nil
		}
		if room := memBufferSize - len(c.peer.received); room > 0 {
			part := b[n:min(len(b), n+room)]
			c.peer.received = append(c.peer.received, part...)
			n += len(part)
			c.changed.Broadcast()
		}
		if n == len(b) {
			return n, nil
		}
		c.waitForChange(c.writeDeadline)
	}
}

func (c *memConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.resetOnClose || len(c.received) > 0 { // unread data makes Close send a reset
		c.peer.reset = true
	}
	c.peer.eof = true
	c.changed.Broadcast()
	return nil
}

func (c *memConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeClosed, c.peer.eof = true, true
	c.changed.Broadcast()
	return nil
}

// SetLinger with 0 makes Close reset the connection, with a negative number close it in order.
func (c *memConn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetOnClose = seconds == 0
	return nil
}

func (c *memConn) LocalAddr() net.Addr  { return c.addr }
func (c *memConn) RemoteAddr() net.Addr { return c.addr }

func (c *memConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *memConn) SetReadDeadline(t time.Time) error  { return c.setDeadline(&c.readDeadline, t) }
func (c *memConn) SetWriteDeadline(t time.Time) error { return c.setDeadline(&c.writeDeadline, t) }

func (c *memConn) setDeadline(deadline *time.Time, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	*deadline = t
	c.changed.Broadcast()
	return nil
}

// SyscallConn serves callers that check the socket itself for pending data: they get a socket without any, or an
// invalid descriptor if the connection has unread data or has ended.
func (c *memConn) SyscallConn() (syscall.RawConn, error) { return memRawConn{c}, nil }

type memRawConn struct{ c *memConn }

// idleSocket returns a socket that never receives data.
var idleSocket = sync.OnceValue(func() int {
	fd, err := syscall.Socket(syscall.AF_UNIX, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		panic(err)
	}
	return fd
})

func (r memRawConn) Read(f func(fd uintptr) bool) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	switch {
	case r.c.closed:
		return net.ErrClosed
	case deadlinePassed(r.c.readDeadline):
		return os.ErrDeadlineExceeded
	case len(r.c.received) > 0 || r.c.eof || r.c.reset:
		f(^uintptr(0))
	default:
		f(uintptr(idleSocket()))
	}
	return nil
}

func (memRawConn) Control(func(fd uintptr)) error    { return errors.ErrUnsupported }
func (memRawConn) Write(func(fd uintptr) bool) error { return errors.ErrUnsupported }
