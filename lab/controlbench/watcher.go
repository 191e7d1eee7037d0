package controlbench

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/versioned"
)

const (
	// watchWait is how long a member waits for something new, as a limiter asks it to; watchMargin how much
	// later its answer may come.
	watchWait   = 1500 * time.Millisecond
	watchMargin = 600 * time.Millisecond
	// watchRetryPause follows a watch that failed.
	watchRetryPause = 100 * time.Millisecond
	// nsPerByteAtMbps: at 1 Mbit/s a byte takes so many nanoseconds.
	nsPerByteAtMbps = 8000
)

// watcher watches a member of the control plane as a limiter does, and takes deltas no faster than
// its link.
type watcher struct {
	conns    []*grpc.ClientConn // of the members, the one that is watched first first
	perByte  time.Duration      // of the link
	cancel   context.CancelFunc
	done     chan struct{}
	events   chan<- watchEvent
	counters *counters
	serving  bool // has had everything and a lease once

	revision       atomic.Uint64
	serversVersion atomic.Uint64
	forget         atomic.Bool // the full tables are to be asked for
	// leasedAt is when the last lease came, in ns since the beginning of the run, and longestGap the
	// longest time between two, in ns.
	leasedAt   atomic.Int64
	longestGap atomic.Int64
}

// counters are over all watchers.
type counters struct {
	begun                       time.Time
	deltaBytes, watches, chunks atomic.Int64
	failed, leases              atomic.Int64
}

// watchEvent says what a watcher has now.
type watchEvent struct {
	kind     eventKind
	revision uint64
	at       time.Time
	watcher  *watcher
}

// eventKind is what has happened at a watcher.
type eventKind int

const (
	configApplied  eventKind = iota
	serversApplied           // a newer server list
	canServe                 // it has configuration, list and lease, for the first time since its start
)

// newWatcher is a watcher that is not started. It watches another member first than the one before.
func (b *bench) newWatcher(i int) (*watcher, error) {
	w := &watcher{
		cancel:   func() {},
		done:     make(chan struct{}),
		events:   b.events,
		counters: &b.counters,
		perByte:  time.Duration(nsPerByteAtMbps / b.spec.LinkMbps),
	}
	w.leasedAt.Store(int64(time.Since(b.counters.begun)))
	for k := range b.spec.Members {
		conn, err := api.Dial(b.addr((i+k)%b.spec.Members, internalPort), nil)
		if err != nil {
			return nil, fmt.Errorf("controlbench: %w", err)
		}
		w.conns = append(w.conns, conn)
	}
	return w, nil
}

// start watches until the context ends, or cancel is called.
func (w *watcher) start(ctx context.Context) {
	ctx, w.cancel = context.WithCancel(ctx)
	go w.run(ctx)
}

// close waits for a watcher that was canceled.
func (w *watcher) close() error {
	<-w.done
	var errs []error
	for _, conn := range w.conns {
		errs = append(errs, conn.Close())
	}
	return errors.Join(errs...)
}

func (w *watcher) run(ctx context.Context) {
	defer close(w.done)
	watched := 0
	for ctx.Err() == nil {
		if w.watch(ctx, w.conns[watched%len(w.conns)]) {
			continue
		}
		if ctx.Err() == nil {
			w.counters.failed.Add(1)
			watched++
		}
		if sleep(ctx, watchRetryPause) != nil {
			return
		}
	}
}

// noteLease notes that a lease has come.
func (w *watcher) noteLease() {
	w.counters.leases.Add(1)
	now := int64(time.Since(w.counters.begun))
	if last := w.leasedAt.Swap(now); last != 0 {
		w.longestGap.Store(max(w.longestGap.Load(), now-last))
	}
}

// longestWithoutLease is the longest time between two leases, or since the last one.
func (w *watcher) longestWithoutLease() time.Duration {
	since := time.Since(w.counters.begun) - time.Duration(w.leasedAt.Load())
	return max(time.Duration(w.longestGap.Load()), since)
}

// watch makes one watch. It reports whether it was answered with a lease and all deltas came.
func (w *watcher) watch(ctx context.Context, conn *grpc.ClientConn) bool {
	if w.forget.Swap(false) {
		w.revision.Store(0)
		w.serversVersion.Store(0)
	}
	request := &api.WatchRequest{
		Name:           "w",
		Revision:       w.revision.Load(),
		ServersVersion: w.serversVersion.Load(),
		WaitMs:         watchWait.Milliseconds(),
	}
	w.counters.watches.Add(1)
	call, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	response, err := api.CallWatch(call, conn, request)
	cancel()
	if err != nil {
		return false
	}
	if response.Lease {
		w.noteLease()
	}
	if !w.applyConfig(ctx, conn, response.ConfigDelta) || !w.applyServers(ctx, conn, response.ServersDelta) {
		return false
	}
	if response.Lease && !w.serving && w.revision.Load() != 0 && w.serversVersion.Load() != 0 {
		w.serving = true
		w.notify(ctx, canServe)
	}
	return response.Lease
}

// notify says what has happened, and waits until that is read.
func (w *watcher) notify(ctx context.Context, kind eventKind) {
	select {
	case w.events <- w.newEvent(kind):
	case <-ctx.Done():
	}
}

func (w *watcher) newEvent(kind eventKind) watchEvent {
	return watchEvent{kind: kind, revision: w.revision.Load(), at: time.Now(), watcher: w}
}

func (w *watcher) applyConfig(ctx context.Context, conn *grpc.ClientConn, delta *api.EncodedDelta) bool {
	if delta == nil {
		return true
	}
	if !w.receive(ctx, conn, delta, api.ConfigTable) {
		return false
	}
	w.revision.Store(delta.To)
	w.notify(ctx, configApplied)
	return true
}

func (w *watcher) applyServers(ctx context.Context, conn *grpc.ClientConn, delta *api.EncodedDelta) bool {
	if delta == nil {
		return true
	}
	if !w.receive(ctx, conn, delta, api.ServerTable) {
		return false
	}
	w.serversVersion.Store(delta.To)
	select {
	case w.events <- w.newEvent(serversApplied):
	default: // nobody waits for lists now
	}
	return true
}

// receive has a delta come over the link, and reports whether it is complete.
func (w *watcher) receive(ctx context.Context, conn *grpc.ClientConn, delta *api.EncodedDelta, table uint8) bool {
	fetch := func(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
		call, cancel := context.WithTimeout(ctx, watchWait)
		defer cancel()
		w.counters.chunks.Add(1)
		chunk, err := api.CallFetch(call, conn, q)
		if err == nil {
			w.transfer(ctx, len(chunk.Data))
		}
		return chunk, err
	}
	w.transfer(ctx, len(delta.Data))
	data, err := controlplane.FetchDelta(ctx, delta, fetch, table)
	if err == nil {
		_, err = versioned.OpenDelta(data)
	}
	return err == nil
}

// transfer waits for as long as the link takes for so many bytes.
func (w *watcher) transfer(ctx context.Context, bytes int) {
	w.counters.deltaBytes.Add(int64(bytes))
	_ = sleep(ctx, time.Duration(bytes)*w.perByte) // a context that has ended ends the watch
}
