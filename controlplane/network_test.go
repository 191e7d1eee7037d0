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

// pipeDelay is the duration of a write to an in-memory connection.
const pipeDelay = 100 * time.Microsecond

// testNetwork is the network between the machines of a test.
type testNetwork interface {
	newAddr() string // unused by other machines
	listen(addr string) net.Listener
	conns() *api.ConnPool
}

var errRefused = errors.New("connection refused")

// pipeListener accepts in-memory connections. They are made by [net.Pipe], not by gRPC's bufconn,
// which starts timers that expire immediately. Under the race detector of Go 1.26, two such timers at
// once in a bubble, or one while another ends, crash the process: runtime.(*timer).modify runs them
// on any thread, all with the single race context of the bubble.
type pipeListener struct {
	dialed chan net.Conn // server ends of connections to accept
	closed chan struct{}
	close  func() // closes the channel closed, once
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

// Accept implements [net.Listener].
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.dialed:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements [net.Listener].
func (l *pipeListener) Close() error {
	l.close()
	return nil
}

// Addr implements [net.Listener]. All pipe listeners have the same address.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "unix"} }

// pipeNetwork connects the machines of a bubble by in-memory connections. Connections to an address
// without a listener are refused.
type pipeNetwork struct {
	mu        sync.Mutex // guards the fields below
	listeners map[string]*pipeListener
	addrs     int // number of addresses handed out
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

// conns returns a pool for the connections of one machine to the others.
func (n *pipeNetwork) conns() *api.ConnPool {
	return api.NewConnPool(nil, grpc.WithContextDialer(n.dial))
}

// loopbackNetwork uses real sockets on the loopback interface, with no control of timing.
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

// delayedListener delays the writes of the server end of its connections by pipeDelay.
type delayedListener struct{ net.Listener }

func (l delayedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return delayedConn{conn}, nil
}

// delayedConn delays its writes by pipeDelay.
type delayedConn struct{ net.Conn }

func (c delayedConn) Write(b []byte) (int, error) {
	time.Sleep(pipeDelay)
	return c.Conn.Write(b)
}

// serveUntilStopped serves RPCs until the server is stopped.
func serveUntilStopped(server *grpc.Server, listener net.Listener) {
	_ = server.Serve(listener)
}
