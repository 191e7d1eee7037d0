package process

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/versioned"
)

const (
	watchWait  = 1500 * time.Millisecond // an answer without news
	watchSpare = 600 * time.Millisecond  // ... comes this much later at the latest
	// A member that did not answer in time is passed over, and the next is asked for
	// a lease at once: within what is left of the lease each of the core can be asked.
	urgentTimeout = 450 * time.Millisecond
	// A machine without power, or that has not started again yet, says nothing: who
	// has no lease does not wait for it as long as for a member that was reached.
	reachWait    = 120 * time.Millisecond
	fetchTimeout = 2 * time.Second       // for a long difference, beyond that
	firstWait    = 30 * time.Millisecond // between two tries at a core that does not answer ...
	longestWait  = 400 * time.Millisecond
	urgentWait   = 100 * time.Millisecond
)

// watch asks the core with the versions that are held here, and takes in what
// it answers, until the context ends.
func (p *Process) watch(ctx context.Context) {
	pauses := backoff.New(firstWait, longestWait, rand.New(rand.NewPCG(p.seed, 1)))
	failed := false
	for ctx.Err() == nil {
		if failed = !p.ask(ctx, failed); !failed {
			pauses.Reset()
			continue
		}
		pause := pauses.Next()
		if p.gateway != nil && !p.gateway.Leased() {
			pause = min(pause, urgentWait) // nothing can be served meanwhile
		}
		backoff.Sleep(ctx, pause)
	}
}

// member is whom a process asks: the core in it, or one over the network.
type member struct {
	conn  *grpc.ClientConn // nil: no network is between
	watch func(context.Context, *api.WatchRequest) (*api.WatchResponse, error)
	fetch func(context.Context, *api.FetchRequest) (*api.Chunk, error)
}

// whom returns the member to ask, and its address; "" is the core in this process.
func (p *Process) whom() (m member, addr string, ok bool) {
	if core := p.host.core(); core != nil && !p.coreFailed {
		return member{nil, func(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
			return callLocal(ctx, &p.localCall, q, core.Watch)
		},
			func(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
				return callLocal(ctx, &p.localCall, q, core.Fetch)
			}}, "", true
	}
	if addr = p.client.WatchMember(); addr == "" {
		return m, "", false
	}
	conn, err := p.conns.Conn(addr)
	if err != nil {
		p.log.Debug("the core can't be called", "addr", addr, "err", err)
		return m, addr, false
	}
	return member{conn, func(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
		return api.CallWatch(ctx, conn, q)
	},
		func(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) { return api.CallFetch(ctx, conn, q) }}, addr, true
}

var errLocalBusy = errors.New("process: the core here has not answered an earlier call yet")

// callLocal calls the core in this process and waits until the context ends, at most:
// the core may be waiting for its disk, and the others of the core answer meanwhile. At
// most one call goes on behind its end.
func callLocal[Q, R any](ctx context.Context, busy *atomic.Bool, q *Q, call func(context.Context, *Q) (*R, error)) (*R, error) {
	if !busy.CompareAndSwap(false, true) {
		return nil, errLocalBusy
	}
	type answer struct {
		r   *R
		err error
	}
	ch := make(chan answer, 1)
	go func() {
		r, err := call(ctx, q)
		busy.Store(false)
		ch <- answer{r, err}
	}()
	select {
	case a := <-ch:
		return a.r, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// passOver has another member asked next.
func (p *Process) passOver(addr string) {
	p.coreFailed = addr == "" && p.host.core() != nil // the core in this process is tried every other time
	p.client.WatchMemberFailed(addr)
}

// ask asks once. It tells whether it was answered with a lease.
func (p *Process) ask(ctx context.Context, urgent bool) bool {
	q := &api.WatchRequest{Name: p.cfg.Load().Name, WaitMs: watchWait.Milliseconds()}
	asked, timeout := time.Since(p.start), watchWait+watchSpare
	if g := p.gateway; g != nil {
		q.Revision, q.ServersVersion, asked = g.Revision(), g.Servers(), g.Since()
		urgent = urgent || !g.Leased() || q.Revision == 0
	}
	if p.whole[api.ConfigTable] {
		q.Revision = 0
	}
	if p.whole[api.ServerTable] {
		q.ServersVersion = 0
	}
	if urgent || p.whole[api.ConfigTable] || p.whole[api.ServerTable] {
		q.WaitMs, timeout = 0, urgentTimeout
	}
	m, addr, ok := p.whom()
	if !ok {
		p.passOver(addr)
		return false
	}
	if urgent && m.conn != nil && !api.WaitReady(ctx, m.conn, reachWait) {
		p.log.Debug("the core is not reached", "addr", addr)
		p.passOver(addr)
		return false
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	n, err := m.watch(call, q)
	cancel()
	if err != nil {
		p.log.Debug("the core does not answer", "addr", addr, "err", err)
		p.passOver(addr)
		return false
	}
	p.client.ObserveWatchResponse(n)
	if !n.Lease {
		p.passOver(addr)
		return false
	}
	p.coreFailed = false
	p.newsAt.Store(int64(time.Since(p.start)))
	if p.gateway == nil {
		return true
	}
	if !p.take(ctx, m, n) {
		return false
	}
	if p.gateway.Revision() >= n.Revision {
		p.gateway.Grant(asked + time.Duration(n.LeaseDelayMs)*time.Millisecond)
	}
	return true
}

// take takes in what is new.
func (p *Process) take(ctx context.Context, m member, n *api.WatchResponse) bool {
	return p.table(ctx, m, api.ConfigTable, n.ConfigDelta, func(r *versioned.DeltaReader) error { return p.gateway.ChangeConfig(r) }) &&
		p.table(ctx, m, api.ServerTable, n.ServersDelta, func(r *versioned.DeltaReader) error { return p.gateway.ChangeServers(r, n.ClockMs) })
}

// table takes in the difference of one table. Where it does not fit what is held
// here, the whole is asked for next time.
func (p *Process) table(ctx context.Context, m member, table uint8, parcel *api.EncodedDelta, take func(*versioned.DeltaReader) error) bool {
	if parcel == nil {
		return true
	}
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	data, err := controlplane.FetchDelta(call, parcel, m.fetch, table)
	if err != nil {
		p.log.Debug("a difference was not had", "table", table, "to", parcel.To, "err", err)
		return false
	}
	r, err := versioned.OpenDelta(data)
	if err == nil {
		err = take(r)
	}
	if p.whole[table] = err != nil; err != nil {
		p.log.Warn("a difference does not fit what is held here: asking for the whole", "table", table, "from", parcel.From, "to", parcel.To, "err", err)
	}
	return err == nil
}
