package balancer

// Health checking and outlier ejection: failed connects and missing responses mark a server
// down, failures of a class eject it for that class, and probes bring it back.

import "slices"

const (
	// downAfterFailures is the number of consecutive failed connects after which a server is
	// down.
	downAfterFailures = 2
	// A server is unresponsive after unresponsiveFactor times the expected response time
	// without a response.
	unresponsiveFactor = 4.0
	// minProbeIntervalMs is the least time between two probes of a server, in ms.
	minProbeIntervalMs = 500.0

	// A server is ejected for a class, for ejectionMs, after ejectAfterFailures failures of the
	// class there, each within half of that time of the one before.
	ejectionMs         = 4000.0
	ejectAfterFailures = 2
	// Failure hints to peers use at most hintMessageShare of the messages. None are sent while
	// more than maxHintFailureShare of all responses fail, as no single server causes that.
	hintMessageShare    = 0.12
	maxHintFailureShare = 0.3
)

// ejection is the state of one class at a server: its failures and its ejection.
type ejection struct {
	failures      int // each within half of ejectionMs of the one before
	lastFailureAt float64
	until         float64 // the server gets no requests of the class until this time
}

// observeOutcome updates what is known about a server and a class from the end of an attempt.
// An attempt that was in flight while this process was paused is ignored, as its time says
// nothing about the server.
func (l *Limiter) observeOutcome(now float64, a *attempt, r *request, e Outcome) {
	s := a.server
	s.waitingSince = now
	if a.sentAt < l.resumedAt {
		return
	}
	l.observeFailureShare(now, s, r.class, e.Result)
	switch e.Result {
	case Success:
		l.observeLatency(now, a, r.class, e.LatencyMs)
		s.connectFailures = 0
	case Rejected:
		s.rejectingUntil = now + rejectedPauseMs
	case ConnectFailed:
		if s.connectFailures++; s.connectFailures >= downAfterFailures {
			l.markDown(s, "connects fail")
		}
	}
}

// observeFailureShare counts an executed attempt as a success or a failure. A failure is also
// counted at the server, and a hint of it may be sent to the peers.
func (l *Limiter) observeFailureShare(now float64, s *server, class int, result Result) {
	switch result {
	case Success:
		l.failureShare -= averagingWeight * l.failureShare
	case ServerError, ConnectionLost, TimedOut:
		l.failureShare -= averagingWeight * l.failureShare
		l.failureShare += averagingWeight
		l.sendFailureHint(now, s, class)
		l.recordFailure(now, s, class)
	}
}

// sendFailureHint sends all peers a hint that a class failed at a server, if a hint is due and
// the server is not ejected for the class yet.
func (l *Limiter) sendFailureHint(now float64, s *server, class int) {
	due := now >= l.nextHintAt && l.failureShare < maxHintFailureShare
	if !due || !l.cfg.Caps.Peers || now < s.ejections[class].until {
		return
	}
	l.nextHintAt = now + l.hintInterval
	hint := peerMessage{
		flags:   flagLevelUpdate | flagFailureHint,
		entries: []peerEntry{{customer: s.info.ID, plan: uint64(class)}},
	}
	l.sendToRange(hint, 0, len(l.peers))
}

// recordFailure counts a failure of a class at a server, observed here or reported by a peer.
// One of many limiters sends each server too few requests to judge it alone. When an ejection
// ends, all limiters use the server again, and its first failures eject it anew. A fault that
// affects all servers must not be attributed to some: at most half of the servers are ejected,
// and as many failures are ignored as the failure share over all servers makes likely.
func (l *Limiter) recordFailure(now float64, s *server, class int) {
	e := &s.ejections[class]
	if now-e.lastFailureAt > ejectionMs/2 {
		e.failures = 0
	}
	e.lastFailureAt, e.failures = now, e.failures+1
	ejected := 0
	for _, other := range l.serverList {
		if now < other.ejections[class].until {
			ejected++
		}
	}
	likely := l.failureShare * l.decayedAttempts(now) * float64(l.cfg.Balancers) / float64(len(l.serverList))
	if float64(e.failures) < ejectAfterFailures+likely || 2*(ejected+1) > len(l.serverList) {
		return
	}
	if now >= e.until {
		l.logf("server %d ejected for request class %d after repeated failures", s.info.ID, class)
	}
	e.until = now + ejectionMs
}

// markDown marks a server down and cancels the attempts there that may be retried.
func (l *Limiter) markDown(s *server, reason string) {
	if !s.down {
		l.logf("server %d is down: %s", s.info.ID, reason)
	}
	s.down = true
	if !l.cfg.Caps.Cancel {
		return
	}
	for _, id := range l.sortedRequests() {
		r := l.requests[id]
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.server == s && !a.ended && !r.streaming && l.cfg.Classes[r.class].Idempotency != Unsafe {
				l.emit(CancelAttempt{ID: id, Attempt: i})
			}
		}
	}
}

// unresponsive reports whether a server has requests in flight and has not responded for long.
func (l *Limiter) unresponsive(now float64, s *server) bool {
	if s.inFlight == 0 {
		return false
	}
	typical := slices.Max(l.typicalMs) * s.relativeTime(now) / l.slowStartShare(now, s) * l.loadModel.factor(s.load())
	return now-s.waitingSince > unresponsiveFactor*typical+l.cfg.Caps.ConnectTimeoutMs
}

// checkServers probes the servers that are down or unresponsive. Where the deployment has no
// probes, a server that is down is tried with one request at a time.
func (l *Limiter) checkServers(now float64) {
	for _, s := range l.serverList {
		if s.info.Phase != Up || !s.down && !l.unresponsive(now, s) || now < s.probedAt+minProbeIntervalMs {
			continue
		}
		s.probedAt = now
		if l.cfg.Caps.Probes {
			l.emit(ProbeServer{Server: s.info.ID})
		} else if s.down {
			s.down, s.connectFailures = false, downAfterFailures-1
		}
	}
}

// handleProbeResult brings a server that responds back into use. One that does not respond is
// marked down if it is still unresponsive to requests.
func (l *Limiter) handleProbeResult(now float64, e ProbeResult) {
	s := l.servers[e.Server]
	if s == nil || s.info.Phase != Up {
		return
	}
	switch e.Result {
	case Success:
		s.waitingSince = now
		if s.down {
			s.down, s.connectFailures = false, 0
			l.logf("server %d is up again: the probe succeeded", s.info.ID)
		}
	case TimedOut, ConnectFailed, ConnectionLost:
		if s.down || l.unresponsive(now, s) {
			l.markDown(s, "no response, and the probe failed")
		}
	}
}
