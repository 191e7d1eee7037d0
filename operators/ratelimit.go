package operators

import (
	"math"
	"sync"
	"time"

	"example.org/elmspan/bucket"
)

const (
	// maxCallers is the maximum number of callers with their own token bucket, which bounds
	// memory. While it is reached, all further callers share the bucket with the empty key.
	maxCallers = 1024
	// burstSeconds is the burst allowed to a caller, in seconds at its rate. The burst is at least
	// one call.
	burstSeconds = 2.0
)

// rateLimiter has a token bucket for each caller. It is safe for concurrent use.
type rateLimiter struct {
	rate  float64 // calls per second per caller; 0: no limit
	start time.Time

	mu      sync.Mutex
	buckets map[string]*callerBucket // by caller; guarded by mu
}

// callerBucket is the token bucket of one caller.
type callerBucket struct {
	balance float64       // calls, as of updated
	updated time.Duration // since the limiter's start
}

func newRateLimiter(callsPerS float64) *rateLimiter {
	return &rateLimiter{rate: callsPerS, start: time.Now(), buckets: map[string]*callerBucket{}}
}

// take takes one call from the bucket of a caller. If the bucket is empty it takes nothing and
// returns the number of seconds until the call would be allowed; otherwise it returns 0.
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

// bucketOf returns the bucket of a caller and creates a full one if there is none. mu must be
// held.
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

// dropFull removes the buckets that are full, since they are equivalent to new ones. mu must be
// held.
func (l *rateLimiter) dropFull(now time.Duration, burst float64) {
	for caller, b := range l.buckets {
		if l.refilled(b, now, burst) >= burst {
			delete(l.buckets, caller)
		}
	}
}

// refilled returns the balance of a bucket at the time now.
func (l *rateLimiter) refilled(b *callerBucket, now time.Duration, burst float64) float64 {
	return bucket.Refill(b.balance, (now - b.updated).Seconds(), l.rate, burst)
}
