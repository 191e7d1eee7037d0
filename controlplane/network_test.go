package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
)

// pipeDelay is how long a write to a connection in memory takes.
const pipeDelay = 100 * time.Microsecond

// testNetwork is what lies between machines.
type testNetwork interface {
	newAddr() string // that no other machine has
	listen(addr string) net.Listener
	conns() *api.ConnPool
}

var errRefused = errors.New("nobody listens there")

// pipeListener accepts connections in memory. They are [net.Pipe]'s: those of gRPC's bufconn
// begin with timers that are due at once, and of Go 1.26's race detector two such timers at once
// in one bubble, or one beside another that ends, crash the process (runtime.(*timer).modify
// runs them on whichever thread, all with the bubble's one race context).
type pipeListener struct {
	dialed chan net.Conn // not accepted yet
	closed chan struct{}
	close  func() // closes closed, once
}

func newPipeListener() *pipeListener {
	l := &pipeListener{
		dialed: make(chan net.Conn),
		closed: make(chan struct{}),
	}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	return l
}

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.dialed <- server:
		return client, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept and the methods after it make a pipeListener a [net.Listener].
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.dialed:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *pipeListener) Close() error {
	l.close()
	return nil
}

// Addr is the same for all.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "unix"} }

// pipeNetwork lies between the machines of a bubble: connections in memory. Those to addresses
// at which nobody listens are refused.
type pipeNetwork struct {
	mu        sync.Mutex // guards all that follows
	listeners map[string]*pipeListener
	addrs     int // given out
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{listeners: map[string]*pipeListener{}}
}

func (n *pipeNetwork) newAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addrs++
	return fmt.Sprintf("10.0.0.%d:1", n.addrs)
}

func (n *pipeNetwork) listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := newPipeListener()
	n.listeners[addr] = l
	return delayedListener{l}
}

func (n *pipeNetwork) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	conn, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	return delayedConn{conn}, nil
}

// conns are a machine's connections to the others.
func (n *pipeNetwork) conns() *api.ConnPool {
	return api.NewConnPool(nil, grpc.WithContextDialer(n.dial))
}

// loopbackNetwork is a network of real sockets: it says nothing of time.
type loopbackNetwork struct {
	t         *testing.T
	listeners map[string]net.Listener
}

func newLoopbackNetwork(t *testing.T) *loopbackNetwork {
	t.Helper()
	return &loopbackNetwork{
		t:         t,
		listeners: map[string]net.Listener{},
	}
}

func (n *loopbackNetwork) newAddr() string {
	n.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.listeners[l.Addr().String()] = l
	return l.Addr().String()
}

func (n *loopbackNetwork) listen(addr string) net.Listener { return n.listeners[addr] }

func (n *loopbackNetwork) conns() *api.ConnPool { return api.NewConnPool(nil) }

// delayedListener gives what is written at either end of a connection its time on the way.
type delayedListener struct{ net.Listener }

func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return delayedConn{conn}, nil
}

type delayedConn struct{ net.Conn }

func (c delayedConn) Write(b []byte) (int, error) {
	time.Sleep(pipeDelay)
	return c.Conn.Write(b)
}

// serveUntilStopped serves calls until the server is stopped, at which Serve ends.
func serveUntilStopped(server *grpc.Server, listener net.Listener) {
	_ = server.Serve(listener)
}
