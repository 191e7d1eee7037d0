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

// load is the number of requests that this gateway has at a server. What the
// others have there shows in the times of answers: reports of it come too late
// and too noisy, and counting them made every deployment that has them worse.
func (s *server) load() float64 { return float64(s.inflight) }

// expected is the time an answer from a server is expected to take.
func (l *Limiter) expectedTime(now float64, s *server, class int) float64 {
	return l.typicalTime(class) * s.relativeTime(now) / l.slowStartShare(now, s) * l.loadFactor(s.load()+1)
}

// curve is how long an answer takes with so many requests in hand, against
// the typical one. It is a line through what was seen: flat while servers have
// cores to spare, at its steepest proportional to the load.
func (l *Limiter) loadFactor(load float64) float64 {
	f := &l.loadModel
	if f.count == 0 {
		return 1 + initialLoadSlope*(load-1)
	}
	prior := f.meanTime * initialLoadSlope / (1 + initialLoadSlope*(f.meanLoad-1))
	slope := (f.meanLoadTime - f.meanLoad*f.meanTime + prior*loadSlopePriorWeight) / (f.meanLoadSquared - f.meanLoad*f.meanLoad + loadSlopePriorWeight)
	return f.meanTime + max(prior/20, min(f.meanTime/f.meanLoad, slope))*(load-f.meanLoad)
}

// slowness is the time a server takes against the typical one; with no record it is typical.
func (s *server) relativeTime(now float64) float64 {
	s.decayAnswers(now, serverSpeedMs)
	return (s.relativeTimeSum + 1) / (s.answerWeight + 1)
}

// workOf is the typical time of a class; an unseen one borrows from the others.
func (l *Limiter) typicalTime(class int) float64 {
	return cmp.Or(l.typicalMs[class], max(1, slices.Max(l.typicalMs)))
}

// fit holds moving averages of load k and time y of answers.
type loadModel struct{ count, meanLoad, meanTime, meanLoadSquared, meanLoadTime float64 }

// add notes one answer's load and time.
func (f *loadModel) observe(k, y, least float64) {
	f.count++
	w := max(least, 1/f.count)
	f.meanLoad += w * (k - f.meanLoad)
	f.meanTime += w * (y - f.meanTime)
	f.meanLoadSquared += w * (k*k - f.meanLoadSquared)
	f.meanLoadTime += w * (k*y - f.meanLoadTime)
}

// decayStat fades the sums of what a server took.
func (s *server) decayAnswers(now, over float64) {
	f := math.Exp((s.answersDecayedAt - now) / over)
	s.relativeTimeSum, s.answerWeight, s.answersDecayedAt = s.relativeTimeSum*f, s.answerWeight*f, now
}
