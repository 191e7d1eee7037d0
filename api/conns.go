package api

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"example.org/elmspan/keys"
)

// silentFor is how long what was sent may go without an acknowledgement before
// the connection is given up (TCP_USER_TIMEOUT): a machine without power or behind
// a cut says nothing, and what the system sends again on an old connection comes
// ever more seldom. gRPC's own keep-alive can't be shorter than 10 s.
const silentFor = 1500 * time.Millisecond

// Processes come and go: of more connections than mostConns, those that were
// not used for unusedFor are closed.
const (
	mostConns = 32
	unusedFor = time.Minute
)

// Conns keeps one connection to each process that is called.
type ConnPool struct {
	ring  *keys.Ring
	opts  []grpc.DialOption
	clock func() time.Time

	mu     sync.Mutex
	byAddr map[string]*grpc.ClientConn
	used   map[string]time.Time
}

// NewConns returns an empty set. With keys (nil: none) only processes of the
// same authority are spoken to. Options are as for [Dial].
func NewConnPool(ring *keys.Ring, opts ...grpc.DialOption) *ConnPool {
	return &ConnPool{ring: ring, opts: opts, clock: time.Now, byAddr: map[string]*grpc.ClientConn{}, used: map[string]time.Time{}}
}

// To returns the connection to an address.
func (s *ConnPool) Conn(addr string) (*grpc.ClientConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.used[addr] = now
	if c := s.byAddr[addr]; c != nil {
		return c, nil
	}
	for a, at := range s.used {
		if len(s.byAddr) >= mostConns && now.Sub(at) > unusedFor {
			s.drop(a)
		}
	}
	c, err := Dial(addr, s.ring, s.opts...)
	if err != nil {
		delete(s.used, addr)
		return nil, err
	}
	s.byAddr[addr] = c
	return c, nil
}

// Reaches waits for a connection to be there, for so long at most. It goes on being
// made after that: who was not reached in time may be at the next call.
func WaitReady(ctx context.Context, c *grpc.ClientConn, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		c.Connect()
		switch s := c.GetState(); {
		case s == connectivity.Ready:
			return true
		case s == connectivity.TransientFailure, s == connectivity.Shutdown, !c.WaitForStateChange(ctx, s):
			return false
		}
	}
}

func (s *ConnPool) drop(addr string) {
	if c := s.byAddr[addr]; c != nil {
		c.Close()
	}
	delete(s.byAddr, addr)
	delete(s.used, addr)
}

// Close closes all connections.
func (s *ConnPool) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr := range s.byAddr {
		s.drop(addr)
	}
}

// unanswered has a socket give up what is not acknowledged in time.
func unanswered(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// A system without the option serves all the same, but notices later.
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentFor.Milliseconds()))
	})
}

var dialer = net.Dialer{KeepAlive: -1, Control: unanswered}

// dialAgain is how long an attempt to connect goes unanswered before another begins
// beside it. What was sent to a machine that had no power is lost, and the kernel sends
// it again only after a second, though the machine may be back a moment later.
const dialAgain = 150 * time.Millisecond

func dial(ctx context.Context, addr string) (net.Conn, error) {
	return firstOf(ctx, func(ctx context.Context) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) })
}

// firstOf connects by the first of the attempts that is answered; the others end.
func firstOf(ctx context.Context, attempt func(context.Context) (net.Conn, error)) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type end struct {
		c   net.Conn
		err error
	}
	ends, taken := make(chan end), make(chan struct{})
	defer close(taken)
	t := time.NewTicker(dialAgain)
	defer t.Stop()
	for {
		go func() {
			c, err := attempt(ctx)
			select {
			case ends <- end{c, err}:
			case <-taken:
				if err == nil {
					c.Close()
				}
			}
		}()
		select {
		case e := <-ends:
			return e.c, e.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-t.C:
		}
	}
}

// internalListener gives what it accepts the same option: it is not inherited.
type internalListener struct{ *net.TCPListener }

func (l internalListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	if raw, err := c.SyscallConn(); err == nil {
		unanswered("", "", raw) // one that ended meanwhile says so when it is read
	}
	return c, nil
}

// Listen listens at the address at which other processes of the system are to
// reach this one. What is accepted is given up like what is dialled.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAlive: -1}
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return internalListener{l.(*net.TCPListener)}, nil
}
