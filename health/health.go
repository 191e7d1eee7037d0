// Package health detects unhealthy servers by how requests to them end: passive
// outlier detection. Health checks that a server answers about itself can be wrong in
// both directions, so only its answers to real requests count.
//
// A [Detector] keeps a cumulative sum of log likelihood ratios for one server (Page,
// "Continuous Inspection Schemes", 1954). Each failure raises the score and each answer
// lowers it, by how much more likely that end is at an unhealthy server than at one that
// fails as often as the others of its service ([Baseline]). At the threshold the server is
// ejected for a time: it gets no requests. So three failures in a row eject a server, and
// so do four among ten answers; one among twenty does not, and where all servers of a
// service fail alike none is ejected. Conclusive failures, such as a refused connection,
// weigh more: two are enough. A server returns on probation: its next failure ejects it
// again, for twice as long.
//
// The package does no I/O, reads no clock and draws no random numbers. Times are in
// milliseconds on the caller's steady clock and must not go back. A value must not be
// used by several goroutines at once.
package health

import "math"

const (
	// unhealthyFailureRate is the share of requests that fail at an unhealthy server, at
	// the least. Lower: partial failures are found sooner, and healthy servers ejected by
	// chance.
	unhealthyFailureRate = 0.35
	// minBaseline and maxBaseline bound the failure rate that a healthy server is taken to
	// have, whatever its service's is.
	minBaseline = 0.02
	maxBaseline = 0.25
	// maxUnhealthyRate bounds the failure rate that an unhealthy server is taken to have.
	maxUnhealthyRate = 0.9
	// unhealthyFactor is how many times the baseline an unhealthy server fails at.
	unhealthyFactor = 3
	// baselineSmoothing is the weight of one request in the moving average of a service.
	baselineSmoothing = 0.01
	// ejectionThreshold is the score at which a server is ejected.
	ejectionThreshold = 6.5
	// maxScore bounds the score, so that it decays within some seconds.
	maxScore = 2 * ejectionThreshold
	// probationScore is the score of a server that returns: one failure ejects it again.
	probationScore = 4.5
	// decayMs is the time in which a score without new requests falls to 1/e.
	decayMs = 3000.0
	// baseEjectionMs is how long a server is ejected the first time; it doubles each time,
	// up to maxEjectionMs.
	baseEjectionMs = 1000.0
	maxEjectionMs  = 8000.0
	// forgiveAfterMs is how long a server must not fail for its next ejection to count as
	// the first one.
	forgiveAfterMs = 4 * maxEjectionMs
)

// ConclusiveWeight is the weight of a failure that has no other explanation than the
// server's state.
const ConclusiveWeight = 1.3

// Baseline is the moving average of the failure rate of a service over all its servers.
// The zero value has seen no failure.
type Baseline struct{ rate float64 }

// Observe takes the end of one request into the average.
func (b *Baseline) Observe(failed bool) {
	b.rate -= baselineSmoothing * b.rate
	if failed {
		b.rate += baselineSmoothing
	}
}

// FailureRate is the share of requests that fail, from 0 to 1.
func (b *Baseline) FailureRate() float64 { return b.rate }

// logRatios are what a failure adds to a server's score and what an answer adds, which is
// negative.
func (b *Baseline) logRatios() (failure, answer float64) {
	healthy := min(max(minBaseline, b.rate), maxBaseline)
	unhealthy := max(unhealthyFailureRate, min(maxUnhealthyRate, unhealthyFactor*healthy))
	return math.Log(unhealthy / healthy), math.Log((1 - unhealthy) / (1 - healthy))
}

// Detector scores one server. The zero value is that of a server without requests.
type Detector struct {
	score        float64 // of scoredAt; it decays from then on
	scoredAt     float64
	ejectedUntil float64
	ejections    int // in a row, each within forgiveAfterMs of a failure
	lastFailure  float64
}

// decay brings the score up to now.
func (d *Detector) decay(now float64) {
	if now > d.scoredAt {
		d.score *= math.Exp((d.scoredAt - now) / decayMs)
		d.scoredAt = now
	}
}

// ObserveFailure takes in a failed request and reports whether the server is ejected from
// now on. The weight is 1 for a request that failed, [ConclusiveWeight] where nothing
// answers at all, and less for what a peer reports or what may have other causes.
// replaceable reports whether the service can do without this server: one that it can't do
// without is never ejected.
func (d *Detector) ObserveFailure(now, weight float64, b *Baseline, replaceable bool) bool {
	d.decay(now)
	if now-d.lastFailure > forgiveAfterMs {
		d.ejections = 0
	}
	d.lastFailure = now
	failure, _ := b.logRatios()
	d.score = min(maxScore, d.score+weight*failure)
	if d.score < ejectionThreshold || d.Ejected(now) || !replaceable {
		return false
	}
	d.ejectedUntil = now + min(maxEjectionMs, baseEjectionMs*math.Pow(2, float64(d.ejections)))
	d.ejections++
	// The score begins to decay when the ejection ends: nothing is learnt meanwhile.
	d.score, d.scoredAt = probationScore, d.ejectedUntil
	return true
}

// ObserveSuccess takes in a usable answer.
func (d *Detector) ObserveSuccess(now float64, b *Baseline) {
	if d.Ejected(now) {
		return // to a request that was sent before the ejection
	}
	d.decay(now)
	_, answer := b.logRatios()
	d.score = max(0, d.score+answer)
}

// Ejected reports whether the server must get no requests.
func (d *Detector) Ejected(now float64) bool { return now < d.ejectedUntil }

// Suspicion is how close a server that is not ejected is to the threshold, from 0 to 1.
func (d *Detector) Suspicion(now float64) float64 {
	d.decay(now)
	return min(1, d.score/ejectionThreshold)
}
