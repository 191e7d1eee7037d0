package balancer

// This file judges the health of servers: failed connects and silence mark a server down,
// failures of a class eject it for that class, and probes bring it back.

import "slices"

const (
	// downAfterFailures is the number of failed connects in a row after which a server is down.
	downAfterFailures = 2
	// A server is silent after silenceFactor times the expected time without a response.
	silenceFactor = 4.0
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

// illness is what is known of failures of one class at a server.
type ejection struct {
	failures             int
	lastFailureAt, until float64
}

// observe learns from an outcome about the server and the class.
func (l *Limiter) observeOutcome(now float64, a *attempt, r *request, e Outcome) {
	s := a.server
	s.waitingSince = now
	if a.sentAt < l.resumedAt {
		return
	}
	if e.Result == Success || e.Result == ServerError || e.Result == ConnectionLost || e.Result == TimedOut {
		l.failureShare -= averagingWeight * l.failureShare
		if e.Result != Success {
			l.failureShare += averagingWeight
			if now >= l.nextHintAt && l.failureShare < maxHintFailureShare && l.cfg.Caps.Peers && now >= s.ejections[r.class].until {
				l.nextHintAt = now + l.hintInterval
				l.sendToRange(peerMessage{flags: flagLevelUpdate | flagFailureHint, entries: []peerEntry{{customer: s.info.ID,
					plan: uint64(r.class)}}}, 0, len(l.peers))
			}
			l.recordFailure(now, s, r.class)
		}
	}
	switch e.Result {
	case Success:
		w := &l.typicalMs[r.class]
		l.answerCount[r.class]++
		*w += (e.LatencyMs - *w) * max(minAnswerWeight, 1/l.answerCount[r.class])
		l.loadModel.observe(a.load, e.LatencyMs / *w, minAnswerWeight)
		s.decayAnswers(now, serverSpeedMs)
		s.relativeTimeSum += e.LatencyMs / *w / l.loadFactor(a.load)
		s.answerWeight++
		s.connectFailures = 0
	case Rejected:
		s.rejectingUntil = now + rejectedPauseMs
	case ConnectFailed:
		if s.connectFailures++; s.connectFailures >= downAfterFailures {
			l.markDown(now, s, "connects fail")
		}
	}
}

// suspect counts a failure of a class at a server, seen here or told. A gateway
// of many sends each server too little to judge it alone. When the time is up all
// use it again, and the first failures keep it off anew. It should hold against
// any server that fails all or one class, and harms if a passing trouble of all
// servers is laid to some: at most half are kept off.
func (l *Limiter) recordFailure(now float64, s *server, class int) {
	e := &s.ejections[class]
	if now-e.lastFailureAt > ejectionMs/2 {
		e.failures = 0
	}
	e.lastFailureAt, e.failures = now, e.failures+1
	off := 0
	for _, o := range l.serverList {
		if now < o.ejections[class].until {
			off++
		}
	}
	// As many failures as the fleet's share of them makes likely say nothing.
	likely := l.failureShare * l.decayedAttempts(now) * float64(l.cfg.Balancers) / float64(len(l.serverList))
	if float64(e.failures) >= ejectAfterFailures+likely && 2*(off+1) <= len(l.serverList) {
		if now >= e.until {
			l.logf("server %d: class %d fails there, kept off", s.info.ID, class)
		}
		e.until = now + ejectionMs
	}
}

func (l *Limiter) markDown(now float64, s *server, why string) {
	if !s.down {
		l.logf("server %d is down: %s", s.info.ID, why)
	}
	if s.down = true; !l.cfg.Caps.Cancel {
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

// stalled tells that a server owes answers and has been silent for long.
func (l *Limiter) silent(now float64, s *server) bool {
	if s.inflight == 0 {
		return false
	}
	typical := slices.Max(l.typicalMs) * s.relativeTime(now) / l.slowStartShare(now, s) * l.loadFactor(s.load())
	return now-s.waitingSince > silenceFactor*typical+l.cfg.Caps.ConnectTimeoutMs
}

// checkServers probes those that are down or silent.
func (l *Limiter) checkServers(now float64) {
	for _, s := range l.serverList {
		if s.info.Phase != Up || !(s.down || l.silent(now, s)) || now < s.probedAt+minProbeIntervalMs {
			continue
		}
		s.probedAt = now
		if l.cfg.Caps.Probes {
			l.emit(Probe{Server: s.info.ID})
		} else if s.down { // no probes: one request at a time finds out
			s.down, s.connectFailures = false, downAfterFailures-1
		}
	}
}

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
		if s.down || l.silent(now, s) {
			l.markDown(now, s, "silent, and the probe failed")
		}
	}
}
