package process

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"example.org/silverscale/api"
	"example.org/silverscale/discovery"
	"example.org/silverscale/internal/backoff"
)

const (
	watchWait    = time.Second // an answer without news
	watchTimeout = watchWait + 1200*time.Millisecond
	firstWait    = 40 * time.Millisecond // between two tries at a core that does not answer ...
	longestWait  = 400 * time.Millisecond
	urgentWait   = 120 * time.Millisecond
	listEvery    = time.Second // the leader asks the platform
	silentFor    = 2500 * time.Millisecond
	busyPause    = 500 * time.Millisecond
	ownEvery     = 3 * time.Second // a limiter that hears no leader asks for itself
)

// watch asks the core with the versions that are held here, and takes in what
// it answers, until the context ends.
func (p *Process) watch(ctx context.Context) {
	pauses := backoff.New(firstWait, longestWait, rand.New(rand.NewPCG(p.seed, 1)))
	for ctx.Err() == nil {
		if p.ask(ctx) {
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

// ask asks once. It tells whether it was answered with a lease.
func (p *Process) ask(ctx context.Context) bool {
	q := &api.Watch{Name: p.cfg.Load().Name, WaitMs: watchWait.Milliseconds()}
	var asked time.Duration
	if g := p.gateway; g != nil {
		q.Revision, q.Servers, asked = g.Revision(), g.Servers(), g.Since()
		if !g.Leased() || q.Revision == 0 { // needed at once
			q.WaitMs = 0
		}
	} else {
		asked = time.Since(p.start)
	}
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var n *api.News
	var err error
	addr := ""
	if p.core != nil && p.core.Leads() {
		n, err = p.core.Watch(call, q)
	} else if addr = p.client.Next(); addr == "" {
		return false
	} else if conn, dialErr := p.conns.To(addr); dialErr != nil {
		err = dialErr
	} else {
		n, err = api.CallWatch(call, conn, q)
	}
	if err != nil {
		p.client.Failed(addr)
		p.log.Debug("the core does not answer", "addr", addr, "err", err)
		return false
	}
	p.client.Learn(n.Leader, n.Core)
	if !n.Lease {
		if n.Leader == addr {
			p.client.Failed(addr)
		}
		return false
	}
	p.newsAt.Store(int64(time.Since(p.start)))
	g := p.gateway
	if g == nil {
		return true
	}
	if n.Config != nil {
		c, err := api.ParseConfig(n.Config)
		if err != nil {
			p.log.Error("the core's configuration can't be read", "revision", n.Revision, "err", err)
			return false
		}
		g.SetConfig(c)
	}
	if n.Listed {
		g.SetServers(n.Servers, n.List)
	}
	if g.Revision() >= n.Revision {
		g.Grant(asked)
	}
	return true
}

// duty is what decides whether a process asks the platform for its list now.
type duty struct {
	leads, asked  bool          // leads the core; has asked before
	since, silent time.Duration // the last call; the core's last word
	configured    bool          // carries traffic and has a configuration
	limiters      int
	perS          float64 // the platform's rate
}

// due: a leader asks at once, then at its pace. A limiter that hears no leader
// asks for itself, the more seldom the more there are: all such together stay
// within half of the platform's rate.
func (d *duty) due() bool {
	if d.leads {
		return !d.asked || d.since >= listEvery
	}
	own := max(ownEvery, time.Duration(2*float64(d.limiters)/d.perS*float64(time.Second)))
	return d.configured && d.silent > silentFor && (!d.asked || d.since >= own)
}

// discover asks the platform for the servers: the leader for all, a limiter
// for itself where it hears of no leader.
func (p *Process) discover(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.seed, 2))
	last, asked := time.Duration(0), false
	for ctx.Err() == nil {
		if pause := listEvery / 4; asked || p.core == nil {
			backoff.Sleep(ctx, pause)
		} else {
			backoff.Sleep(ctx, pause/8) // a new leader's first list is waited for
		}
		now := time.Since(p.start)
		cfg := p.cfg.Load()
		leads := p.core != nil && p.core.Leads()
		d := duty{leads: leads, asked: asked, since: now - last, silent: now - time.Duration(p.newsAt.Load()),
			configured: p.gateway != nil && p.gateway.Revision() != 0, limiters: int(p.peers.Load()), perS: cfg.Cloud.RatePerS}
		if !d.due() {
			continue
		}
		last, asked = now, true
		list, err := discovery.List(ctx, cfg.Cloud.Address)
		if errors.Is(err, discovery.ErrBusy) {
			backoff.Sleep(ctx, busyPause+backoff.Spread(busyPause, rng))
		}
		if err != nil {
			p.log.Warn("the platform's list was not had", "err", err)
			continue
		}
		if leads {
			p.core.SetServers(list)
		} else {
			p.gateway.SetServers(0, list)
		}
	}
}
