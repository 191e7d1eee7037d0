package operators

import (
	"math"
	"sync"
	"time"

	"example.org/elmspan/bucket"
)

const (
	// maxCallers is how many callers have a token bucket of their own. While it is
	// reached, all others share the bucket under the empty name.
	maxCallers = 1024
	// burstSeconds is the burst of a caller, in seconds of its rate.
	burstSeconds = 2.0
)

// rateLimiter keeps a token bucket for each caller. It is safe for concurrent use.
type rateLimiter struct {
	rate  float64 // calls a second of one caller; 0: no limit
	start time.Time

	mu      sync.Mutex
	buckets map[string]*callerBucket // by caller; guarded by mu
}

// callerBucket is the balance of one caller in calls, as of a time since the limiter's start.
type callerBucket struct {
	balance float64
	updated time.Duration
}

func newRateLimiter(callsPerS float64) *rateLimiter {
	return &rateLimiter{rate: callsPerS, start: time.Now(), buckets: map[string]*callerBucket{}}
}

// take counts a call of a caller. A result above 0 is how many seconds later the call
// would be allowed; the call is then refused and not counted.
func (l *rateLimiter) take(caller string) (waitSeconds float64) {
	if l.rate <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, burst := time.Since(l.start), math.Max(1, burstSeconds*l.rate)
	b := l.bucketOf(caller, now, burst)
	b.balance = l.refilled(b, now, burst)
	b.updated = now
	if b.balance < 1 {
		return bucket.Wait(b.balance, 1, l.rate)
	}
	b.balance--
	return 0
}

// bucketOf returns the bucket of a caller, a full one where there was none. The caller
// holds mu.
func (l *rateLimiter) bucketOf(caller string, now time.Duration, burst float64) *callerBucket {
	if b := l.buckets[caller]; b != nil {
		return b
	}
	if len(l.buckets) >= maxCallers {
		l.dropFull(now, burst)
	}
	if len(l.buckets) >= maxCallers {
		caller = ""
	}
	b := l.buckets[caller]
	if b == nil {
		b = &callerBucket{balance: burst, updated: now}
		l.buckets[caller] = b
	}
	return b
}

// dropFull removes the buckets that are full again: they are equal to new ones. The
// caller holds mu.
func (l *rateLimiter) dropFull(now time.Duration, burst float64) {
	for caller, b := range l.buckets {
		if l.refilled(b, now, burst) >= burst {
			delete(l.buckets, caller)
		}
	}
}

// refilled is the balance of a bucket at a time.
func (l *rateLimiter) refilled(b *callerBucket, now time.Duration, burst float64) float64 {
	return bucket.Refill(b.balance, (now - b.updated).Seconds(), l.rate, burst)
}
