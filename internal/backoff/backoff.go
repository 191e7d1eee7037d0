// Package backoff paces calls to a service that may be overloaded by its own
// callers.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff gives the pauses between calls that fail: each is longer than the one
// before, up to a bound, and drawn at random, so that callers that began together
// do not call together for good.
type Backoff struct {
	first, most time.Duration
	rng         *rand.Rand
	pause       time.Duration
}

// New returns a Backoff whose pauses are at least first, then twice as much each time,
// and most at last; up to half as much again is added at random.
func New(first, most time.Duration, rng *rand.Rand) *Backoff {
	return &Backoff{first: first, most: max(first, most), rng: rng, pause: first}
}

// Next returns the pause after a call that failed.
func (b *Backoff) Next() time.Duration {
	least := b.pause
	b.pause = min(2*least, b.most)
	return least + Jitter(least/2, b.rng)
}

// Reset begins anew, after a call that did not fail.
func (b *Backoff) Reset() { b.pause = b.first }

// Jitter returns a point of time in the span given, for what many would otherwise
// do at once.
func Jitter(span time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(span) * rng.Float64())
}

// Sleep waits, or until the context ends. It tells whether the time has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
