package process

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/dataplane"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/versioned"
)

const (
	// watchWait is how long a member waits for changes before it answers a watch (long poll).
	// watchMargin is the additional time allowed for its answer to arrive.
	watchWait   = 1500 * time.Millisecond
	watchMargin = 600 * time.Millisecond
	// urgentTimeout is the time-out of a watch that must be answered immediately because the
	// process needs a lease or a full table. It is short enough that every member can be asked
	// in the remaining time of a lease.
	urgentTimeout = 450 * time.Millisecond
	// connectTimeout is how long an urgent watch waits for a connection. A machine that has no
	// power or has not started yet does not answer at all, so the limit is lower than for the
	// answer of a member with a connection.
	connectTimeout = 120 * time.Millisecond
	// chunkTimeout limits the fetch of one chunk of a delta that did not fit into the response, and
	// fetchTimeout that of all chunks. A member that answers no more is given up after the first;
	// the second is more than the largest delta takes on a link of 5 Mbit/s.
	chunkTimeout = 2 * time.Second
	fetchTimeout = time.Minute
	// minRetryPause and maxRetryPause bound the pause after a failed watch. Without a lease the
	// maximum is noLeaseRetryPause, because no requests can be served until there is one.
	minRetryPause     = 30 * time.Millisecond
	maxRetryPause     = 400 * time.Millisecond
	noLeaseRetryPause = 100 * time.Millisecond
)

// watchRandomStream separates the watcher's random numbers from those of others with the same
// seed.
const watchRandomStream = 1

// watcher keeps the data plane up to date: it asks a member of the control plane for changes
// since the gateway's versions, and for a lease. The fields up to gateway are set before run
// and do not change.
type watcher struct {
	name    func() string // returns the name of this node
	seed    uint64
	start   time.Time // start of the process; times are relative to it
	log     *slog.Logger
	conns   *api.ConnPool
	client  *controlplane.Client
	member  *memberHost        // nil: no member in this process
	gateway *dataplane.Gateway // nil: no data plane; only the member list and leases are followed

	// lastLease is the time of the last response with a lease, in nanoseconds since start. Safe
	// for concurrent reads.
	lastLease atomic.Int64

	// Used only by the goroutine in run:
	needsFull   [2]bool // by table: a delta was rejected, so the full table is requested
	localFailed bool    // the local member failed to answer the last watch

	localBusy atomic.Bool // the local member has not yet answered a call
}

// sinceLease returns the time since the last response with a lease, or since the process
// started if there was none.
func (w *watcher) sinceLease() time.Duration {
	return time.Since(w.start) - time.Duration(w.lastLease.Load())
}

// run watches until the context ends.
func (w *watcher) run(ctx context.Context) {
	pauses := backoff.New(minRetryPause, maxRetryPause, rand.New(rand.NewPCG(w.seed, watchRandomStream)))
	failed := false
	for ctx.Err() == nil {
		failed = !w.watchOnce(ctx, failed)
		if !failed {
			pauses.Reset()
			continue
		}
		pause := pauses.Next()
		if w.gateway != nil && !w.gateway.HasLease() {
			pause = min(pause, noLeaseRetryPause)
		}
		backoff.Sleep(ctx, pause)
	}
}

// watchCall holds the request of one watch and how it is made.
type watchCall struct {
	request *api.WatchRequest
	// leaseStart is the time from which a granted lease is counted, on the gateway's clock (see
	// [dataplane.Gateway.Uptime]). It is no later than when the request is sent, so that the
	// lease expires here before it expires at the member that granted it.
	leaseStart time.Duration
	urgent     bool // an immediate answer is needed
	timeout    time.Duration
}

// newWatchCall returns a watch for changes since the local versions.
func (w *watcher) newWatchCall(urgent bool) watchCall {
	call := watchCall{
		request:    &api.WatchRequest{Name: w.name(), WaitMs: watchWait.Milliseconds()},
		leaseStart: time.Since(w.start),
		urgent:     urgent,
		timeout:    watchWait + watchMargin,
	}
	if g := w.gateway; g != nil {
		call.request.Revision, call.request.ServersVersion = g.Revision(), g.EndpointsVersion()
		call.leaseStart = g.Uptime()
		call.urgent = urgent || !g.HasLease() || call.request.Revision == 0
	}
	if w.needsFull[api.ConfigTable] {
		call.request.Revision = 0
	}
	if w.needsFull[api.ServerTable] {
		call.request.ServersVersion = 0
	}
	if call.urgent || w.needsFull[api.ConfigTable] || w.needsFull[api.ServerTable] {
		call.request.WaitMs, call.timeout = 0, urgentTimeout
	}
	return call
}

// watchOnce makes one watch. It reports whether the response had a lease and all its changes
// are applied. urgent requests an immediate answer.
func (w *watcher) watchOnce(ctx context.Context, urgent bool) bool {
	call := w.newWatchCall(urgent)
	m, ok := w.chooseMember()
	if !ok {
		w.memberFailed(m.addr)
		return false
	}
	response := w.call(ctx, call, m)
	if response == nil {
		w.memberFailed(m.addr)
		return false
	}
	w.client.ObserveWatchResponse(response)
	if !response.Lease {
		w.memberFailed(m.addr)
		return false
	}
	w.localFailed = false
	w.lastLease.Store(int64(time.Since(w.start)))
	if w.gateway == nil {
		return true
	}
	if !w.applyResponse(ctx, m, response) {
		return false
	}
	// A lease is for the member's revision, so only a gateway that has reached it may use it.
	if w.gateway.Revision() >= response.Revision {
		w.gateway.ExtendLease(call.leaseStart + time.Duration(response.LeaseDelayMs)*time.Millisecond)
	}
	return true
}

// call sends a watch to a member. It returns nil if there is no answer.
func (w *watcher) call(ctx context.Context, call watchCall, m watchedMember) *api.WatchResponse {
	if call.urgent && m.conn != nil && !api.WaitReady(ctx, m.conn, connectTimeout) {
		w.log.Debug("control plane member not reached", "peer", m.addr)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	response, err := m.watch(ctx, call.request)
	if err != nil {
		w.log.Debug("watch failed", "peer", m.addr, "error", err)
		return nil
	}
	return response
}

// watchedMember is a member to which watches are sent, in this process or over the network.
type watchedMember struct {
	addr  string           // empty: the local member
	conn  *grpc.ClientConn // nil: the local member
	watch func(context.Context, *api.WatchRequest) (*api.WatchResponse, error)
	fetch func(context.Context, *api.FetchRequest) (*api.Chunk, error)
}

// fetchChunk fetches one chunk of a delta.
func (m *watchedMember) fetchChunk(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	return m.fetch(ctx, q)
}

// chooseMember returns the member to ask: the local one, unless it failed to answer the last
// watch. ok is false if no member is known or no connection to it can be created.
func (w *watcher) chooseMember() (m watchedMember, ok bool) {
	if core := w.member.core(); core != nil && !w.localFailed {
		return watchedMember{
			watch: func(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
				return callLocal(ctx, &w.localBusy, q, core.Watch)
			},
			fetch: func(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
				return callLocal(ctx, &w.localBusy, q, core.Fetch)
			},
		}, true
	}
	m.addr = w.client.WatchMember()
	if m.addr == "" {
		return m, false
	}
	conn, err := w.conns.Conn(m.addr)
	if err != nil {
		w.log.Debug("control plane member not reached", "peer", m.addr, "error", err)
		return m, false
	}
	m.conn = conn
	m.watch = func(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
		return api.CallWatch(ctx, conn, q)
	}
	m.fetch = func(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
		return api.CallFetch(ctx, conn, q)
	}
	return m, true
}

// memberFailed makes the next watch go to another member. A failed local member is skipped
// until a watch succeeds or a remote member fails as well.
func (w *watcher) memberFailed(addr string) {
	w.localFailed = addr == "" && w.member.core() != nil
	w.client.WatchMemberFailed(addr)
}

// applyResponse applies the changes in a response: first the configuration, then the server
// list. It reports whether both succeeded.
func (w *watcher) applyResponse(ctx context.Context, m watchedMember, r *api.WatchResponse) bool {
	applyServers := func(delta *versioned.DeltaReader) error { return w.gateway.ApplyEndpoints(delta, r.ClockMs) }
	return w.applyDelta(ctx, m, api.ConfigTable, r.ConfigDelta, w.gateway.ApplyConfig) &&
		w.applyDelta(ctx, m, api.ServerTable, r.ServersDelta, applyServers)
}

// applyDelta fetches the missing chunks of a table's delta and applies it. If the delta is
// rejected, for instance because its base does not match the local version, the next watch
// requests the full table.
func (w *watcher) applyDelta(
	ctx context.Context, m watchedMember, table uint8, encoded *api.EncodedDelta,
	apply func(*versioned.DeltaReader) error,
) bool {
	if encoded == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, err := controlplane.FetchDelta(ctx, encoded, m.fetchChunk, table)
	if err != nil {
		w.log.Debug("fetching a delta failed", "peer", m.addr, "table", table, "to", encoded.To, "error", err)
		return false
	}
	delta, err := versioned.OpenDelta(data)
	if err == nil {
		err = apply(delta)
	}
	w.needsFull[table] = err != nil
	if err != nil {
		w.log.Warn("delta rejected, full table requested", "table", table,
			"from", encoded.From, "to", encoded.To, "error", err)
	}
	return err == nil
}
