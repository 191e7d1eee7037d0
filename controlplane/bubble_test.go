package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
)

const (
	// bubbleLimit is against a hang: a core ticks for ever, so that no bubble with one is ever
	// found to be without anything to do.
	bubbleLimit = 20 * time.Minute
	// storeGrace is how long a store that was closed still has goroutines (goleveldb's pool).
	storeGrace = 2 * time.Second
)

// inBubble runs a test on a clock of its own, which goes on when all of it waits: what takes a
// second takes a second of the test's, however slow or busy the machine is.
func inBubble(t *testing.T, test func(*testing.T)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(storeGrace) }) // the last
		hangs := time.AfterFunc(bubbleLimit, func() {
			panic(fmt.Sprintf("%s: its clock has gone on for %v", t.Name(), bubbleLimit))
		})
		t.Cleanup(func() { hangs.Stop() })
		test(t)
	})
}

// runInBubble runs a subtest in a bubble.
func runInBubble(t *testing.T, name string, test func(*testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { inBubble(t, test) })
}

// memoryDir is a folder whose disk is memory where the machine has such (Linux), so that
// nobody waits for other programs' writes: what a loss of power takes is not asked here.
func memoryDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("/dev/shm", "elmspan-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	return dir
}

const linkDelay = 100 * time.Microsecond // of a write

// testNetwork is what lies between machines.
type testNetwork interface {
	newAddr() string // that no other machine has
	listen(addr string) net.Listener
	conns() *api.ConnPool
}

var errRefused = errors.New("nobody listens there")

// pipes accepts connections in memory. They are [net.Pipe]'s: those of gRPC's bufconn begin
// with timers that are due at once, and of Go 1.26's race detector two such timers at once
// in one bubble, or one beside another that ends, crash the process (runtime.(*timer).modify
// runs them on whichever thread, all with the bubble's one race context).
type pipes struct {
	new  chan net.Conn
	done chan struct{}
	over func()
}

func newPipes() *pipes {
	p := &pipes{new: make(chan net.Conn), done: make(chan struct{})}
	p.over = sync.OnceFunc(func() { close(p.done) })
	return p
}

func (p *pipes) dial(ctx context.Context) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case p.new <- there:
		return here, nil
	case <-p.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.new:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.over()
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "unix"} }

// pipeNetwork is what lies between the machines of a bubble: connections in memory. Those
// to addresses at which nobody listens are refused.
type pipeNetwork struct {
	mu sync.Mutex
	at map[string]*pipes
	n  int // addresses given out
}

func newPipeNetwork() *pipeNetwork { return &pipeNetwork{at: map[string]*pipes{}} }

func (n *pipeNetwork) newAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.n++
	return fmt.Sprintf("10.0.0.%d:1", n.n)
}

func (n *pipeNetwork) listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := newPipes()
	n.at[addr] = l
	return delayed{l}
}

func (n *pipeNetwork) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.at[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	c, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	return delayedConn{c}, nil
}

// conns are a machine's connections to the others.
func (n *pipeNetwork) conns() *api.ConnPool {
	return api.NewConnPool(nil, grpc.WithContextDialer(n.dial))
}

// loopbackNetwork is a network of real sockets: it says nothing of time.
type loopbackNetwork struct {
	t   *testing.T
	new map[string]net.Listener // not asked for yet
}

func (n *loopbackNetwork) newAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		n.t.Fatal(err)
	}
	n.new[l.Addr().String()] = l
	return l.Addr().String()
}

func (n *loopbackNetwork) listen(addr string) net.Listener { return n.new[addr] }

func (n *loopbackNetwork) conns() *api.ConnPool { return api.NewConnPool(nil) }

// delayed gives what is written at either end of a connection its time on the way.
type delayed struct{ net.Listener }

func (l delayed) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return delayedConn{c}, nil
}

type delayedConn struct{ net.Conn }

func (c delayedConn) Write(b []byte) (int, error) {
	time.Sleep(linkDelay)
	return c.Conn.Write(b)
}

// serveUntilStopped serves calls until the server is stopped, at which Serve ends.
func serveUntilStopped(server *grpc.Server, listener net.Listener) {
	_ = server.Serve(listener)
}
