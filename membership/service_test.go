package membership

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
)

// ExchangeWith makes two processes known to each other at once, without waiting for gossip.
// After Run has returned it starts no more exchanges.
func TestUnknownPeersExchangeAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, testUnknownPeersExchange)
}

// pipeListener is an in-memory listener based on [net.Pipe]. gRPC's bufconn is not used since
// its connections start with timers that expire at once, and two of these in a synctest bubble
// crash the race detector of Go 1.26.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	close    func()
}

func newPipeListener() *pipeListener {
	p := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	p.close = sync.OnceFunc(func() { close(p.closed) })
	return p
}

func (p *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.accepted <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.close()
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory", Net: "unix"} }

func testUnknownPeersExchange(t *testing.T) {
	listeners := map[string]*pipeListener{"10.0.0.1:1": newPipeListener(), "10.0.0.2:1": newPipeListener()}
	dial := func(ctx context.Context, addr string) (net.Conn, error) { return listeners[addr].dial(ctx) }
	conns := api.NewConnPool(nil, grpc.WithContextDialer(dial))
	defer conns.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	start := func(name, addr string) *Service {
		self := api.Peer{Name: name, Addr: addr, StartID: 1}
		noSeeds := func() []string { return nil }
		s := New(self, noSeeds, conns, 1, slog.New(slog.DiscardHandler), func([]api.Peer) {})
		srv := api.NewServer(nil)
		api.RegisterMembership(srv, s)
		go func() { _ = srv.Serve(listeners[addr]) }() // returns when the server is stopped
		t.Cleanup(srv.Stop)
		done.Go(func() { s.Run(ctx) })
		return s
	}
	const addr = "10.0.0.2:1"
	a, b := start("a", "10.0.0.1:1"), start("b", addr)
	known := func() bool { return len(a.Peers()) == 2 && len(b.Peers()) == 2 }
	for end := time.Now().Add(heartbeatInterval); !known(); time.Sleep(5 * time.Millisecond) {
		a.ExchangeWith(addr)
		if time.Now().After(end) {
			t.Fatalf("peers of a: %v, peers of b: %v", a.Peers(), b.Peers())
		}
	}
	cancel()
	done.Wait()
	a.ExchangeWith(addr)
}
