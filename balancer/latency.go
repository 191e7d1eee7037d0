package balancer

// Estimation of response times: the typical time of each class, the relative time of each
// server, and the increase with load.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// responseTimeConstantMs is the time constant of the averages of a server's response times,
	// in ms.
	responseTimeConstantMs = 2000.0
	// minResponseWeight is the least weight of one response in the typical time of a class and
	// in the load model, which thus average over some 200 responses.
	minResponseWeight = 0.005
	// deviationFactor is the multiple of the mean error that is added to an expected time, as in
	// retransmission time-outs (RFC 6298): servers go on with work whose client has given up.
	deviationFactor = 4.0
	// timeErrorWeight is the weight of one response in the mean error of the expected time.
	timeErrorWeight = 0.02
	// initialLoadSlope is how much each further request in flight lengthens a response,
	// relative to the typical time, while there are no observations.
	initialLoadSlope = 0.25
	// loadSlopePriorWeight is the weight of initialLoadSlope against the observations, as a
	// variance of the load in squared requests.
	loadSlopePriorWeight = 1.0
)

// loadModel relates the response time to the load: it holds moving averages of the load at
// which requests were sent and of their response times relative to the typical time.
type loadModel struct {
	count           float64
	meanLoad        float64
	meanTime        float64
	meanLoadSquared float64
	meanLoadTime    float64
}

// observe adds one response; its weight is at least minWeight.
func (m *loadModel) observe(load, time, minWeight float64) {
	m.count++
	w := max(minWeight, 1/m.count)
	m.meanLoad += w * (load - m.meanLoad)
	m.meanTime += w * (time - m.meanTime)
	m.meanLoadSquared += w * (load*load - m.meanLoadSquared)
	m.meanLoadTime += w * (load*time - m.meanLoadTime)
}

// factor returns the response time at a load relative to the typical time. It is a line fitted
// to the observations: almost flat while servers have idle cores, and at its steepest
// proportional to the load.
func (m *loadModel) factor(load float64) float64 {
	if m.count == 0 {
		return 1 + initialLoadSlope*(load-1)
	}
	prior := m.meanTime * initialLoadSlope / (1 + initialLoadSlope*(m.meanLoad-1))
	slope := (m.meanLoadTime - m.meanLoad*m.meanTime + prior*loadSlopePriorWeight) /
		(m.meanLoadSquared - m.meanLoad*m.meanLoad + loadSlopePriorWeight)
	return m.meanTime + max(prior/20, min(m.meanTime/m.meanLoad, slope))*(load-m.meanLoad)
}

// load is the number of requests that this limiter has in flight at a server. The load from
// others shows in the response times. Load reports are not used: they are too late and too
// noisy, and every deployment that has them performed worse with them.
func (s *server) load() float64 { return float64(s.inFlight) }

// expectedTime is the expected time of a response from a server, in ms.
func (l *Limiter) expectedTime(now float64, s *server, class int) float64 {
	return l.typicalTime(class) * s.relativeTime(now) / l.slowStartShare(now, s) * l.loadModel.factor(s.load()+1)
}

// responseTime is the time in ms by which most responses have come that are expected to take
// expectedTime: earlier ones deviated from what was expected of them.
func (l *Limiter) responseTime(now float64, s *server, class int) float64 {
	return l.expectedTime(now, s, class) * (1 + deviationFactor*l.timeError)
}

// relativeTime is the ratio of a server's response times to the typical ones. It is 1 while
// nothing is known.
func (s *server) relativeTime(now float64) float64 {
	s.decayResponseTimes(now, responseTimeConstantMs)
	return (s.relativeTimeSum + 1) / (s.responseWeight + 1)
}

// typicalTime is the typical response time of a class, in ms. A class without responses uses
// that of the slowest class.
func (l *Limiter) typicalTime(class int) float64 {
	return cmp.Or(l.typicalMs[class], max(1, slices.Max(l.typicalMs)))
}

// decayResponseTimes lets the averages of a server's response times decay, with a time constant
// in ms.
func (s *server) decayResponseTimes(now, timeConstant float64) {
	f := math.Exp((s.responseTimesDecayedAt - now) / timeConstant)
	s.relativeTimeSum, s.responseWeight, s.responseTimesDecayedAt = s.relativeTimeSum*f, s.responseWeight*f, now
}

// observeLatency adds the time of a successful response. The typical time is updated first, as
// the load model and the server's average hold times relative to it.
func (l *Limiter) observeLatency(now float64, a *attempt, class int, latencyMs float64) {
	typical := &l.typicalMs[class]
	l.responseCount[class]++
	*typical += (latencyMs - *typical) * max(minResponseWeight, 1/l.responseCount[class])
	if a.expectedMs > 0 {
		l.timeError += (math.Abs(latencyMs/a.expectedMs-1) - l.timeError) * timeErrorWeight
	}
	l.loadModel.observe(a.load, latencyMs / *typical, minResponseWeight)
	s := a.server
	s.decayResponseTimes(now, responseTimeConstantMs)
	s.relativeTimeSum += latencyMs / *typical / l.loadModel.factor(a.load)
	s.responseWeight++
}
