package controlplane

import (
	"context"
	"sync"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

const (
	maxWatchWait = 5 * time.Second
	// maxWatches bounds the active watches of one member. Each uses memory for at most one chunk of
	// a delta (api.ChunkSize).
	maxWatches = 1024
)

// watchServer serves limiters that watch the configuration and the server list, and members that
// watch the leader's server list. A response has the changes since the versions that the caller
// has, and a lease if a majority has confirmed the leadership. Every member serves watches, so that
// the load is distributed. All fields are guarded by Core.mu, which is released while a watch waits.
type watchServer struct {
	mu        *sync.Mutex // Core.mu
	host      *raftHost
	store     *configStore
	reads     *readIndexBatcher
	endpoints *endpointManager
	notify    *notifier

	configs       versioned.Table // versions of the configuration's rows
	activeWatches int             // number of watches being served
}

// publish makes the rows of a committed change the newest version for watchers.
func (w *watchServer) publish(c *configChange) {
	w.configs.ReplaceWithDiff(c.rows.Revision, c.rows.Rows, c.delta)
	w.notify.notifyWatchers()
}

// Watch responds to a limiter or another member; see [Core.Watch].
func (w *watchServer) Watch(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
	start := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaderUnknown() || w.activeWatches >= maxWatches {
		return &api.WatchResponse{Members: w.host.memberAddrs()}, nil
	}
	w.activeWatches++
	defer func() { w.activeWatches-- }()
	if q.WaitMs > 0 {
		if !w.awaitChange(ctx, q) {
			return nil, ctx.Err()
		}
	}
	waited := time.Since(start)
	r := &api.WatchResponse{
		Lease:        w.reads.confirmRead(ctx),
		LeaseDelayMs: waited.Milliseconds(),
		Leader:       w.host.leaderAddr(),
		Members:      w.host.memberAddrs(),
	}
	if !r.Lease {
		return r, nil
	}
	if err := w.addDeltas(r, q); err != nil {
		return nil, err
	}
	r.ClockMs = w.endpoints.servers.clockMs()
	return r, nil
}

// addDeltas adds the deltas from the versions in a request to the newest ones to a response.
func (w *watchServer) addDeltas(r *api.WatchResponse, q *api.WatchRequest) error {
	var err error
	if r.Revision = w.store.state.Revision; r.Revision > q.Revision {
		if r.ConfigDelta, err = newDelta(&w.configs, q.Revision); err != nil {
			return err
		}
	}
	servers := &w.endpoints.servers.table
	if r.ServersVersion = servers.Version(); r.ServersVersion > q.ServersVersion {
		if r.ServersDelta, err = newDelta(servers, q.ServersVersion); err != nil {
			return err
		}
	}
	return nil
}

func (w *watchServer) leaderUnknown() bool { return !w.host.leads() && w.host.leaderAddr() == "" }

// awaitChange waits until something is newer than the versions in a request, the leader is unknown
// or the wait of the request is over. It returns false if the call has ended.
func (w *watchServer) awaitChange(ctx context.Context, q *api.WatchRequest) bool {
	timeout := time.NewTimer(max(1, min(maxWatchWait, time.Duration(q.WaitMs)*time.Millisecond)))
	defer timeout.Stop()
	for w.store.state.Revision <= q.Revision && w.endpoints.servers.table.Version() <= q.ServersVersion {
		changed := w.notify.changed
		w.mu.Unlock()
		timedOut, ended := false, false
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			ended = true
		}
		w.mu.Lock()
		if ended {
			return false
		}
		if timedOut || w.leaderUnknown() {
			break
		}
	}
	return true
}

// Fetch returns a further chunk of a delta; see [Core.Fetch].
func (w *watchServer) Fetch(_ context.Context, q *api.FetchRequest) (*api.Chunk, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	table := &w.configs
	if q.Table == api.ServerTable {
		table = &w.endpoints.servers.table
	}
	b, ok := table.CachedDelta(q.From, q.To)
	if !ok || q.Offset < 0 || q.Offset >= len(b.Data) {
		return &api.Chunk{}, nil
	}
	return &api.Chunk{Data: b.Data[q.Offset:min(len(b.Data), q.Offset+api.ChunkSize)]}, nil
}
