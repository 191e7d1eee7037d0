package controlplane

import (
	"context"
	"sync"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
)

const (
	readIndexTimeout = 700 * time.Millisecond
	// readIndexInterval is how long read indexes are gathered for: all that are wanted within it
	// share one round of heartbeats. Longer, and each read waits; shorter, and a leader sends more.
	readIndexInterval = 25 * time.Millisecond
)

// readIndexBatcher confirms that what is answered here is the newest (Raft dissertation, 6.4).
// A leader begins one round of heartbeats for all who wait; another member asks the leader once
// for all who wait at it. All fields are guarded by Core.mu, which is given up while it waits.
type readIndexBatcher struct {
	cfg       *CoreConfig
	mu        *sync.Mutex // Core.mu
	lifecycle *lifecycle
	host      *raftHost
	notify    *notifier
	endpoints *endpointManager

	heartbeatDue  bool // a round of heartbeats is scheduled, as leader
	lastHeartbeat time.Time
	next          *readIndexBatch // part of the next call to the leader
	querying      bool            // a goroutine asks the leader
}

// readIndexBatch is one call to the leader for all who wait.
type readIndexBatch struct {
	done     chan struct{}         // closed when the call is over
	response api.ReadIndexResponse // of the leader; not OK where there was none
}

// waitState is what a condition that is waited for has come to.
type waitState int

const (
	waitPending waitState = iota
	waitSucceeded
	waitFailed // it can't hold any more
)

// scheduleHeartbeat has a leader begin a round of heartbeats within readIndexInterval: those
// who come in the meantime share it.
func (b *readIndexBatcher) scheduleHeartbeat() {
	if b.heartbeatDue {
		return
	}
	b.heartbeatDue = true
	// Never due as it is made: in fake time such a one runs on the caller's thread, which
	// crashes Go 1.26's race detector.
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

// confirmLeadership waits until a majority has answered a round of heartbeats that began after
// this call: this member led then, and all that was acknowledged before is committed up to
// index. Called under the mutex.
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

// waitFor waits until a condition holds, can't hold any more or takes too long. Called under
// the mutex, as the condition is.
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

// ReadIndex answers a member that asks for those who wait at it.
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
		OK:             true,
		Index:          index,
		ServersVersion: servers.table.Version(),
		ClockMs:        servers.clockMs(),
	}, nil
}

// confirmRead waits until it is sure that all that was acknowledged before this call is applied
// here, and that the list of servers is the leader's. Called under the mutex.
func (b *readIndexBatcher) confirmRead(ctx context.Context) bool {
	if b.host.leads() {
		index, ok := b.confirmLeadership(ctx)
		// What is committed may still be on its way into the state that is answered from.
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
	answer := &batch.response
	return answer.OK && b.waitFor(ctx, func() waitState { return b.applied(answer.Index, answer.ServersVersion) })
}

// applied reports whether what is answered from here has come to an index and a version of the
// list of servers.
func (b *readIndexBatcher) applied(index, servers uint64) waitState {
	switch {
	case b.host.node.AppliedIndex() >= index && b.endpoints.servers.table.Version() >= servers:
		return waitSucceeded
	case b.host.suspended:
		return waitFailed
	}
	return waitPending
}

// joinBatch returns what the next call asks the leader, and has one made.
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

// queryLeader asks for all who wait, one call after the other, until nobody does.
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
			if answer, err := api.CallReadIndex(ctx, conn); err == nil {
				batch.response = *answer
			}
			cancel()
		}
		close(batch.done)
	}
}
