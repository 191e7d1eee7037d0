package balance

import (
	"math"

	"example.org/elmspan/health"
)

// Result is how an attempt ended.
type Result int

// The results of an attempt.
const (
	Success            Result = iota // a complete response
	Rejected                         // the server responded that it did not run the request
	Failure                          // no response, or an unusable one
	NotSent                          // nothing reached the server: the connection failed
	Cancelled                        // cancelled, or the deadline passed: says nothing about the server
	Replaced                         // another server responded at the address
	HedgeLost                        // cancelled when another attempt responded first; its time is a lower bound
	ServerError                      // the server ran the request and responded with an error of its own
	ClientDisconnected               // cancelled when the client disconnected; its time is a lower bound
)

const (
	// typicalLatencyWeight is the weight of one response in the moving average of a service's
	// latency.
	typicalLatencyWeight = 0.02
	// rejectionBackoffMs is the time for which a server gets no requests after it rejected one.
	// It is also the minimum time to a retry of a request for which no server can be chosen.
	rejectionBackoffMs = 60.0
	// replacedBackoffMs is the time for which a server gets no requests after another one
	// responded at its address.
	replacedBackoffMs = 8000.0
)

// The weights of uncertain failures. A failure that this limiter has observed has weight 1
// (docs/decisions/0009).
const (
	// peerFailureWeight is for a failure that another limiter reports, without the number of
	// responses that it received.
	peerFailureWeight = 0.25
	// rejectedWeight is for a rejection by a server that has free slots as far as is known.
	rejectedWeight = 0.4
	// overdueWeight is for a response that is overdue: the server may only be busy.
	overdueWeight = 0.5
)

// FinishAttempt records the result of an attempt and the time it took.
func (s *Set) FinishAttempt(now float64, m *Member, r Result, tookMs float64) {
	m.inFlight = max(0, m.inFlight-1)
	latency := uint8(0) // for the hint
	switch r {
	case Success:
		latency = s.observeSuccess(now, m, tookMs)
	case HedgeLost, ClientDisconnected:
		latency = s.observeLatencyBound(now, m, tookMs)
	case Rejected:
		s.observeRejection(now, m)
	case Failure, NotSent, ServerError:
		latency = LatencyFailed
		s.observeFailure(now, m, r)
	case Replaced:
		m.replacedUntil = now + replacedBackoffMs
	case Cancelled:
	}
	s.queueHint(m, latency)
}

// observeSuccess records a response and returns its latency for the hint.
func (s *Set) observeSuccess(now float64, m *Member, tookMs float64) uint8 {
	v := m.service
	v.baseline.Observe(false)
	m.health.ObserveSuccess(now, &v.baseline)
	s.recordZoneSuccess(now, m)
	v.successes++
	// The typical latency is not corrected for queues and slowdowns: those of each server are
	// relative to it.
	weight := max(typicalLatencyWeight, 1/v.successes)
	v.typicalLatencyMs += (tookMs - v.typicalLatencyMs) * weight
	v.latencyDeviationMs += (math.Abs(tookMs-v.typicalLatencyMs) - v.latencyDeviationMs) * weight
	latency := encodeLatency(v.latencyRatio(tookMs))
	s.observeLatency(now, m, latency)
	return latency
}

// observeLatencyBound records an attempt that was cancelled before its response and returns its
// latency for the hint. The latency is a lower bound, so it is used only if it exceeds the
// server's slowdown.
func (s *Set) observeLatencyBound(now float64, m *Member, tookMs float64) uint8 {
	ratio := m.service.latencyRatio(tookMs)
	if ratio <= m.slowdown {
		return 0
	}
	latency := encodeLatency(ratio)
	s.observeLatency(now, m, latency)
	return latency
}

// latencyRatio returns a latency relative to the typical latency, which is taken as at least
// 1 ms.
func (v *service) latencyRatio(tookMs float64) float64 { return tookMs / max(1, v.typicalLatencyMs) }

// observeRejection records that a server rejected a request for lack of capacity. It counts as a
// possible fault if the known load is less than half of the server's slots.
func (s *Set) observeRejection(now float64, m *Member) {
	m.rejectingUntil = now + rejectionBackoffMs
	if m.affinity < distantServer && 2*m.Load(now) < float64(m.Capacity) {
		s.recordFailure(now, m, rejectedWeight)
	}
}

// observeFailure records a failed attempt. A server's own error does not count against its zone,
// as it shows that the zone can be reached.
func (s *Set) observeFailure(now float64, m *Member, r Result) {
	m.service.baseline.Observe(true)
	if r != ServerError {
		s.recordZoneFailure(now, m, zoneFailureWeight)
	}
	weight := 1.0
	if r == NotSent {
		weight = health.ConclusiveWeight
	}
	s.recordFailure(now, m, weight)
}

// recordFailure counts a failure against a server. It ejects the server only if at most half of
// the service's servers are ejected afterwards: if most fail, the cause is not a single server.
func (s *Set) recordFailure(now float64, m *Member, weight float64) {
	ejected := 0
	for _, other := range m.service.members {
		if other.health.Ejected(now) {
			ejected++
		}
	}
	m.health.ObserveFailure(now, weight, &m.service.baseline, 2*(ejected+1) <= len(m.service.members))
}

// ObserveOverdue records that a response of a server is overdue.
func (s *Set) ObserveOverdue(now float64, m *Member) {
	s.recordZoneFailure(now, m, overdueWeight*zoneFailureWeight)
	s.recordFailure(now, m, overdueWeight)
}
