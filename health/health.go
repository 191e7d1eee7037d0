// Package health detects unhealthy servers from the outcomes of the requests sent to them
// (passive outlier detection). Active health checks can be wrong in both directions, as a server
// answers them about itself, so only responses to real requests are considered.
//
// A [Detector] keeps a cumulative sum (CUSUM) of log-likelihood ratios for one server (Page,
// "Continuous Inspection Schemes", 1954). Each failure raises the score and each usable response
// lowers it, depending on how much more likely that outcome is at an unhealthy server than at one
// with the failure rate of its service ([Baseline]). When the score reaches the threshold, the
// server is ejected: for a time, it gets no requests. Three failures in a row eject a server, and
// so do four among ten responses; one among twenty does not, and if all servers of a service fail
// at the same rate, none is ejected. Conclusive failures, such as a refused connection, have a
// higher weight: two of them are enough. A server returns from ejection on probation: its next
// failure ejects it again, for twice as long.
//
// The package does no I/O, reads no clock and uses no random numbers. Times are in milliseconds
// on the caller's monotonic clock. Values are not safe for concurrent use.
package health

import "math"

const (
	// minUnhealthyRate is the minimum failure rate that an unhealthy server is assumed to have.
	// With a lower one, partial failures are detected sooner, but more healthy servers are ejected
	// by chance.
	minUnhealthyRate = 0.35
	// minBaseline and maxBaseline bound the failure rate that a healthy server is assumed to have,
	// which is otherwise that of its service.
	minBaseline = 0.02
	maxBaseline = 0.25
	// maxUnhealthyRate bounds the failure rate that an unhealthy server is assumed to have.
	maxUnhealthyRate = 0.9
	// unhealthyBaselineFactor is the assumed failure rate of an unhealthy server as a multiple of
	// the baseline.
	unhealthyBaselineFactor = 3
	// baselineSmoothing is the weight of one request in the moving average of a service.
	baselineSmoothing = 0.01
	// ejectionThreshold is the score at which a server is ejected.
	ejectionThreshold = 6.5
	// maxScore bounds the score, so that it decays within seconds.
	maxScore = 2 * ejectionThreshold
	// probationScore is the score of a server that returns from ejection: one failure ejects it
	// again.
	probationScore = 4.5
	// decayMs is the time constant with which the score decays between observations.
	decayMs = 3000.0
	// baseEjectionMs is the duration of the first ejection. It doubles with each further ejection,
	// up to maxEjectionMs.
	baseEjectionMs = 1000.0
	maxEjectionMs  = 8000.0
	// ejectionResetMs is the time without a failure after which the next ejection counts as the
	// first one again.
	ejectionResetMs = 4 * maxEjectionMs
)

// ConclusiveWeight is the weight of a failure that can only be explained by the state of the
// server.
const ConclusiveWeight = 1.3

// Baseline is the moving average of the failure rate of a service over all its servers.
// The zero value is a failure rate of 0.
type Baseline struct{ rate float64 }

// Observe adds the outcome of one request to the average.
func (b *Baseline) Observe(failed bool) {
	b.rate -= baselineSmoothing * b.rate
	if failed {
		b.rate += baselineSmoothing
	}
}

// FailureRate returns the fraction of requests that fail, from 0 to 1.
func (b *Baseline) FailureRate() float64 { return b.rate }

// logLikelihoodRatios returns the changes of a server's score by a failure and by a usable
// response; the latter is negative.
func (b *Baseline) logLikelihoodRatios() (failure, success float64) {
	healthy := min(max(minBaseline, b.rate), maxBaseline)
	unhealthy := max(minUnhealthyRate, min(maxUnhealthyRate, unhealthyBaselineFactor*healthy))
	return math.Log(unhealthy / healthy), math.Log((1 - unhealthy) / (1 - healthy))
}

// Detector keeps the score of one server. The zero value is ready to use.
type Detector struct {
	score         float64 // at scoredAt; it decays from then on
	scoredAt      float64
	ejectedUntil  float64
	ejections     int // since the last ejectionResetMs without a failure
	lastFailureAt float64
}

// decay applies the decay of the score until now.
func (d *Detector) decay(now float64) {
	if now > d.scoredAt {
		d.score *= math.Exp((d.scoredAt - now) / decayMs)
		d.scoredAt = now
	}
}

// ObserveFailure records a failed request and reports whether it ejects the server. The weight is 1
// for a request that failed, [ConclusiveWeight] if nothing responds at all, and less than 1 for a
// failure that a peer reports or that may have other causes. replaceable tells whether the service
// can do without the server; if not, the server is never ejected.
func (d *Detector) ObserveFailure(now, weight float64, b *Baseline, replaceable bool) bool {
	d.decay(now)
	if now-d.lastFailureAt > ejectionResetMs {
		d.ejections = 0
	}
	d.lastFailureAt = now
	failure, _ := b.logLikelihoodRatios()
	d.score = min(maxScore, d.score+weight*failure)
	if d.score < ejectionThreshold || d.Ejected(now) || !replaceable {
		return false
	}
	d.ejectedUntil = now + min(maxEjectionMs, baseEjectionMs*math.Pow(2, float64(d.ejections)))
	d.ejections++
	// The score only decays from the end of the ejection, as there are no observations until then.
	d.score, d.scoredAt = probationScore, d.ejectedUntil
	return true
}

// ObserveSuccess records a usable response.
func (d *Detector) ObserveSuccess(now float64, b *Baseline) {
	if d.Ejected(now) {
		return // the request was sent before the ejection
	}
	d.decay(now)
	_, success := b.logLikelihoodRatios()
	d.score = max(0, d.score+success)
}

// Ejected reports whether the server is ejected and must not get requests.
func (d *Detector) Ejected(now float64) bool { return now < d.ejectedUntil }

// Suspicion returns the score as a fraction of the ejection threshold, from 0 to 1, for a server
// that is not ejected.
func (d *Detector) Suspicion(now float64) float64 {
	d.decay(now)
	return min(1, d.score/ejectionThreshold)
}
