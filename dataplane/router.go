package dataplane

import (
	"log/slog"
	"sync/atomic"
	"time"

	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/versioned"
)

// router holds the current configuration. A request loads the snapshot once and uses it throughout; a change builds a
// new snapshot and swaps the pointer. Only one goroutine at a time makes changes.
type router struct {
	log      *slog.Logger
	guarded  *guardedLimiter
	snapshot atomic.Pointer[snapshot] // nil before the first configuration
}

// current returns the current snapshot, nil before the first configuration.
func (r *router) current() *snapshot { return r.snapshot.Load() }

// revision returns the current revision, 0 before the first configuration.
func (r *router) revision() uint64 {
	if s := r.current(); s != nil {
		return s.revision
	}
	return 0
}

// apply applies a delta to the configuration. If the delta does not fit the current revision, apply changes nothing and
// returns an error. It changes the quotas before it swaps the snapshot, so that every tenant that a request can find
// has its plan.
func (r *router) apply(delta *versioned.DeltaReader) error {
	start := time.Now()
	next, plans, err := r.current().with(delta)
	if err != nil {
		return err
	}
	r.guarded.locked(func(l *limiter.Limiter) { l.ChangePlans(r.guarded.clock.nowMs(), plans.put, plans.drop) })
	r.snapshot.Store(next)
	r.log.Info("configuration applied", "revision", next.revision, "from", delta.From, "rows", delta.RowCount,
		"total_rows", next.checksums.Len(), "tenants", next.tenants.Len(), "took_ms", time.Since(start).Milliseconds())
	return nil
}
