package controlbench

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/lab/controlbench/hollow"
	"example.org/elmspan/raft/storage"
)

// What a member of the core holds for 300 watchers, of which none takes a byte: with
// 10,000 routes and 300 servers, each is told the whole anew after each of three changes, and each
// answer and each piece that was ever given out is still queued as encoded. The heap after
// a collection depends on nothing that else runs on the machine. Beyond what the queues
// themselves hold, a piece of each table for a watcher at most (api.PieceSize), all is held
// once: 8 MB, of which 2.4 were measured. With 9.8 MB of queues at the most, the collector's
// 15 % and 9 MB of a process at rest that is 30 MB, under the 40 that [TestPeakOfTheCore]
// asked for on an idle machine. (Fails where a configuration is encoded for each that asks,
// 300 times 0.17 MB, or a piece is copied for each.)
func TestHeldForWatchersThatTakeNothing(t *testing.T) {
	const most = 8_000_000.0
	watchers, routes, changes := 300, 10_000, 3
	if raced {
		watchers, routes = 20, 500
	}
	core, ctx := oneCore(t)
	base := heap()
	config := hollow.Config(routes, 100, 3)
	var (
		mu     sync.Mutex
		queued [][]byte             // answers that are being written: the newest for each watcher
		given  []*api.WatchResponse // all answers that were given out ...
		pieces []*api.Chunk         // ... and all pieces
	)
	for change := range changes + 1 {
		config.Revision = uint64(change + 1)
		config.Routes[change].TrafficSplit[0].Weight++
		bring(t, ctx, core, config)
		if change == 0 {
			var list []api.Server
			for i := range 300 {
				list = append(list, hollow.Server(i, 3, 4))
			}
			core.SetServers(list)
		}
		queued = make([][]byte, watchers)
		var all sync.WaitGroup
		for i := range watchers {
			all.Go(func() {
				n, ps, err := whole(ctx, core)
				if err == nil {
					queued[i], err = cbor.Marshal(n) // as the transport holds it, until it is written
				}
				if err != nil {
					t.Errorf("watcher %d is not told the whole: %v", i, err)
					return
				}
				mu.Lock()
				defer mu.Unlock()
				given, pieces = append(given, n), append(pieces, ps...)
			})
		}
		all.Wait()
		if t.Failed() {
			return
		}
	}
	queues := 0
	for _, q := range queued {
		queues += cap(q)
	}
	// What the test keeps for itself: messages around the slices that the core gave out.
	own := float64(queues + len(given)*400 + len(pieces)*64)
	held := heap() - base - own
	s := core.Status()
	t.Logf("%d watchers, %d routes: the core holds %.1f MB; differences %.2f MB; queues %.1f MB, %d pieces", watchers, routes, held/1e6,
		float64(s.DeltaBytes)/1e6, float64(queues)/1e6, len(pieces))
	if held > most {
		t.Errorf("the core holds %.1f MB for %d watchers, %.1f at most", held/1e6, watchers, most/1e6)
	}
	if s.DeltaBytes > s.MaxDeltaBytes || queues > 2*watchers*2*api.ChunkSize {
		t.Errorf("%d bytes of differences of %d at most, %d of queues", s.DeltaBytes, s.MaxDeltaBytes, queues)
	}
	runtime.KeepAlive(given)
	runtime.KeepAlive(pieces)
	runtime.KeepAlive(config)
}

// whole has a watcher told all, as one that has nothing.
func whole(ctx context.Context, core *controlplane.Core) (*api.WatchResponse, []*api.Chunk, error) {
	n, err := core.Watch(ctx, &api.WatchRequest{Name: "w"})
	if err != nil {
		return nil, nil, err
	}
	if !n.Lease || n.ConfigDelta == nil || n.ServersDelta == nil {
		return nil, nil, fmt.Errorf("lease %v, configuration %v, list %v", n.Lease, n.ConfigDelta != nil, n.ServersDelta != nil)
	}
	var pieces []*api.Chunk
	for at := len(n.ConfigDelta.Data); at < n.ConfigDelta.Size; {
		p, err := core.Fetch(ctx, &api.FetchRequest{Table: api.ConfigTable, From: n.ConfigDelta.From, To: n.ConfigDelta.To, Offset: at})
		if err != nil {
			return nil, nil, err
		}
		if len(p.Data) == 0 || len(p.Data) > api.ChunkSize {
			return nil, nil, fmt.Errorf("a piece of %d bytes at %d of %d", len(p.Data), at, n.ConfigDelta.Size)
		}
		pieces = append(pieces, p)
		at += len(p.Data)
	}
	return n, pieces, nil
}

// oneCore starts a core of one member in this process.
func oneCore(t *testing.T) (*controlplane.Core, context.Context) {
	t.Helper()
	store, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	conns := api.NewConnPool(nil)
	const addr = "127.0.0.1:1" // nobody calls it
	core, err := controlplane.NewCore(controlplane.CoreConfig{Addr: addr, Seeds: []string{addr}, Bootstrap: true, Voters: 1, Store: store, Conns: conns,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { core.Run(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		conns.Close()
		store.Close()
	})
	return core, ctx
}

// bring has a configuration taken, also where the member does not lead yet.
func bring(t *testing.T, ctx context.Context, core *controlplane.Core, c *api.Config) {
	t.Helper()
	data, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	end := time.After(5 * time.Minute) // against a hang alone
	again := time.NewTicker(10 * time.Millisecond)
	defer again.Stop()
	for {
		r, err := core.Replace(ctx, &api.ReplaceRequest{Base: c.Revision - 1, Config: data})
		if err == nil && r.Status == http.StatusOK {
			return
		}
		select {
		case <-again.C:
		case <-end:
			t.Fatalf("revision %d was not taken: %+v, %v", c.Revision, r, err)
		}
	}
}

// heap is what the heap holds after a collection, in bytes.
func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
