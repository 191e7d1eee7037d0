package controlbench

import (
	"context"
	"errors"
	"fmt"
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

// maxHeldBytes is what a member may hold beside the queues of its transport: 9.5 MB were measured. With
// 9.8 MB of queues at the most, the collector's 15 % and 9 MB of a process at rest that is 35 MB, under the
// 60 that [TestPeakOfTheCore] asks for.
const maxHeldBytes = 12_000_000.0

// What a member holds for 300 watchers, of which none takes a byte: with 10,000 routes and 300
// servers, each is sent the full table anew after each of three changes, and each response and chunk
// that was ever given out is still referred to. The heap after a collection depends on nothing else
// that runs on the machine. Everything is held once, however many watchers there are. (Fails where a
// configuration is encoded for each that asks, 300 times 0.17 MB, or a chunk is copied for each.)
//
// The responses as the transport encodes them are not the member's: they are let go before the heap
// is measured. (Before, they were subtracted from a heap that no longer held them: 3.3 MB were
// reported, 8 allowed, in place of 9.5.)
func TestHeldForWatchersThatTakeNothing(t *testing.T) {
	watchers, routes, changes := 300, 10_000, 3
	if raced {
		watchers, routes = 20, 500
	}
	core, ctx := oneCore(t)
	base := heapBytes()
	config := hollow.Config(routes, 100, 3)
	given := &givenOut{}
	queues := 0
	for change := range changes + 1 {
		config.Revision = uint64(change + 1)
		config.Routes[change].TrafficSplit[0].Weight++
		replaceConfig(ctx, t, core, config)
		if change == 0 {
			core.SetServers(hollowServers(300))
		}
		queues = given.watchAll(ctx, t, core, watchers)
		if t.Failed() {
			return
		}
	}
	held := heapBytes() - base - given.ownBytes()
	status := core.Status()
	t.Logf("%d watchers, %d routes: the core holds %.1f MB; deltas %.2f MB; queues were %.1f MB, %d chunks",
		watchers, routes, held/bytesPerMB, float64(status.DeltaBytes)/bytesPerMB, float64(queues)/bytesPerMB,
		len(given.chunks))
	if held > maxHeldBytes {
		t.Errorf("the core holds %.1f MB for %d watchers, %.1f at most",
			held/bytesPerMB, watchers, maxHeldBytes/bytesPerMB)
	}
	if status.DeltaBytes > status.MaxDeltaBytes || queues > 2*watchers*2*api.ChunkSize {
		t.Errorf("%d bytes of deltas of %d at most, %d of queues", status.DeltaBytes, status.MaxDeltaBytes, queues)
	}
	runtime.KeepAlive(given)
	runtime.KeepAlive(config)
}

// givenOut has all that a member ever gave to watchers.
type givenOut struct {
	mu        sync.Mutex // guards the rest
	responses []*api.WatchResponse
	chunks    []*api.Chunk
	queues    int // bytes of the newest responses, as the transport holds them until they are written
}

// watchAll has so many watchers ask for everything at once. It returns the bytes of their encoded
// responses, which nobody keeps.
func (g *givenOut) watchAll(ctx context.Context, t *testing.T, core *controlplane.Core, watchers int) (queues int) {
	t.Helper()
	g.queues = 0
	var all sync.WaitGroup
	for i := range watchers {
		all.Go(func() {
			if err := g.watchOnce(ctx, core); err != nil {
				t.Errorf("watcher %d does not get everything: %v", i, err)
			}
		})
	}
	all.Wait()
	return g.queues
}

func (g *givenOut) watchOnce(ctx context.Context, core *controlplane.Core) error {
	response, chunks, err := fetchAll(ctx, core)
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(response)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queues += cap(encoded)
	g.responses, g.chunks = append(g.responses, response), append(g.chunks, chunks...)
	return nil
}

// ownBytes is what the test keeps for itself: messages around the slices that the member gave out.
func (g *givenOut) ownBytes() float64 {
	const responseBytes, chunkBytes = 400, 64
	return float64(len(g.responses)*responseBytes + len(g.chunks)*chunkBytes)
}

func hollowServers(count int) []api.Server {
	var list []api.Server
	for i := range count {
		list = append(list, hollow.Server(i, 3, 4))
	}
	return list
}

// fetchAll is what a watcher gets that has nothing.
func fetchAll(ctx context.Context, core *controlplane.Core) (*api.WatchResponse, []*api.Chunk, error) {
	response, err := core.Watch(ctx, &api.WatchRequest{Name: "w"})
	if err != nil {
		return nil, nil, err
	}
	delta := response.ConfigDelta
	if !response.Lease || delta == nil || response.ServersDelta == nil {
		return nil, nil, fmt.Errorf("lease %v, configuration %v, list %v",
			response.Lease, delta != nil, response.ServersDelta != nil)
	}
	var chunks []*api.Chunk
	for offset := len(delta.Data); offset < delta.Size; {
		request := &api.FetchRequest{Table: api.ConfigTable, From: delta.From, To: delta.To, Offset: offset}
		chunk, err := core.Fetch(ctx, request)
		if err != nil {
			return nil, nil, err
		}
		if len(chunk.Data) == 0 || len(chunk.Data) > api.ChunkSize {
			return nil, nil, fmt.Errorf("a chunk of %d bytes at %d of %d", len(chunk.Data), offset, delta.Size)
		}
		chunks = append(chunks, chunk)
		offset += len(chunk.Data)
	}
	return response, chunks, nil
}

// oneCore runs a member that is alone, in this process.
func oneCore(t *testing.T) (*controlplane.Core, context.Context) {
	t.Helper()
	store, err := storage.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	conns := api.NewConnPool(nil)
	const addr = "127.0.0.1:1" // nobody calls it
	core, err := controlplane.NewCore(controlplane.CoreConfig{
		Addr:      addr,
		Seeds:     []string{addr},
		Bootstrap: true,
		Voters:    1,
		Store:     store,
		Conns:     conns,
		Log:       slog.New(slog.DiscardHandler),
		Seed:      1,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- core.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		err := <-ended
		conns.Close()
		if err := errors.Join(err, store.Close()); err != nil {
			t.Error(err)
		}
	})
	return core, ctx
}

// replaceConfig has a configuration accepted, also where the member does not lead yet.
func replaceConfig(ctx context.Context, t *testing.T, core *controlplane.Core, c *api.Config) {
	t.Helper()
	data, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	end := time.After(hangTimeout)
	retry := time.NewTicker(10 * time.Millisecond)
	defer retry.Stop()
	for {
		r, err := core.Replace(ctx, &api.ReplaceRequest{Base: c.Revision - 1, Config: data})
		if err == nil && r.Status == http.StatusOK {
			return
		}
		select {
		case <-retry.C:
		case <-end:
			t.Fatalf("revision %d was not accepted: %+v, %v", c.Revision, r, err)
		}
	}
}

// heapBytes is what the heap holds after a collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
