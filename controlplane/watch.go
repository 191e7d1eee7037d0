package controlplane

import (
	"context"
	"errors"
	"math"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/raft"
	"example.org/elmspan/versioned"
)

// Every member answers limiters that ask for news, so that no one process serves
// all. Who does not lead asks the leader once for all who wait there, and tells
// what it has applied itself.

const (
	confirmWait  = 700 * time.Millisecond
	confirmEvery = 25 * time.Millisecond // all who come within it share one confirmation
	watchMost    = 5 * time.Second
	// mostWatches bounds those who wait at one member. Each holds a piece of a
	// difference at most (api.PieceSize).
	mostWatches = 1024
	followWait  = 1500 * time.Millisecond // a follower's own watch at the leader
	followPause = 60 * time.Millisecond
	maxParcel   = 2 * api.MaxConfigBytes
)

var errParcel = errors.New("controlplane: a difference is not to be had any more")

func (c *Core) leads() bool { return c.node.Role() == raft.Leader && !c.diskDown }

// Leads tells whether this member leads now.
func (c *Core) Leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leads()
}

// ---- Confirmation ----

// asks are what this member asks the leader on behalf of those who wait here.
type asks struct {
	next    *ask // begins with the next call
	running bool
	beating bool // a round of heartbeats is due, as leader
	beatAt  time.Time
	waiting int // watches in hand
}

type ask struct {
	done chan struct{}
	c    api.ReadIndexResponse
}

// beatSoon has a leader begin a round of heartbeats within confirmEvery: those
// who come in the meantime share it.
func (c *Core) beatSoon() {
	if c.asks.beating {
		return
	}
	c.asks.beating = true
	// Never due as it is made: in fake time such a one runs on the caller's thread, which
	// crashes Go 1.26's race detector.
	time.AfterFunc(max(1, confirmEvery-time.Since(c.asks.beatAt)), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.asks.beating, c.asks.beatAt = false, time.Now()
		if c.leads() {
			c.node.Beat()
			c.process()
		}
	})
}

// confirm waits until a majority has answered a round of heartbeats that began
// after this call: this member led then, and all that was acknowledged before
// is agreed on up to index. Called under the mutex, which it gives up while it waits.
func (c *Core) confirm(ctx context.Context) (index uint64, ok bool) {
	need, term := c.node.NextRound(), c.node.Term()
	c.beatSoon()
	ok = c.wait(ctx, func() (ok, over bool) {
		over = !c.leads() || c.node.Term() != term
		return !over && c.node.Serves() && c.node.Confirmed() >= need, over
	})
	return c.node.Commit(), ok
}

// wait waits until something is so, or can't be any more, or takes too long.
func (c *Core) wait(ctx context.Context, is func() (ok, over bool)) bool {
	t := time.NewTimer(confirmWait)
	defer t.Stop()
	for {
		switch ok, over := is(); {
		case ok:
			return true
		case over:
			return false
		}
		heard, changed := c.heard, c.changed
		c.mu.Unlock()
		late := false
		select {
		case <-heard:
		case <-changed:
		case <-t.C:
			late = true
		case <-ctx.Done():
			late = true
		}
		c.mu.Lock()
		if late {
			return false
		}
	}
}

// Confirm answers a member that asks for those who wait at it.
func (c *Core) ReadIndex(ctx context.Context, _ *api.Empty) (*api.ReadIndexResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leads() {
		return &api.ReadIndexResponse{}, nil
	}
	index, ok := c.confirm(ctx)
	if !ok {
		return &api.ReadIndexResponse{}, nil
	}
	return &api.ReadIndexResponse{OK: true, Index: index, ServersVersion: c.servers.table.Version(), ClockMs: c.servers.clockMs()}, nil
}

// confirmed waits until it is sure that all that was acknowledged before this
// call is applied here, and that the list of servers is the leader's.
func (c *Core) confirmed(ctx context.Context) bool {
	if c.leads() {
		index, ok := c.confirm(ctx)
		// What is agreed on may still be on its way into what is answered here.
		return ok && c.wait(ctx, func() (ok, over bool) { return c.node.Applied() >= index, c.diskDown })
	}
	if c.leaderAddr() == "" || c.diskDown {
		return false
	}
	if c.asks.next == nil {
		c.asks.next = &ask{done: make(chan struct{})}
		if !c.asks.running && c.ctx != nil {
			c.asks.running = true
			c.tasks.Go(c.askLeader)
		}
	}
	a := c.asks.next
	c.mu.Unlock()
	select {
	case <-a.done:
	case <-ctx.Done():
	}
	c.mu.Lock()
	select {
	case <-a.done:
	default:
		return false
	}
	return a.c.OK && c.wait(ctx, func() (ok, over bool) {
		return c.node.Applied() >= a.c.Index && c.servers.table.Version() >= a.c.ServersVersion, c.diskDown
	})
}

// askLeader asks for all who wait, one call after the other, until nobody does.
func (c *Core) askLeader() {
	for {
		backoff.Sleep(c.ctx, confirmEvery)
		c.mu.Lock()
		a, addr := c.asks.next, c.leaderAddr()
		c.asks.next = nil
		if a == nil {
			c.asks.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if conn, err := c.cfg.Conns.Conn(addr); addr != "" && err == nil {
			ctx, cancel := context.WithTimeout(c.ctx, confirmWait)
			if r, err := api.CallReadIndex(ctx, conn); err == nil {
				a.c = *r
			}
			cancel()
		}
		close(a.done)
	}
}

// ---- News ----

// Watch answers a limiter when there is news, or when its wait is over.
func (c *Core) Watch(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
	came := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leads() && c.leaderAddr() == "" || c.asks.waiting >= mostWatches {
		return &api.WatchResponse{Members: c.coreAddrs()}, nil
	}
	c.asks.waiting++
	defer func() { c.asks.waiting-- }()
	if q.WaitMs > 0 {
		if !c.awaitNews(ctx, q) {
			return nil, ctx.Err()
		}
	}
	held := time.Since(came)
	n := &api.WatchResponse{Lease: c.confirmed(ctx), LeaseDelayMs: held.Milliseconds(), Leader: c.leaderAddr(), Members: c.coreAddrs()}
	if !n.Lease {
		return n, nil
	}
	var err error
	if n.Revision = c.state.Revision; n.Revision > q.Revision {
		if n.ConfigDelta, err = parcel(&c.configs, q.Revision); err != nil {
			return nil, err
		}
	}
	if n.ServersVersion = c.servers.table.Version(); n.ServersVersion > q.ServersVersion {
		if n.ServersDelta, err = parcel(&c.servers.table, q.ServersVersion); err != nil {
			return nil, err
		}
	}
	n.ClockMs = c.servers.clockMs()
	return n, nil
}

// awaitNews waits for something newer than the asker has; false: the call is over.
func (c *Core) awaitNews(ctx context.Context, q *api.WatchRequest) bool {
	t := time.NewTimer(max(1, min(watchMost, time.Duration(q.WaitMs)*time.Millisecond)))
	defer t.Stop()
	for c.state.Revision <= q.Revision && c.servers.table.Version() <= q.ServersVersion {
		changed := c.changed
		c.mu.Unlock()
		late, over := false, false
		select {
		case <-changed:
		case <-t.C:
			late = true
		case <-ctx.Done():
			over = true
		}
		c.mu.Lock()
		if over {
			return false
		}
		if late || !c.leads() && c.leaderAddr() == "" {
			break
		}
	}
	return true
}

// parcel is the difference to a table's newest version, with its first piece.
func parcel(t *versioned.Table, from uint64) (*api.EncodedDelta, error) {
	b, err := t.DeltaSince(from)
	if err != nil {
		return nil, err
	}
	return &api.EncodedDelta{From: b.From, To: b.To, Size: len(b.Data), Data: b.Data[:min(len(b.Data), api.ChunkSize)]}, nil
}

// Fetch returns one more piece of a difference.
func (c *Core) Fetch(_ context.Context, q *api.FetchRequest) (*api.Chunk, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.configs
	if q.Table == api.ServerTable {
		t = &c.servers.table
	}
	b, ok := t.CachedDelta(q.From, q.To)
	if !ok || q.Offset < 0 || q.Offset >= len(b.Data) {
		return &api.Chunk{}, nil
	}
	return &api.Chunk{Data: b.Data[q.Offset:min(len(b.Data), q.Offset+api.ChunkSize)]}, nil
}

// follow keeps the leader's list of servers at a member that does not lead.
func (c *Core) follow(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		addr, have := c.leaderAddr(), c.servers.table.Version()
		if c.leads() || addr == c.cfg.Addr {
			addr = ""
		}
		c.mu.Unlock()
		if addr == "" || !c.followOnce(ctx, addr, have) {
			backoff.Sleep(ctx, followPause)
		}
	}
}

func (c *Core) followOnce(ctx context.Context, addr string, have uint64) bool {
	conn, err := c.cfg.Conns.Conn(addr)
	if err != nil {
		return false
	}
	call, cancel := context.WithTimeout(ctx, followWait+confirmWait)
	defer cancel()
	// Its own log brings it the configurations.
	n, err := api.CallWatch(call, conn, &api.WatchRequest{Name: "core", Revision: math.MaxUint64, ServersVersion: have, WaitMs: followWait.Milliseconds()})
	if err != nil || !n.Lease {
		return false
	}
	if n.ServersDelta == nil {
		return true
	}
	data, err := FetchParcel(call, n.ServersDelta, func(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) { return api.CallFetch(ctx, conn, q) },
		api.ServerTable)
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leads() || c.leaderAddr() != addr {
		return false
	}
	p, err := versioned.OpenDelta(data)
	if err == nil {
		err = c.servers.told(p, n.ClockMs)
	}
	if err != nil {
		c.cfg.Log.Warn("the leader's list of servers is asked for whole", "err", err)
		c.servers.table = versioned.Table{}
		return false
	}
	c.signal()
	return true
}

// FetchParcel returns all of a difference whose first piece has come.
func FetchParcel(ctx context.Context, p *api.EncodedDelta, fetch func(context.Context, *api.FetchRequest) (*api.Chunk, error), table uint8) ([]byte, error) {
	if p.Size > maxParcel || len(p.Data) > p.Size {
		return nil, errParcel
	}
	data := p.Data
	for len(data) < p.Size {
		r, err := fetch(ctx, &api.FetchRequest{Table: table, From: p.From, To: p.To, Offset: len(data)})
		if err != nil {
			return nil, err
		}
		if len(r.Data) == 0 || len(data)+len(r.Data) > p.Size {
			return nil, errParcel
		}
		data = append(data, r.Data...)
	}
	return data, nil
}
