// Package backoff provides exponential backoff with jitter, for retries of calls to a service
// that may be overloaded by its callers. Jitter is drawn from a random source supplied by
// the caller, so that it is reproducible from a seed.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

const growth = 2 // ratio of consecutive pauses

// Backoff computes the pauses after failed calls. They grow exponentially up to a maximum,
// with jitter, so that callers that started at the same time spread out. It is not safe for
// concurrent use.
type Backoff struct {
	minPause, maxPause time.Duration
	rng                *rand.Rand
	pause              time.Duration // next pause, without jitter
}

// New returns a Backoff whose pauses start at minPause and double up to maxPause (or to
// minPause, if that is longer). Jitter of up to half the pause is added to each.
func New(minPause, maxPause time.Duration, rng *rand.Rand) *Backoff {
	return &Backoff{minPause: minPause, maxPause: max(minPause, maxPause), rng: rng, pause: minPause}
}

// Next returns the pause to make after a failed call.
func (b *Backoff) Next() time.Duration {
	pause := b.pause
	b.pause = min(growth*pause, b.maxPause)
	return pause + Jitter(pause/2, b.rng)
}

// Reset returns to the shortest pause. It should be called after a successful call.
func (b *Backoff) Reset() { b.pause = b.minPause }

// Jitter returns a random duration in [0, span). It spreads out actions that many callers
// would otherwise take at the same time.
func Jitter(span time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(span) * rng.Float64())
}

// Sleep waits for a duration or until the context is done. It reports whether it has waited
// for the whole duration.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
