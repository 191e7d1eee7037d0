package dataplane

import (
	"sync/atomic"
	"time"
)

// revokeMargin is how long before the revocation limit of a key the lease expires, so that requests in flight finish in
// time.
const revokeMargin = 500 * time.Millisecond

// leaseDuration returns the duration of a lease for a revocation limit: the limit less revokeMargin, or half of it if
// that is more. It is above 0 for any limit, as 0 would mean that no lease is needed.
func leaseDuration(revocation time.Duration) time.Duration {
	return max(1, revocation-revokeMargin, revocation/2)
}

// lease limits how long the gateway serves requests by a configuration that the control plane has not confirmed again.
// So a revoked key or a changed route takes effect on all gateways within a known time. Safe for concurrent use.
type lease struct {
	clock     clock
	duration  time.Duration // of each grant; 0: no lease is needed
	expiresAt atomic.Int64  // time since the start, in ns
}

// valid reports whether requests may be served by the current configuration.
func (l *lease) valid() bool { return l.duration == 0 || int64(l.clock.now()) < l.expiresAt.Load() }

// extend extends the lease to its duration after requestedAt, which is when the extension was requested, as time since
// the start. It never shortens the lease.
func (l *lease) extend(requestedAt time.Duration) {
	l.expiresAt.Store(max(l.expiresAt.Load(), int64(requestedAt+l.duration)))
}

// remaining returns the time until the lease expires; negative if it has expired or if no lease is needed.
func (l *lease) remaining() time.Duration { return time.Duration(l.expiresAt.Load()) - l.clock.now() }
