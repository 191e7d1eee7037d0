package dataplane

import (
	"math/rand/v2"
	"sync"

	"example.org/elmspan/dataplane/limiter"
)

// guardedLimiter is the limiter's state machine (quotas, server choice, retries, downloads, gossip) with the one mutex
// that guards it. A request takes the mutex a few times, each time for a short computation; no I/O is done under it,
// except that a gossip tick sends its datagrams, which doesn't block.
type guardedLimiter struct {
	clock clock

	mu      sync.Mutex
	limiter *limiter.Limiter // guarded by mu
	rng     *rand.Rand       // guarded by mu; draws the service of a route with a traffic split
}
