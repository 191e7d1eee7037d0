package balancer

// This file judges the health of servers: failed connects and missing responses mark a server down,
// failures of a class eject it for that class, and probes bring it back.

import "slices"

const (
	// downAfterFailures is the number of failed connects in a row after which a server is down.
	downAfterFailures = 2
	// A server is unresponsive after unresponsiveFactor times the expected time without a
	// response.
	unresponsiveFactor = 4.0
	// minProbeIntervalMs is the least time between two probes of a server, in ms.
	minProbeIntervalMs = 500.0

	// A server is ejected for a class for ejectionMs after ejectAfterFailures failures of
	// the class there within half of that time.
	ejectionMs         = 4000.0
	ejectAfterFailures = 2
	// Failure hints to peers take hintMessageShare of the messages. None are sent where more
	// than maxHintFailureShare of all responses fail, as that is no one server's fault.
	hintMessageShare    = 0.12
	maxHintFailureShare = 0.3
)

// ejection is what is known of the failures of one class at a server.
type ejection struct {
	failures      int // within half of ejectionMs of each other
	lastFailureAt float64
	until         float64 // the server gets no requests of the class until then
}

// observeOutcome learns about a server and a class from how an attempt ended. An attempt that
// was in flight while this process was paused says nothing.
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

// observeFailureShare counts an executed attempt as success or failure. A failure is counted
// at the server too, and peers may be sent a hint of it.
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

// sendFailureHint sends all peers a hint of a failure of a class at a server, if a hint is due and
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
// One of many limiters sends each server too little to judge it alone. When the ejection ends
// all use the server again, and the first failures eject it anew. A fault of all servers must
// not be blamed on some: at most half of the servers are ejected, and as many failures as the
// share of failures in the whole fleet makes likely count for nothing.
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
		l.logf("server %d: class %d fails there, kept off", s.info.ID, class)
	}
	e.until = now + ejectionMs
}

// markDown stops the use of a server and cancels the attempts there that may be retried.
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

// checkServers probes the servers that are down or unresponsive. Where there are no probes, a server
// that is down is tried with one request at a time.
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

// handleProbeResult brings a server back that responds, and marks one down that doesn't.
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
			l.logf("server %d answers again", s.info.ID)
		}
	case TimedOut, ConnectFailed, ConnectionLost:
		if s.down || l.unresponsive(now, s) {
			l.markDown(s, "silent, and the probe failed")
		}
	}
}
