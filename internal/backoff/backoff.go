// Package backoff paces retries of calls to a service that its own callers may have
// overloaded: exponential backoff with jitter. Jitter is drawn from the caller's random
// source, so that a seed reproduces it.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// growth is the factor between one pause and the next.
const growth = 2

// Backoff gives the pauses between failed calls. Each is longer than the one before, up to
// a maximum, with jitter, so that callers that started together drift apart. It is not
// safe for concurrent use.
type Backoff struct {
	minPause, maxPause time.Duration
	rng                *rand.Rand
	pause              time.Duration // the next one, without jitter
}

// New returns a Backoff whose pauses start at minPause and double up to maxPause (or to
// minPause, if that is longer). Up to half as much again is added to each as jitter.
func New(minPause, maxPause time.Duration, rng *rand.Rand) *Backoff {
	return &Backoff{minPause: minPause, maxPause: max(minPause, maxPause), rng: rng, pause: minPause}
}

// Next returns the pause after a failed call.
func (b *Backoff) Next() time.Duration {
	pause := b.pause
	b.pause = min(growth*pause, b.maxPause)
	return pause + Jitter(pause/2, b.rng)
}

// Reset starts again with the shortest pause, after a call that succeeded.
func (b *Backoff) Reset() { b.pause = b.minPause }

// Jitter returns a random duration from 0 up to, but not including, span. It spreads what
// many callers would otherwise do at the same time.
func Jitter(span time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(span) * rng.Float64())
}

// Sleep waits for a duration or until the context ends. It reports whether it has waited
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
