package controlplane

import (
	"context"
	"sync"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
)

const (
	// readIndexTimeout bounds the wait for a read index, and the call to the leader for one.
	readIndexTimeout = 700 * time.Millisecond
	// readIndexInterval is the batching interval of read indexes: all reads within it share one
	// round of heartbeats. A longer interval delays each read; with a shorter one a leader sends
	// more heartbeats.
	readIndexInterval = 25 * time.Millisecond
)

// readIndexBatcher confirms that this member may serve reads from its applied state, by read index
// (Raft dissertation, 6.4). A leader starts one round of heartbeats for all waiting reads; another
// member makes one call to the leader for all reads that wait at it. All fields are guarded by
// Core.mu, which is released while a read waits.
type readIndexBatcher struct {
	cfg       *CoreConfig
	mu        *sync.Mutex // Core.mu
	lifecycle *lifecycle
	host      *raftHost
	notify    *notifier
	endpoints *endpointManager

	heartbeatDue  bool // a round of heartbeats is scheduled, as leader
	lastHeartbeat time.Time
	next          *readIndexBatch // for the next call to the leader; nil: no read waits for it
	querying      bool            // a goroutine runs queryLeader
}

// readIndexBatch is the reads that share one call to the leader.
type readIndexBatch struct {
	done     chan struct{}         // closed when the call is over
	response api.ReadIndexResponse // of the leader; not OK if there was none
}

// waitState is the state of a condition that a caller waits for.
type waitState int

const (
	waitPending waitState = iota
	waitSucceeded
	waitFailed // the condition can no longer become true
)

// scheduleHeartbeat schedules a round of heartbeats, which a leader starts within
// readIndexInterval. Reads that arrive until then share the round.
func (b *readIndexBatcher) scheduleHeartbeat() {
	if b.heartbeatDue {
		return
	}
	b.heartbeatDue = true
	// At least 1 ns: with the fake clock of testing/synctest a timer that is due at once runs on
	// the caller's thread, which crashes the race detector of Go 1.26.
	time.AfterFunc(max(1, readIndexInterval-time.Since(b.lastHeartbeat)), func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.heartbeatDue, b.lastHeartbeat = false, time.Now()
		if b.host.leads() {
			b.host.node.BroadcastHeartbeat()
			b.host.handleReady()
		}
	})
}

// confirmLeadership waits until a majority has responded to a round of heartbeats that began after
// this call. Then this member was the leader at that time, and every entry acknowledged before the
// call is committed at or below index. Called with the mutex held.
func (b *readIndexBatcher) confirmLeadership(ctx context.Context) (index uint64, ok bool) {
	node := b.host.node
	round, term := node.NextReadIndexRound(), node.Term()
	b.scheduleHeartbeat()
	ok = b.waitFor(ctx, func() waitState {
		switch {
		case !b.host.leads() || node.Term() != term:
			return waitFailed
		case node.HasCommittedInTerm() && node.ConfirmedReadIndexRound() >= round:
			return waitSucceeded
		}
		return waitPending
	})
	return node.CommitIndex(), ok
}

// waitFor waits until a condition succeeds, fails or takes longer than readIndexTimeout. It is
// called, and calls the condition, with the mutex held.
func (b *readIndexBatcher) waitFor(ctx context.Context, condition func() waitState) bool {
	timeout := time.NewTimer(readIndexTimeout)
	defer timeout.Stop()
	for {
		switch condition() {
		case waitSucceeded:
			return true
		case waitFailed:
			return false
		case waitPending:
		}
		acknowledged, changed := b.notify.acknowledged, b.notify.changed
		b.mu.Unlock()
		ended := false
		select {
		case <-acknowledged:
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		b.mu.Lock()
		if ended {
			return false
		}
	}
}

// ReadIndex returns a read index to another member, for all reads that wait there.
func (b *readIndexBatcher) ReadIndex(ctx context.Context, _ *api.Empty) (*api.ReadIndexResponse, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.host.leads() {
		return &api.ReadIndexResponse{}, nil
	}
	index, ok := b.confirmLeadership(ctx)
	if !ok {
		return &api.ReadIndexResponse{}, nil
	}
	servers := &b.endpoints.servers
	return &api.ReadIndexResponse{
		Confirmed:      true,
		Index:          index,
		ServersVersion: servers.table.Version(),
		ClockMs:        servers.clockMs(),
	}, nil
}

// confirmRead waits until it is confirmed that every entry acknowledged before this call is applied
// here, and that the server list is not older than the leader's. Called with the mutex held.
func (b *readIndexBatcher) confirmRead(ctx context.Context) bool {
	if b.host.leads() {
		index, ok := b.confirmLeadership(ctx)
		// Committed entries may not have been applied yet.
		return ok && b.waitFor(ctx, func() waitState { return b.applied(index, 0) })
	}
	if b.host.leaderAddr() == "" || b.host.suspended {
		return false
	}
	batch := b.joinBatch()
	b.mu.Unlock()
	select {
	case <-batch.done:
	case <-ctx.Done():
	}
	b.mu.Lock()
	select {
	case <-batch.done:
	default:
		return false
	}
	response := &batch.response
	return response.Confirmed &&
		b.waitFor(ctx, func() waitState { return b.applied(response.Index, response.ServersVersion) })
}

// applied reports whether the applied state and the server list have reached an index and a
// version.
func (b *readIndexBatcher) applied(index, servers uint64) waitState {
	switch {
	case b.host.node.AppliedIndex() >= index && b.endpoints.servers.table.Version() >= servers:
		return waitSucceeded
	case b.host.suspended:
		return waitFailed
	}
	return waitPending
}

// joinBatch returns the batch of the next call to the leader, and starts queryLeader if necessary.
func (b *readIndexBatcher) joinBatch() *readIndexBatch {
	if b.next == nil {
		b.next = &readIndexBatch{done: make(chan struct{})}
		if !b.querying && b.lifecycle.ctx != nil {
			b.querying = true
			b.lifecycle.tasks.Go(b.queryLeader)
		}
	}
	return b.next
}

// queryLeader calls the leader for one batch after the other, until no read is waiting.
func (b *readIndexBatcher) queryLeader() {
	for {
		backoff.Sleep(b.lifecycle.ctx, readIndexInterval)
		b.mu.Lock()
		batch, addr := b.next, b.host.leaderAddr()
		b.next = nil
		if batch == nil {
			b.querying = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		if conn, err := b.cfg.Conns.Conn(addr); addr != "" && err == nil {
			ctx, cancel := context.WithTimeout(b.lifecycle.ctx, readIndexTimeout)
			if response, err := api.CallReadIndex(ctx, conn); err == nil {
				batch.response = *response
			}
			cancel()
		}
		close(batch.done)
	}
}
