package process

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"example.org/elmspan/discovery"
	"example.org/elmspan/internal/backoff"
)

const (
	listEvery = 2 * time.Second        // the leader asks the platform ...
	busyEvery = time.Second            // ... and while servers come and go ...
	busyFor   = 6 * time.Second        // ... until so long after the last change ...
	doubtIn   = 500 * time.Millisecond // ... and again soon where a server is missing
	lookEach  = 250 * time.Millisecond
	silentFor = 8 * time.Second // a limiter that hears no core asks for itself
	ownEvery  = 5 * time.Second
	busyPause = 500 * time.Millisecond // where the platform's rate is exceeded
)

// duty is what decides whether a process asks the platform for its list now.
type duty struct {
	leads, asked   bool          // leads the core; has asked before
	doubt          bool          // a server was missing
	since, changed time.Duration // the last call; the last change
	silent         time.Duration // since the core's last word
	configured     bool          // carries traffic and has a configuration
	limiters       int
	pages          int     // of the list
	perS           float64 // calls a second that the platform takes
}

// due: a leader asks at once, then at its pace. A limiter that hears no core goes
// on with the list that it has, and learns from its own requests which servers
// have gone; only when that lasts does it ask for itself, and so seldom that all
// such together stay within half of the platform's rate.
func (d *duty) due() bool {
	if !d.leads {
		own := max(ownEvery, time.Duration(2*float64(d.limiters*max(1, d.pages))/max(1, d.perS)*float64(time.Second)))
		return d.configured && d.silent > silentFor && (!d.asked || d.since >= own)
	}
	every := listEvery
	switch {
	case !d.asked:
		return true
	case d.doubt:
		every = doubtIn
	case d.changed < busyFor:
		every = busyEvery
	}
	return d.since >= every
}

// rest is how long nothing can become due, so that there is no look meanwhile. A member
// of the core may come to lead at any time. Another process asks once it has heard
// nothing for long, and what it hears puts that off.
func (d *duty) rest(member bool) time.Duration {
	switch {
	case member && !d.asked:
		return lookEach / 8 // a new leader's first list is waited for
	case member:
		return lookEach
	}
	return max(lookEach, silentFor-d.silent)
}

// discover asks the platform for the servers: the leader for all, a limiter for
// itself where the core has been silent for long.
func (p *Process) discover(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.seed, 2))
	d, last, changed := duty{pages: 1}, time.Duration(0), time.Duration(0)
	// Limiters that lost the core at the same moment do not ask at the same moment.
	patience := backoff.Spread(silentFor, rng)
	for ctx.Err() == nil {
		backoff.Sleep(ctx, d.rest(p.host != nil))
		core := p.host.core()
		now, cfg := time.Since(p.start), p.cfg.Load()
		if leads := core != nil && core.Leads(); leads != d.leads {
			d.leads, d.asked, d.doubt = leads, false, false
		}
		d.since, d.changed, d.silent = now-last, now-changed, now-time.Duration(p.newsAt.Load())-patience
		d.configured, d.limiters, d.perS = p.gateway != nil && p.gateway.Revision() != 0, int(p.peers.Load()), cfg.Cloud.RatePerS
		if !d.due() {
			continue
		}
		last, d.asked = now, true
		list, pages, err := discovery.ListServers(ctx, cfg.Cloud.Address, cfg.Cloud.RatePerS)
		if errors.Is(err, discovery.ErrRateLimited) {
			backoff.Sleep(ctx, busyPause+backoff.Spread(busyPause, rng))
		}
		if err != nil {
			p.log.Warn("the platform's list was not had", "err", err)
			continue
		}
		d.pages = pages
		if !d.leads {
			p.gateway.OwnServers(list)
			continue
		}
		news, doubt := core.SetServers(list)
		if d.doubt = doubt; news {
			changed = now
		}
	}
}
