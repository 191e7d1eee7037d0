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
	// Intervals at which the leader requests the cloud platform's server list: normally, during
	// changingPeriod after a change, and when a server in use was missing from the last list.
	leaderInterval   = 2 * time.Second
	changingInterval = time.Second
	missingInterval  = 500 * time.Millisecond
	changingPeriod   = 6 * time.Second

	// A limiter (a process with the data plane) that has had no lease for controlPlaneTimeout
	// requests the list itself, at most once every limiterInterval.
	controlPlaneTimeout = 8 * time.Second
	limiterInterval     = 5 * time.Second

	// checkInterval is the interval between checks whether a request is due.
	// newLeaderInterval is used instead while the member in this process has made no request
	// since it last became or ceased to be leader, because the system waits for the first list
	// of a new leader.
	checkInterval     = 250 * time.Millisecond
	newLeaderInterval = checkInterval / 8
	// rateLimitedPause is the pause after a request that the platform rejected because of its
	// rate limit. A random pause of up to the same length is added to it.
	rateLimitedPause = 500 * time.Millisecond
)

// discoveryRandomStream separates this goroutine's random numbers from those of others with
// the same seed.
const discoveryRandomStream = 2

// discoverySchedule decides when a process requests the server list from the platform. It does
// no I/O and reads no clock: discoverServers fills in the fields.
type discoverySchedule struct {
	leading       bool          // the member in this process leads the control plane
	requested     bool          // a list was requested since leading last changed
	serverMissing bool          // a server in use was missing from the last list
	sinceRequest  time.Duration // since the last request
	sinceChange   time.Duration // since a list last differed from the one before
	sinceLease    time.Duration // since the last response of the control plane with a lease
	configured    bool          // this process serves clients and has a configuration
	limiters      int           // limiters in the system
	pages         int           // pages of the last list; each takes one request
	ratePerS      float64       // rate limit of the platform in requests per second
}

// due reports whether to request the list now. A leader makes its first request immediately
// and further ones at the leader's intervals. A limiter without a lease keeps its current list
// and learns from client requests which servers are gone. Only after controlPlaneTimeout does
// it request the list itself, at an interval that keeps all such limiters together within half
// of the platform's rate limit.
func (s *discoverySchedule) due() bool {
	if !s.leading {
		waited := s.sinceLease > controlPlaneTimeout
		return s.configured && waited && (!s.requested || s.sinceRequest >= s.limiterInterval())
	}
	interval := leaderInterval
	switch {
	case !s.requested:
		return true
	case s.serverMissing:
		interval = missingInterval
	case s.sinceChange < changingPeriod:
		interval = changingInterval
	}
	return s.sinceRequest >= interval
}

// limiterInterval returns the interval between two list requests of a limiter: twice the time
// that the platform's rate limit needs to serve one list to each limiter.
func (s *discoverySchedule) limiterInterval() time.Duration {
	seconds := 2 * float64(s.limiters*max(1, s.pages)) / max(1, s.ratePerS)
	return max(limiterInterval, time.Duration(seconds*float64(time.Second)))
}

// pause returns the time until the next check. A member of the control plane may become leader
// at any time, so it checks often. In any other process no request can be due until
// controlPlaneTimeout after the last lease.
func (s *discoverySchedule) pause(member bool) time.Duration {
	switch {
	case member && !s.requested:
		return newLeaderInterval
	case member:
		return checkInterval
	}
	return max(checkInterval, controlPlaneTimeout-s.sinceLease)
}

// discoverServers requests the server list from the platform until the context ends: the
// leader on behalf of all processes, a limiter for itself after controlPlaneTimeout without a
// lease.
func (p *Process) discoverServers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.seed, discoveryRandomStream))
	schedule := discoverySchedule{pages: 1}
	var lastRequest, lastChange time.Duration // relative to the start of the process
	// Spreads the requests of limiters that lost the control plane at the same time.
	jitter := backoff.Jitter(controlPlaneTimeout, rng)
	for ctx.Err() == nil {
		backoff.Sleep(ctx, schedule.pause(p.member != nil))
		core := p.member.core()
		now, cfg := time.Since(p.start), p.settings.Load()
		if leading := core != nil && core.Leads(); leading != schedule.leading {
			schedule.leading, schedule.requested, schedule.serverMissing = leading, false, false
		}
		schedule.sinceRequest, schedule.sinceChange = now-lastRequest, now-lastChange
		schedule.sinceLease = p.watcher.sinceLease() - jitter
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

// requestServers requests the whole list from the platform once. It logs errors, and pauses
// after one caused by the platform's rate limit.
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
