package dataplane

import (
	"log/slog"
	"sync/atomic"
	"time"

	"example.org/elmspan/versioned"
)

// router holds the configuration in force. Readers take the snapshot once and use it for the whole request; a change
// makes a new snapshot and swaps the pointer. Changes come from one goroutine.
type router struct {
	log      *slog.Logger
	guarded  *guardedLimiter
	snapshot atomic.Pointer[snapshot] // nil before the first configuration
}

// current returns the snapshot in force, nil before the first.
func (r *router) current() *snapshot { return r.snapshot.Load() }

// revision returns the revision in force, 0 before the first.
func (r *router) revision() uint64 {
	if s := r.current(); s != nil {
		return s.revision
	}
	return 0
}

// apply takes over a delta of the configuration. Nothing of it holds where it doesn't fit the revision in force. The
// quotas change before the snapshot is swapped, so that each tenant that a request can find has its plan.
func (r *router) apply(delta *versioned.DeltaReader) error {
	begun := time.Now()
	next, plans, err := r.current().with(delta)
	if err != nil {
		return err
	}
	r.guarded.mu.Lock()
	r.guarded.limiter.ChangePlans(r.guarded.clock.nowMs(), plans.put, plans.drop)
	r.guarded.mu.Unlock()
	r.snapshot.Store(next)
	r.log.Info("configuration applied", "revision", next.revision, "from", delta.From, "rows", delta.RowCount,
		"total_rows", next.checksums.Len(), "tenants", next.tenants.Len(), "took_ms", time.Since(begun).Milliseconds())
	return nil
}
