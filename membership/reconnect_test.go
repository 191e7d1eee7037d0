package membership

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
)

// side returns the group of a process of a fleet that is partitioned into two halves.
func side(name string) (half int) {
	_, _ = fmt.Sscanf(name, "n%d", &half) // test names always match
	return half % 2
}

// Two halves of a fleet that were partitioned never found each other again: each had the other's
// processes as dead, sent them nothing, and took itself for the whole fleet, with the whole of each
// quota (docs/incidents/0029). They merge soon after the partition, however long it was, and
// wherever the seeds are.
func TestHalvesMergeAfterAPartition(t *testing.T) {
	const size = 20
	for name, seeds := range map[string][]string{
		"seeds in both halves": {testPeer(0).Addr, testPeer(1).Addr},
		"seeds in one half":    {testPeer(0).Addr, testPeer(2).Addr},
		"no seeds":             nil,
	} {
		for _, length := range []time.Duration{3 * time.Second, 30 * time.Second, 2 * time.Minute, 20 * time.Minute} {
			f := newFleet(size)
			f.converge()
			f.reconnects, f.seeds, f.rng = true, seeds, rand.New(rand.NewPCG(1, uint64(length)))
			f.partitioned = func(from, to string) bool { return side(from) != side(to) }
			for end := f.now + length; f.now < end; {
				f.round()
			}
			f.partitioned = nil
			merged := f.now + 2*reconnectInterval
			for ; !f.allAlive(size); f.round() {
				if f.now > merged {
					t.Fatalf("%s, %v: the halves have not merged", name, length)
				}
			}
		}
	}
}

// allAlive reports whether each view has so many processes that are not dead.
func (f *fleet) allAlive(n int) bool {
	for _, v := range f.views {
		if len(v.ring) != n {
			return false
		}
	}
	return true
}

// A process that is gone for good costs one heartbeat of each process in each reconnectInterval, and
// only the latest maxRemoved are asked for. One whose address is in use again is not.
func TestReconnectAddrsAreBounded(t *testing.T) {
	v, now := NewView(testPeer(0)), time.Second
	if got := v.ReconnectAddrs([]string{testPeer(0).Addr}); len(got) != 0 {
		t.Errorf("own address: %v", got)
	}
	for i := 1; i <= 100; i++ {
		p := testPeer(i)
		v.Merge(now, []api.Peer{p})
		p.State = Dead
		v.Merge(now, []api.Peer{p})
	}
	if got := len(v.ReconnectAddrs(nil)); got != 100 {
		t.Errorf("%d addresses of 100 dead processes", got)
	}
	now += 2 * deadRetention
	v.DetectFailures(now)
	v.Merge(now, []api.Peer{{Name: "other", Addr: v.removedAddrs[0], StartID: 7}})
	got := v.ReconnectAddrs([]string{"10.9.9.9:1"})
	if len(got) != maxRemoved || !slices.Contains(got, "10.9.9.9:1") || slices.Contains(got, v.removedAddrs[0]) {
		t.Errorf("%d addresses: %v", len(got), got)
	}
}

// severableNetwork connects services in memory and can be severed: connections end, and no new ones
// are made.
type severableNetwork struct {
	listeners map[string]*pipeListener

	mu      sync.Mutex
	severed bool
	conns   []net.Conn
}

func (n *severableNetwork) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.severed {
		return nil, net.ErrClosed
	}
	conn, err := n.listeners[addr].dial(ctx)
	if err == nil {
		n.conns = append(n.conns, conn)
	}
	return conn, err
}

func (n *severableNetwork) sever(severed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.severed = severed
	for _, conn := range n.conns {
		_ = conn.Close() // may have ended already
	}
	n.conns = nil
}

// A service sends heartbeats to a process that it has as dead, or has removed, until it answers.
func TestServiceReconnects(t *testing.T) {
	for _, length := range []time.Duration{10 * time.Second, 3 * time.Minute} {
		synctest.Test(t, func(t *testing.T) { testReconnect(t, length) })
	}
}

func testReconnect(t *testing.T, length time.Duration) {
	n := &severableNetwork{listeners: map[string]*pipeListener{
		"10.0.0.1:1": newPipeListener(), "10.0.0.2:1": newPipeListener(),
	}}
	conns := api.NewConnPool(nil, grpc.WithContextDialer(n.dial))
	defer conns.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	start := func(name, addr string) *Service {
		noSeeds := func() []string { return nil }
		self := api.Peer{Name: name, Addr: addr, StartID: 1}
		s := New(self, noSeeds, conns, 1, slog.New(slog.DiscardHandler), func([]api.Peer) {})
		srv := api.NewServer(nil)
		api.RegisterMembership(srv, s)
		go func() { _ = srv.Serve(n.listeners[addr]) }() // returns when the server is stopped
		t.Cleanup(srv.Stop)
		done.Go(func() { s.Run(ctx) })
		return s
	}
	a, b := start("a", "10.0.0.1:1"), start("b", "10.0.0.2:1")
	a.ExchangeWith("10.0.0.2:1")
	time.Sleep(time.Second)
	a.ExchangeWith("10.0.0.2:1")
	alive := func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(a.view.ring) == 2 && len(b.view.ring) == 2
	}
	time.Sleep(time.Second)
	if !alive() {
		t.Fatalf("not known: %v, %v", a.Peers(), b.Peers())
	}
	n.sever(true)
	time.Sleep(length)
	if alive() {
		t.Fatal("no failure was detected")
	}
	n.sever(false)
	time.Sleep(4 * reconnectInterval)
	if !alive() {
		t.Errorf("after %v apart: %v, %v", length, a.Peers(), b.Peers())
	}
	cancel()
	done.Wait()
}

// A heartbeat to a process that is gone for good left a connection in the pool that was tried again and again, several
// times a second for each such process. Each heartbeat makes one attempt.
func TestRemovedProcessesAreDialedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dialed atomic.Int64
		dial := func(context.Context, string) (net.Conn, error) {
			dialed.Add(1)
			return nil, net.ErrClosed
		}
		conns := api.NewConnPool(nil, grpc.WithContextDialer(dial))
		defer conns.Close()
		noSeeds := func() []string { return nil }
		s := New(testPeer(0), noSeeds, conns, 1, slog.New(slog.DiscardHandler), func([]api.Peer) {})
		for i := 1; i <= 20; i++ {
			p := testPeer(i)
			s.view.Merge(s.now(), []api.Peer{p})
			p.State = Dead
			s.view.Merge(s.now(), []api.Peer{p})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { s.Run(ctx) })
		const length = 2 * time.Minute
		time.Sleep(length)
		cancel()
		done.Wait()
		if n := dialed.Load(); n < 10 || n > 2*int64(length/reconnectInterval) {
			t.Errorf("%d attempts to connect in %v", n, length)
		}
	})
}
