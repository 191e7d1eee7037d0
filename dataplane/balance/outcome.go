package balance

import "example.org/elmspan/health"

// Result is how an attempt ended.
type Result int

// The results.
const (
	Success            Result = iota // an answer in full
	Rejected                         // the server said that it did not run the request
	Failure                          // no answer, or none of use
	NotSent                          // nothing reached the server: the connect failed
	Cancelled                        // given up here: says nothing about the server
	Replaced                         // another server answers at the address
	HedgeLost                        // given up as another attempt answered first: it took at least as long
	ServerError                      // the server ran the request and answered with a failure of its own
	ClientDisconnected               // given up as the client had left: it took at least as long
)

const (
	// typicalWeight is the weight of one answer in the typical latency of a service.
	typicalWeight = 0.02
	// rejectedMs is how long a server that said that it is full gets no requests. Where no
	// server can be chosen, the request should come back no sooner.
	rejectedMs = 60.0
	// replacedMs is how long a server gets no requests after another one answered at its address.
	replacedMs = 8000.0
)

// The weights of what is no certain failure, against 1 for a failure seen here
// (docs/decisions/0009).
const (
	// peerFailureWeight: another limiter reports a failure, without the answers it had.
	peerFailureWeight = 0.25
	// rejectedWeight: the server says that it is full, and has room as far as is known.
	rejectedWeight = 0.4
	// overdueWeight: the server owes an answer for long. It may only be busy.
	overdueWeight = 0.5
)

// FinishAttempt notes how an attempt ended and how long it took.
func (s *Set) FinishAttempt(now float64, m *Member, r Result, tookMs float64) {
	m.inFlight = max(0, m.inFlight-1)
	latency := uint8(0) // for the hint
	switch r {
	case Success:
		latency = s.answered(now, m, tookMs)
	case HedgeLost, ClientDisconnected:
		latency = s.gaveUp(now, m, tookMs)
	case Rejected:
		s.rejected(now, m)
	case Failure, NotSent, ServerError:
		latency = LatencyFailed
		s.attemptFailed(now, m, r)
	case Replaced:
		m.replacedUntil = now + replacedMs
	case Cancelled:
	}
	s.queueHint(m, latency)
}

// answered takes in an answer and returns its latency for the hint.
func (s *Set) answered(now float64, m *Member, tookMs float64) uint8 {
	v := m.service
	v.baseline.Observe(false)
	m.health.ObserveSuccess(now, &v.baseline)
	s.zoneAnswered(now, m)
	v.successes++
	// The typical latency includes servers as they are: queues and slowdowns are the
	// servers' own figures against it.
	v.typicalMs += (tookMs - v.typicalMs) * max(typicalWeight, 1/v.successes)
	latency := encodeLatency(v.latencyRatio(tookMs))
	s.observeLatency(now, m, latency)
	return latency
}

// gaveUp takes in an attempt that was given up before its answer. Its latency is a lower
// bound: it counts where it shows that the server is slower than was known.
func (s *Set) gaveUp(now float64, m *Member, tookMs float64) uint8 {
	ratio := m.service.latencyRatio(tookMs)
	if ratio <= m.slowdown {
		return 0
	}
	latency := encodeLatency(ratio)
	s.observeLatency(now, m, latency)
	return latency
}

// latencyRatio is a time against the typical one, which counts as 1 ms at the least.
func (v *service) latencyRatio(tookMs float64) float64 { return tookMs / max(1, v.typicalMs) }

// rejected takes in that a server said that it is full. It counts as a sign of a fault where
// less than half of its slots are taken, as far as this limiter knows its load.
func (s *Set) rejected(now float64, m *Member) {
	m.rejectingUntil = now + rejectedMs
	if m.affinity < distantServer && 2*m.Load(now) < float64(m.Capacity) {
		s.failed(now, m, rejectedWeight)
	}
}

// attemptFailed takes in a failure. A server's own error shows that its zone can be reached.
func (s *Set) attemptFailed(now float64, m *Member, r Result) {
	m.service.baseline.Observe(true)
	if r != ServerError {
		s.zoneFailed(now, m, zoneFailureWeight)
	}
	weight := 1.0
	if r == NotSent {
		weight = health.ConclusiveWeight
	}
	s.failed(now, m, weight)
}

// failed counts a failure against a server. It ejects the server only if at most half of its
// service is ejected then: where most fail, the cause is no single server.
func (s *Set) failed(now float64, m *Member, weight float64) {
	ejected := 0
	for _, other := range m.service.members {
		if other.health.Ejected(now) {
			ejected++
		}
	}
	m.health.ObserveFailure(now, weight, &m.service.baseline, 2*(ejected+1) <= len(m.service.members))
}

// ObserveOverdue notes that a server owes an answer for long.
func (s *Set) ObserveOverdue(now float64, m *Member) {
	s.zoneFailed(now, m, overdueWeight*zoneFailureWeight)
	s.failed(now, m, overdueWeight)
}
