package balance

import "math"

const (
	// hintTTLMs is the time after which a reported load expires: a peer that has stopped does
	// not report that its load is gone.
	hintTTLMs = 1500.0
	// slowdownWeight is the weight of one response in the moving average of a server's
	// slowdown. docs/decisions/0003 compares it with 0.30, alone and with other weights of zone
	// and affinity.
	slowdownWeight = 0.15
	// fullWeightServers is the number of servers of a service from which a response has its
	// full weight. With fewer servers there is little choice, and each server has a large part
	// in the typical latency.
	fullWeightServers = 4
	// slowdownDecayMs is the time constant of the decay of a slowdown to 1. A slow server gets
	// too few requests for their latency to show that it has recovered.
	slowdownDecayMs = 4000.0
	minSlowdown     = 0.3
	maxSlowdown     = 8
	// warmupFactor multiplies the slowness of a server during its slow start.
	warmupFactor = 2.0
)

// Special values of a [Hint], and its unit of latency.
const (
	LatencyFailed   = 255  // Hint.Latency: the request failed
	InFlightUnknown = 255  // Hint.InFlight: not reported
	latencyUnit     = 16.0 // Hint.Latency that stands for the typical latency
)

// Hint is a limiter's report about a server to its peers: the limiter's requests in flight there
// and, after a response, the latency relative to the typical latency.
type Hint struct {
	Server   uint32 // hash of the member's id
	InFlight uint8  // at most 254; or [InFlightUnknown]
	Latency  uint8  // in sixteenths of the typical latency, 1 to 254; 0: no response since; or [LatencyFailed]
}

// peerLoad is the number of requests that another limiter has in flight at a server.
type peerLoad struct {
	inFlight   int
	receivedAt float64
}

// InFlight returns the number of this limiter's requests in flight at the server.
func (m *Member) InFlight() int { return m.inFlight }

// Load returns the number of requests in flight at the server: this limiter's own and those
// that its peers have reported.
func (m *Member) Load(now float64) float64 {
	n := float64(m.inFlight)
	for id, l := range m.peerLoads {
		if now-l.receivedAt > hintTTLMs {
			delete(m.peerLoads, id)
			continue
		}
		n += float64(l.inFlight)
	}
	return n
}

// Slowness returns the latency of the server relative to the typical latency, at least 1.
func (m *Member) Slowness(now float64) float64 { return max(1, m.slowness(now)) }

// slowness returns the latency of the server relative to the typical latency; below 1 if it is
// faster.
func (m *Member) slowness(now float64) float64 {
	m.slowdown = 1 + (m.slowdown-1)*math.Exp((m.slowdownAt-now)/slowdownDecayMs)
	m.slowdownAt = now
	if m.isWarming(now) {
		return m.slowdown * warmupFactor
	}
	return m.slowdown
}

func (m *Member) isWarming(now float64) bool { return m.warmingUntil-now > 0 }

// encodeLatency converts a latency, relative to the typical latency, to the unit of [Hint].
func encodeLatency(ratio float64) uint8 {
	return uint8(max(1, min(latencyUnit*ratio, LatencyFailed-1)))
}

// observeLatency updates a server's slowdown with the latency of one response. Responses during
// the slow start are ignored, as they do not predict the latency after it.
func (s *Set) observeLatency(now float64, m *Member, latency uint8) {
	m.slowdown = m.slowness(now)
	if m.isWarming(now) {
		m.slowdown /= warmupFactor
		return
	}
	sizeFactor := min(1, float64(len(m.service.members))/fullWeightServers)
	m.slowdown += (float64(latency)/latencyUnit - m.slowdown) * slowdownWeight * sizeFactor
	m.slowdown = max(minSlowdown, min(maxSlowdown, m.slowdown))
}

// StartAttempt records that a request is sent to a server.
func (s *Set) StartAttempt(m *Member) {
	m.inFlight++
	m.attempted = true
	s.queueHint(m, 0)
}

// queueHint queues a hint about a server for the next DrainHints. A latency of 0 keeps the
// latency that is already queued.
func (s *Set) queueHint(m *Member, latency uint8) {
	if latency == 0 {
		latency = s.pendingHints[m.Hash]
	}
	s.pendingHints[m.Hash] = latency
}

// DrainHints appends the hints about servers whose load or latency has changed since the last
// call.
func (s *Set) DrainHints(out []Hint) []Hint {
	for hash, latency := range s.pendingHints {
		n := 0
		if m := s.byHash[hash]; m != nil {
			n = m.inFlight
		}
		out = append(out, Hint{hash, uint8(min(InFlightUnknown-1, n)), latency})
	}
	clear(s.pendingHints)
	return out
}

// ReceiveHints applies the hints of another limiter. Hints about unknown servers are ignored.
func (s *Set) ReceiveHints(now float64, from uint64, hints []Hint) {
	for _, h := range hints {
		m := s.byHash[h.Server]
		if m == nil {
			continue
		}
		switch h.InFlight {
		case InFlightUnknown:
		case 0:
			delete(m.peerLoads, from)
		default:
			m.peerLoads[from] = peerLoad{int(h.InFlight), now}
		}
		switch h.Latency {
		case 0:
		case LatencyFailed:
			s.recordZoneFailure(now, m, peerFailureWeight*zoneFailureWeight)
			s.recordFailure(now, m, peerFailureWeight)
		default:
			s.observeLatency(now, m, h.Latency)
		}
	}
}
