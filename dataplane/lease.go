package dataplane

import (
	"sync/atomic"
	"time"
)

// revokeMargin is how much sooner a lease ends than a key must be revoked, so that requests in flight are through.
const revokeMargin = 500 * time.Millisecond

// lease bounds how long requests are answered by a configuration that the control plane has not confirmed. It lets a
// key be revoked, and a route be changed, everywhere within a known time. Safe for concurrent use.
type lease struct {
	clock     clock
	duration  time.Duration // how long one grant holds; 0: no lease is needed
	expiresAt atomic.Int64  // time since the start, in ns
}

// valid reports whether requests may be answered by the configuration now.
func (l *lease) valid() bool { return l.duration == 0 || int64(l.clock.now()) < l.expiresAt.Load() }

// extend grants the lease for its duration from the time since the start at which it was requested. A lease is never
// shortened.
func (l *lease) extend(requestedAt time.Duration) {
	l.expiresAt.Store(max(l.expiresAt.Load(), int64(requestedAt+l.duration)))
}

// remaining returns how long the lease still holds, below 0 if it has run out.
func (l *lease) remaining() time.Duration { return time.Duration(l.expiresAt.Load()) - l.clock.now() }
