package controlbench

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/versioned"
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
	counts   *counts
	serves   bool // had all and a lease once
	// When its last lease came, and the longest time between two of them, in ns since
	// the start of the run and in ns.
	leasedAt atomic.Int64
	longest  atomic.Int64
}

// counts are over all watchers.
type counts struct {
	begun               time.Time
	bytes, asks, pieces atomic.Int64
	failed, leased      atomic.Int64
}

// leased notes a lease.
func (w *watcher) leased() {
	w.counts.leased.Add(1)
	now := int64(time.Since(w.counts.begun))
	if last := w.leasedAt.Swap(now); last != 0 {
		w.longest.Store(max(w.longest.Load(), now-last))
	}
}

// taken tells that a watcher has a version in full.
type taken struct {
	revision uint64
	at       time.Time
	what     what
	by       *watcher
}

// what a watcher has taken.
type what int

const (
	config what = iota
	list        // of servers, newer than it had
	serves      // it has configuration, list and lease, for the first time since its start
)

func (w *watcher) run(ctx context.Context) {
	defer close(w.done)
	at := 0
	for ctx.Err() == nil {
		if w.ask(ctx, w.conns[at%len(w.conns)]) {
			continue
		}
		if ctx.Err() == nil {
			w.counts.failed.Add(1)
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
	q := &api.WatchRequest{Name: "w", Revision: w.revision.Load(), ServersVersion: w.servers.Load(), WaitMs: askWait.Milliseconds()}
	w.counts.asks.Add(1)
	call, cancel := context.WithTimeout(ctx, askWait+askSpare)
	n, err := api.CallWatch(call, conn, q)
	cancel()
	if err != nil {
		return false
	}
	if n.Lease {
		w.leased()
	}
	if !w.take(ctx, conn, n.ConfigDelta, api.ConfigTable, &w.revision) || !w.take(ctx, conn, n.ServersDelta, api.ServerTable, &w.servers) {
		return false
	}
	if n.Lease && !w.serves && w.revision.Load() != 0 && w.servers.Load() != 0 {
		w.serves = true
		w.tell(ctx, taken{revision: w.revision.Load(), at: time.Now(), what: serves})
	}
	return n.Lease
}

func (w *watcher) tell(ctx context.Context, t taken) {
	t.by = w
	select {
	case w.news <- t:
	case <-ctx.Done():
	}
}

// take has a difference come over the link.
func (w *watcher) take(ctx context.Context, conn *grpc.ClientConn, p *api.EncodedDelta, table uint8, version *atomic.Uint64) bool {
	if p == nil {
		return true
	}
	pace := func(n int) {
		w.counts.bytes.Add(int64(n))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(n) * w.perByte):
		}
	}
	pace(len(p.Data))
	data, err := controlplane.FetchDelta(ctx, p, func(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
		call, cancel := context.WithTimeout(ctx, askWait)
		defer cancel()
		w.counts.pieces.Add(1)
		r, err := api.CallFetch(call, conn, q)
		if err == nil {
			pace(len(r.Data))
		}
		return r, err
	}, table)
	if err != nil {
		return false
	}
	if _, err := versioned.OpenDelta(data); err != nil {
		return false
	}
	version.Store(p.To)
	if table == api.ConfigTable {
		w.tell(ctx, taken{revision: p.To, at: time.Now(), what: config})
	} else {
		select {
		case w.news <- taken{revision: w.revision.Load(), at: time.Now(), what: list, by: w}:
		default: // nobody waits for lists now
		}
	}
	return true
}
