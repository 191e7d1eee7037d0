package limiter

import "math"

const (
	// Weights of one observation in the smoothed error of a prediction and in its mean deviation,
	// as in the estimation of round-trip times (RFC 6298).
	errorWeight     = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// predictionError follows how much later than predicted something happens, in milliseconds. The
// zero value has observed nothing.
type predictionError struct {
	observed  bool
	mean      float64 // smoothed error; negative: earlier than predicted
	deviation float64 // smoothed deviation from mean
}

// observe records that something happened lateMs later than predicted.
func (p *predictionError) observe(lateMs float64) {
	if !p.observed {
		*p = predictionError{observed: true, mean: lateMs, deviation: math.Abs(lateMs) / 2}
		return
	}
	p.deviation += (math.Abs(lateMs-p.mean) - p.deviation) * deviationWeight
	p.mean += (lateMs - p.mean) * errorWeight
}

// marginMs returns the time to add to a prediction so that most of what it predicts has happened by
// then. It is never negative.
func (p *predictionError) marginMs() float64 { return max(0, p.mean+p.deviation) }
