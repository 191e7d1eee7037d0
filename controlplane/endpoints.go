package controlplane

import (
	"context"
	"math"
	"sync"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/versioned"
)

const (
	endpointWatchWait  = 1500 * time.Millisecond // how long the leader may hold a follower's watch
	endpointRetryDelay = 60 * time.Millisecond
)

// endpointManager maintains the server list of one member: the leader merges the lists that the
// platform returns, the other members watch the leader's. All fields are guarded by Core.mu, which
// is released during calls.
type endpointManager struct {
	cfg    *CoreConfig
	mu     *sync.Mutex // Core.mu
	host   *raftHost
	notify *notifier

	servers endpointList
}

// SetServers merges a server list of the platform into the list; see [Core.SetServers].
func (m *endpointManager) SetServers(list []api.Server) (changed, uncertain bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.host.leads() {
		return false, false
	}
	changed, uncertain, err := m.servers.merge(m.host.node.Term(), list)
	if err != nil {
		m.cfg.Log.Error("server list encoding failed", "error", err)
	}
	if changed {
		m.notify.notifyWatchers()
	}
	return changed, uncertain
}

// follow copies the leader's list while this member does not lead, until the context ends.
func (m *endpointManager) follow(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		addr, version := m.host.leaderAddr(), m.servers.table.Version()
		if m.host.leads() || addr == m.cfg.Addr {
			addr = ""
		}
		m.mu.Unlock()
		if addr == "" || !m.followOnce(ctx, addr, version) {
			backoff.Sleep(ctx, endpointRetryDelay)
		}
	}
}

// followOnce watches the leader's list once, and reports whether the next watch may follow at once.
func (m *endpointManager) followOnce(ctx context.Context, addr string, version uint64) bool {
	conn, err := m.cfg.Conns.Conn(addr)
	if err != nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, endpointWatchWait+readIndexTimeout)
	defer cancel()
	r, err := api.CallWatch(call, conn, &api.WatchRequest{
		Name:           "core",
		Revision:       math.MaxUint64, // none wanted: configurations arrive through the log
		ServersVersion: version,
		WaitMs:         endpointWatchWait.Milliseconds(),
	})
	if err != nil || !r.Lease {
		return false
	}
	if r.ServersDelta == nil {
		return true
	}
	fetch := func(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) { return api.CallFetch(ctx, conn, q) }
	data, err := FetchDelta(call, r.ServersDelta, fetch, api.ServerTable)
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.host.leads() || m.host.leaderAddr() != addr {
		return false
	}
	return m.applyDelta(data, r.ClockMs)
}

// applyDelta applies a delta from the leader to the list. If that fails, the list is reset, so that
// the next watch requests the complete list.
func (m *endpointManager) applyDelta(data []byte, clockMs float64) bool {
	delta, err := versioned.OpenDelta(data)
	if err == nil {
		err = m.servers.applyDelta(delta, clockMs)
	}
	if err != nil {
		m.cfg.Log.Warn("server list delta rejected, complete list requested", "error", err)
		m.servers.table = versioned.Table{}
		return false
	}
	m.notify.notifyWatchers()
	return true
}
