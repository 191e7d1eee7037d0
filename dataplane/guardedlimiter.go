package dataplane

import (
	"math/rand/v2"
	"sync"

	"example.org/elmspan/dataplane/limiter"
)

// guardedLimiter is the limiter's state machine (quotas, server choice, retries, downloads, gossip) with the mutex that
// guards it. A request takes the mutex a few times, each time for a short computation. The only I/O under the mutex is
// the non-blocking sending of datagrams at a gossip tick.
type guardedLimiter struct {
	clock clock

	mu      sync.Mutex
	limiter *limiter.Limiter // guarded by mu
	rng     *rand.Rand       // guarded by mu; selects the service of a route with a traffic split
}

// locked calls do with the limiter under the mutex. It releases the mutex also if do panics: the panic then ends one
// request (see recoverPanic) and does not block all others.
func (g *guardedLimiter) locked(do func(l *limiter.Limiter)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	do(g.limiter)
}
