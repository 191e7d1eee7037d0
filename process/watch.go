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
	// watchWait is how long a member waits for something new before it answers a watch, and
	// watchMargin how much later its answer may come.
	watchWait   = 1500 * time.Millisecond
	watchMargin = 600 * time.Millisecond
	// urgentTimeout is for a watch that is answered at once, by a process that needs a lease
	// or a full table: within the rest of a lease each member can be asked.
	urgentTimeout = 450 * time.Millisecond
	// connectTimeout is how long an urgent watch waits for a connection. A machine without
	// power, or one that has not started yet, does not answer at all; it is not waited for as
	// long as a member that was reached.
	connectTimeout = 120 * time.Millisecond
	// fetchTimeout is for the chunks of a delta that did not fit into the response.
	fetchTimeout = 2 * time.Second
	// minRetryPause and maxRetryPause are between two failed watches, and noLeaseRetryPause
	// is the longest while there is no lease: nothing can be served meanwhile.
	minRetryPause     = 30 * time.Millisecond
	maxRetryPause     = 400 * time.Millisecond
	noLeaseRetryPause = 100 * time.Millisecond
)

// watchRandomStream makes the watcher's random numbers differ from others of the same seed.
const watchRandomStream = 1

// watcher keeps the data plane up to date: it asks a member of the control plane for what is
// newer than the versions that the gateway has, and for a lease. Its fields up to gateway are
// set before run and not changed.
type watcher struct {
	name    func() string // of this node
	seed    uint64
	start   time.Time // of the process; times are counted from it
	log     *slog.Logger
	conns   *api.ConnPool
	client  *controlplane.Client
	member  *memberHost        // nil: none in this process
	gateway *dataplane.Gateway // nil: no data plane; the member list and the leases are followed alone

	// lastLease is when a response with a lease last came, since start. Read by any goroutine.
	lastLease atomic.Int64

	// Of the goroutine in run:
	needsFull   [2]bool // by table: a delta did not match, the full table is asked for
	localFailed bool    // the member in this process could not answer the last watch

	localBusy atomic.Bool // the member in this process has not answered a call yet
}

// sinceLease is how long ago a response with a lease came, or the process started.
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

// watchCall is one watch.
type watchCall struct {
	request *api.WatchRequest
	// leaseStart is what a lease is counted from: no later than when the request is made, so
	// that it ends here before it ends for the member that granted it.
	leaseStart time.Duration
	urgent     bool // an answer is needed at once
	timeout    time.Duration
}

// newWatchCall asks for what is newer than the versions that are here.
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

// watchOnce makes one watch. It reports whether it was answered with a lease and everything in
// the answer is in force. urgent has it answered at once.
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
	// A lease is for the revision that the member had: only a gateway that has it may use it.
	if w.gateway.Revision() >= response.Revision {
		w.gateway.ExtendLease(call.leaseStart + time.Duration(response.LeaseDelayMs)*time.Millisecond)
	}
	return true
}

// call makes the call of a watch. It returns nil where it was not answered.
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

// watchedMember is a member that is asked: the one in this process, or one over the network.
type watchedMember struct {
	addr  string           // empty: the one in this process
	conn  *grpc.ClientConn // nil: the one in this process
	watch func(context.Context, *api.WatchRequest) (*api.WatchResponse, error)
	fetch func(context.Context, *api.FetchRequest) (*api.Chunk, error)
}

// chooseMember returns the member to ask: the one in this process, unless it could not answer
// last time. ok is false where none is known or it can't be called.
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

// memberFailed has another member asked next. The one in this process is passed over once.
func (w *watcher) memberFailed(addr string) {
	w.localFailed = addr == "" && w.member.core() != nil
	w.client.WatchMemberFailed(addr)
}

// applyResponse puts what is new in force: the configuration, then the server list. It
// reports whether both are.
func (w *watcher) applyResponse(ctx context.Context, m watchedMember, r *api.WatchResponse) bool {
	applyServers := func(delta *versioned.DeltaReader) error { return w.gateway.ApplyEndpoints(delta, r.ClockMs) }
	return w.applyDelta(ctx, m, api.ConfigTable, r.ConfigDelta, w.gateway.ApplyConfig) &&
		w.applyDelta(ctx, m, api.ServerTable, r.ServersDelta, applyServers)
}

// applyDelta fetches what is missing of a table's delta and applies it. Where it does not
// match what is here, the full table is asked for next time.
func (w *watcher) applyDelta(
	ctx context.Context, m watchedMember, table uint8, encoded *api.EncodedDelta,
	apply func(*versioned.DeltaReader) error,
) bool {
	if encoded == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, err := controlplane.FetchDelta(ctx, encoded, m.fetch, table)
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
