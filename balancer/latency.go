package balancer

// This file estimates response times: the typical time of each class, the relative time of
// each server, and how the time rises with the load.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// serverSpeedMs is the time constant of the averages of a server's response times, in ms.
	serverSpeedMs = 2000.0
	// minAnswerWeight is the least weight of one response in the typical time of a class and
	// in the load model, which then hold some 200 responses.
	minAnswerWeight = 0.005
	// initialLoadSlope is how much each further request in flight lengthens a response
	// before there is evidence.
	initialLoadSlope = 0.25
	// loadSlopePriorWeight is the weight of initialLoadSlope against observations, in squared
	// requests of observed spread.
	loadSlopePriorWeight = 1.0
)

// loadModel holds moving averages of the load at which responses were sent for and of their
// times against the typical one.
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

// factor is the time of a response at a load, against the typical one. It is a line through
// what was observed: flat while servers have idle cores, at its steepest proportional to the
// load.
func (m *loadModel) factor(load float64) float64 {
	if m.count == 0 {
		return 1 + initialLoadSlope*(load-1)
	}
	prior := m.meanTime * initialLoadSlope / (1 + initialLoadSlope*(m.meanLoad-1))
	slope := (m.meanLoadTime - m.meanLoad*m.meanTime + prior*loadSlopePriorWeight) /
		(m.meanLoadSquared - m.meanLoad*m.meanLoad + loadSlopePriorWeight)
	return m.meanTime + max(prior/20, min(m.meanTime/m.meanLoad, slope))*(load-m.meanLoad)
}

// load is the number of requests that this limiter has at a server. What others have there
// shows in the times of responses. Load reports are not used: they come too late and are too
// noisy, and every deployment that has them did worse with them.
func (s *server) load() float64 { return float64(s.inFlight) }

// expectedTime is the time in ms that a response from a server is expected to take.
func (l *Limiter) expectedTime(now float64, s *server, class int) float64 {
	return l.typicalTime(class) * s.relativeTime(now) / l.slowStartShare(now, s) * l.loadModel.factor(s.load()+1)
}

// relativeTime is the time that a server takes against the typical one. It is 1 while nothing
// is known.
func (s *server) relativeTime(now float64) float64 {
	s.decayAnswers(now, serverSpeedMs)
	return (s.relativeTimeSum + 1) / (s.answerWeight + 1)
}

// typicalTime is the typical time of a class in ms. A class without responses has that of the
// slowest other one.
func (l *Limiter) typicalTime(class int) float64 {
	return cmp.Or(l.typicalMs[class], max(1, slices.Max(l.typicalMs)))
}

// decayAnswers lets the averages of a server's response times decay, with a time constant in ms.
func (s *server) decayAnswers(now, timeConstant float64) {
	f := math.Exp((s.answersDecayedAt - now) / timeConstant)
	s.relativeTimeSum, s.answerWeight, s.answersDecayedAt = s.relativeTimeSum*f, s.answerWeight*f, now
}

// observeLatency learns from a successful response. The typical time is brought up to date
// first: the load model and the server's average hold times against it.
func (l *Limiter) observeLatency(now float64, a *attempt, class int, latencyMs float64) {
	typical := &l.typicalMs[class]
	l.answerCount[class]++
	*typical += (latencyMs - *typical) * max(minAnswerWeight, 1/l.answerCount[class])
	l.loadModel.observe(a.load, latencyMs / *typical, minAnswerWeight)
	s := a.server
	s.decayAnswers(now, serverSpeedMs)
	s.relativeTimeSum += latencyMs / *typical / l.loadModel.factor(a.load)
	s.answerWeight++
}
