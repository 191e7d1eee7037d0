package process

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/discovery"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/settings"
)

const (
	// The leader's pause between two requests for the platform's server list: in general,
	// for changingFor after a change, and where a server that is in use was missing from it.
	leaderInterval   = 2 * time.Second
	changingInterval = time.Second
	missingInterval  = 500 * time.Millisecond
	changingFor      = 6 * time.Second

	// A limiter without a lease for controlPlaneTimeout asks for itself, no more often than
	// each ownInterval.
	controlPlaneTimeout = 8 * time.Second
	ownInterval         = 5 * time.Second

	// checkInterval is the pause between two looks whether a request is due, and
	// newLeaderInterval the one while a member has not asked yet: a new leader's first list is
	// waited for.
	checkInterval     = 250 * time.Millisecond
	newLeaderInterval = checkInterval / 8
	// rateLimitedPause follows a request that the platform refused for its rate, and up to as
	// much again at random.
	rateLimitedPause = 500 * time.Millisecond
)

// discoveryRandom makes this goroutine's random numbers differ from others of the same seed.
const discoveryRandom = 2

// discoverySchedule decides whether a process asks the platform for the server list now. It is
// free of I/O and clocks: discoverServers fills it in.
type discoverySchedule struct {
	leading       bool          // this process's member leads the control plane
	requested     bool          // a list was asked for since that last changed
	serverMissing bool          // a server that is in use was missing from the last list
	sinceRequest  time.Duration // since the last request
	sinceChange   time.Duration // since a list last brought a change
	sinceLease    time.Duration // since the control plane last answered with a lease
	configured    bool          // this process carries traffic and has a configuration
	limiters      int           // in the system
	pages         int           // of the last list; each is a request
	ratePerS      float64       // requests a second that the platform takes
}

// due reports whether to ask now. A leader asks at once, then at its pace. A limiter that
// has no lease goes on with the list that it has, and learns from its own
// requests which servers have gone; only when that lasts does it ask for itself, so seldom
// that all such limiters together stay within half of the platform's rate.
func (s *discoverySchedule) due() bool {
	if !s.leading {
		waited := s.sinceLease > controlPlaneTimeout
		return s.configured && waited && (!s.requested || s.sinceRequest >= s.ownInterval())
	}
	interval := leaderInterval
	switch {
	case !s.requested:
		return true
	case s.serverMissing:
		interval = missingInterval
	case s.sinceChange < changingFor:
		interval = changingInterval
	}
	return s.sinceRequest >= interval
}

// ownInterval is the pause between two requests of a limiter: twice the time in which the
// platform takes one from each limiter.
func (s *discoverySchedule) ownInterval() time.Duration {
	seconds := 2 * float64(s.limiters*max(1, s.pages)) / max(1, s.ratePerS)
	return max(ownInterval, time.Duration(seconds*float64(time.Second)))
}

// pause is how long nothing can become due. A member of the control plane may come to lead at
// any time. Another process asks after controlPlaneTimeout, and each lease puts that off.
func (s *discoverySchedule) pause(member bool) time.Duration {
	switch {
	case member && !s.requested:
		return newLeaderInterval
	case member:
		return checkInterval
	}
	return max(checkInterval, controlPlaneTimeout-s.sinceLease)
}

// discoverServers asks the platform for the servers until the context ends: the leader for
// all, a limiter for itself where it has had no lease for long.
func (p *Process) discoverServers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.seed, discoveryRandom))
	schedule := discoverySchedule{pages: 1}
	var lastRequest, lastChange time.Duration // since the start of the process
	// Limiters that lost the control plane at the same moment ask at different moments.
	spread := backoff.Jitter(controlPlaneTimeout, rng)
	for ctx.Err() == nil {
		backoff.Sleep(ctx, schedule.pause(p.member != nil))
		core := p.member.core()
		now, cfg := time.Since(p.start), p.settings.Load()
		if leading := core != nil && core.Leads(); leading != schedule.leading {
			schedule.leading, schedule.requested, schedule.serverMissing = leading, false, false
		}
		schedule.sinceRequest, schedule.sinceChange = now-lastRequest, now-lastChange
		schedule.sinceLease = p.watcher.sinceLease() - spread
		schedule.configured = p.gateway != nil && p.gateway.Revision() != 0
		schedule.limiters, schedule.ratePerS = int(p.known.limiterCount.Load()), cfg.Cloud.RatePerS
		if !schedule.due() {
			continue
		}
		lastRequest, schedule.requested = now, true
		list, pages, err := p.requestServers(ctx, &cfg.Cloud, rng)
		if err != nil {
			continue
		}
		schedule.pages = pages
		if !schedule.leading {
			p.gateway.MergeDiscovered(list)
			continue
		}
		changed, missing := core.SetServers(list)
		schedule.serverMissing = missing
		if changed {
			lastChange = now
		}
	}
}

// requestServers asks the platform once for the whole list. An error is logged here; after one
// for the platform's rate it waits.
func (p *Process) requestServers(
	ctx context.Context, cloud *settings.Cloud, rng *rand.Rand,
) (list []api.Server, pages int, err error) {
	list, pages, err = discovery.ListServers(ctx, cloud.Address, cloud.RatePerS)
	if errors.Is(err, discovery.ErrRateLimited) {
		backoff.Sleep(ctx, rateLimitedPause+backoff.Jitter(rateLimitedPause, rng))
	}
	if err != nil {
		p.log.Warn("server list request failed", "error", err)
	}
	return list, pages, err
}
