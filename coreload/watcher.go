package coreload

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/changes"
	"example.org/elmspan/controlplane"
)

const (
	askWait  = 1500 * time.Millisecond
	askSpare = 600 * time.Millisecond
	again    = 100 * time.Millisecond
)

// watcher asks a member of the core as a limiter does, and takes what comes no
// faster than its link.
type watcher struct {
	conns    []*grpc.ClientConn // of the members, the one that is asked first first
	perByte  time.Duration
	cancel   context.CancelFunc
	done     chan struct{}
	revision atomic.Uint64
	servers  atomic.Uint64
	forget   atomic.Bool
	news     chan<- taken
	bytes    atomic.Int64
	failed   atomic.Int64
	leased   atomic.Int64
}

// taken tells that a watcher has a version in full.
type taken struct {
	revision uint64
	at       time.Time
}

func (w *watcher) run(ctx context.Context) {
	defer close(w.done)
	at := 0
	for ctx.Err() == nil {
		if w.ask(ctx, w.conns[at%len(w.conns)]) {
			continue
		}
		if ctx.Err() == nil {
			w.failed.Add(1)
			at++
		}
		select {
		case <-ctx.Done():
		case <-time.After(again):
		}
	}
}

func (w *watcher) stop() {
	w.cancel()
	<-w.done
	for _, c := range w.conns {
		c.Close()
	}
}

func (w *watcher) ask(ctx context.Context, conn *grpc.ClientConn) bool {
	if w.forget.Swap(false) {
		w.revision.Store(0)
		w.servers.Store(0)
	}
	q := &api.Watch{Name: "w", Revision: w.revision.Load(), Servers: w.servers.Load(), WaitMs: askWait.Milliseconds()}
	call, cancel := context.WithTimeout(ctx, askWait+askSpare)
	n, err := api.CallWatch(call, conn, q)
	cancel()
	if err != nil {
		return false
	}
	if n.Lease {
		w.leased.Add(1)
	}
	if !w.take(ctx, conn, n.Config, api.ConfigTable, &w.revision) || !w.take(ctx, conn, n.List, api.ServerTable, &w.servers) {
		return false
	}
	return n.Lease
}

// take has a difference come over the link.
func (w *watcher) take(ctx context.Context, conn *grpc.ClientConn, p *api.Parcel, table uint8, version *atomic.Uint64) bool {
	if p == nil {
		return true
	}
	pace := func(n int) {
		w.bytes.Add(int64(n))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(n) * w.perByte):
		}
	}
	pace(len(p.Data))
	data, err := controlplane.FetchParcel(ctx, p, func(ctx context.Context, q *api.Fetch) (*api.Piece, error) {
		call, cancel := context.WithTimeout(ctx, askWait)
		defer cancel()
		r, err := api.CallFetch(call, conn, q)
		if err == nil {
			pace(len(r.Data))
		}
		return r, err
	}, table)
	if err != nil {
		return false
	}
	if _, err := changes.Open(data); err != nil {
		return false
	}
	version.Store(p.To)
	if table == api.ConfigTable {
		select {
		case w.news <- taken{p.To, time.Now()}:
		case <-ctx.Done():
		}
	}
	return true
}
