package balance

import "math"

const (
	// hintTTLMs is how long a peer's load counts. A peer that has stopped does not take its load back.
	hintTTLMs = 1500.0
	// slowdownWeight is the weight of one answer in a server's slowdown. docs/decisions/0003
	// has figures for 0.30 too, alone and with other weights of zone and affinity.
	slowdownWeight = 0.15
	// slowdownServers is the size of a service from which on an answer has its full weight.
	// Where there are few servers there is little to choose, and the average includes each.
	slowdownServers = 4
	// slowdownDecayMs is the time constant by which a slowdown returns to 1: a slow server
	// gets few requests, so it could not show by them that it is fast again.
	slowdownDecayMs = 4000.0
	minSlowdown     = 0.3
	maxSlowdown     = 8
	// warmupFactor is how much slower a server counts during its slow start.
	warmupFactor = 2.0
)

// The special values of a [Hint], and its unit of latency.
const (
	LatencyFailed   = 255 // Hint.Latency: the request failed
	InFlightUnknown = 255 // Hint.InFlight: not reported
	latencyUnit     = 16.0
)

// Hint is what a limiter reports to its peers about a server: its requests in flight there and, where
// an answer has come, the latency against the typical one.
type Hint struct {
	Server   uint32 // hash of the member's id
	InFlight uint8  // at most 254; or [InFlightUnknown]
	Latency  uint8  // in sixteenths of the typical time, 1 to 254; 0: no answer since; or [LatencyFailed]
}

// peerLoad is what another limiter has in flight at a server.
type peerLoad struct {
	inFlight int
	at       float64
}

// InFlight is the number of this limiter's requests in flight at a server.
func (m *Member) InFlight() int { return m.inFlight }

// Load is the number of requests in flight at a server, of this limiter and of its peers as
// far as they report them.
func (m *Member) Load(now float64) float64 {
	n := float64(m.inFlight)
	for id, l := range m.peerLoads {
		if now-l.at > hintTTLMs {
			delete(m.peerLoads, id)
			continue
		}
		n += float64(l.inFlight)
	}
	return n
}

// Slowness is by how much longer than is typical a server takes, 1 at the least.
func (m *Member) Slowness(now float64) float64 { return max(1, m.slowness(now)) }

// slowness is the latency of a server against the typical one; below 1 where it is faster.
func (m *Member) slowness(now float64) float64 {
	m.slowdown = 1 + (m.slowdown-1)*math.Exp((m.slowdownAt-now)/slowdownDecayMs)
	m.slowdownAt = now
	if m.isWarming(now) {
		return m.slowdown * warmupFactor
	}
	return m.slowdown
}

func (m *Member) isWarming(now float64) bool { return m.warmingUntil-now > 0 }

// encodeLatency is a latency, against the typical one, as [Hint] carries it.
func encodeLatency(ratio float64) uint8 {
	return uint8(max(1, min(latencyUnit*ratio, LatencyFailed-1)))
}

// observeLatency takes the latency of one answer into a server's slowdown. Answers during the
// slow start say nothing of the time after it.
func (s *Set) observeLatency(now float64, m *Member, latency uint8) {
	m.slowdown = m.slowness(now)
	if m.isWarming(now) {
		m.slowdown /= warmupFactor
		return
	}
	choices := min(1, float64(len(m.service.members))/slowdownServers)
	m.slowdown += (float64(latency)/latencyUnit - m.slowdown) * slowdownWeight * choices
	m.slowdown = max(minSlowdown, min(maxSlowdown, m.slowdown))
}

// StartAttempt notes that a request goes to a server.
func (s *Set) StartAttempt(m *Member) {
	m.inFlight++
	m.attempted = true
	s.queueHint(m, 0)
}

// queueHint marks a server for the next DrainHints. A latency of 0 keeps one that was queued.
func (s *Set) queueHint(m *Member, latency uint8) {
	if latency == 0 {
		latency = s.pendingHints[m.Hash]
	}
	s.pendingHints[m.Hash] = latency
}

// DrainHints appends the hints on servers whose load or latency has changed since the last call.
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

// ReceiveHints takes in the hints of another limiter. Those on unknown servers are skipped.
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
			s.zoneFailed(now, m, peerFailureWeight*zoneFailureWeight)
			s.failed(now, m, peerFailureWeight)
		default:
			s.observeLatency(now, m, h.Latency)
		}
	}
}
