package process

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"example.org/elmspan/controlplane"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/raft/storage"
)

// restartPause is the pause between two attempts to start a member on a failing disk.
const restartPause = time.Second

// memberHost runs the control plane's Raft member in this process. If the member's store is
// found to be corrupt, at the start or while the process runs, a new member replaces the old
// one. Client traffic is served meanwhile.
//
// The exported methods, core and exclusionReason are safe for concurrent use. open, run and
// close must be called one after the other. A nil memberHost stands for a process without a
// member.
type memberHost struct {
	dir    string // directory of the store
	cfg    controlplane.CoreConfig
	client *controlplane.Client // receives the local member from setCore
	log    *slog.Logger

	// wrapStore, if set, returns what a member uses in place of its store. For tests.
	wrapStore func(*storage.Store) controlplane.Store

	// store is the member's store; nil before the first open and after a failed one. It is
	// used only by the goroutine that calls open, run and close.
	store *storage.Store

	current atomic.Pointer[controlplane.Core] // nil: no member is active
	// exclusion is the reason, for operators, why no member will be active; nil: one is active
	// or about to be.
	exclusion atomic.Pointer[string]
	// bootstrapping is true while the store is empty and the seeds are asked whether this is a
	// first start. Set by open, cleared by run.
	bootstrapping atomic.Bool
}

// core returns the active member, or nil if there is none.
func (h *memberHost) core() *controlplane.Core {
	if h == nil {
		return nil
	}
	return h.current.Load()
}

// setCore sets the active member; nil for none.
func (h *memberHost) setCore(core *controlplane.Core) {
	h.current.Store(core)
	h.client.SetLocalCore(core)
}

// exclusionReason returns the reason why this process stays out of the control plane although
// its settings ask for a member. It is empty if the process does not stay out.
func (h *memberHost) exclusionReason() string {
	if h == nil {
		return ""
	}
	if reason := h.exclusion.Load(); reason != nil {
		return *reason
	}
	return ""
}

// open opens the store and starts the member.
//
// A corrupt store may have lost a vote or an acknowledgement, so its identity is not reused: a
// new member is started, never as an initial voter. A store in a newer format is left
// unchanged and no member is started: after a rollback to an older program on all machines of
// the control plane, replacing the stores would lose everything that is committed.
func (h *memberHost) open(bootstrap bool) error {
	err := h.openStore(storage.Open, bootstrap)
	switch {
	case errors.Is(err, storage.ErrNewerFormat):
		reason := err.Error()
		h.exclusion.Store(&reason)
		h.log.Error("store has a newer format, no member is started", "dir", h.dir, "error", err)
		return h.close()
	case errors.Is(err, storage.ErrCorrupt):
		h.log.Error("store is corrupt, starting as a new member", "dir", h.dir, "error", err)
		return h.startReplacement()
	}
	return err
}

// startReplacement resets the store and starts a new member on it. The new member fetches its
// state from the others.
func (h *memberHost) startReplacement() error {
	if err := h.close(); err != nil {
		h.log.Warn("closing the store failed", "dir", h.dir, "error", err) // the store is removed next
	}
	return h.openStore(storage.Reset, false)
}

// openStore opens the store with the given function and starts the member on it, unless the
// machine must be bootstrapped: run does that, because the internal server must already be
// answering the other machines.
func (h *memberHost) openStore(open func(string) (*storage.Store, error), bootstrap bool) error {
	store, err := open(h.dir)
	if err != nil {
		h.store = nil
		return err
	}
	h.store = store
	required, err := h.bootstrapRequired(bootstrap)
	if err != nil || required {
		h.bootstrapping.Store(required)
		return err
	}
	return h.startMember(bootstrap)
}

// startMember starts a member on the open store. initialVoter makes it one of the initial
// voters of a new system.
func (h *memberHost) startMember(initialVoter bool) error {
	cfg := h.cfg
	cfg.Store, cfg.Bootstrap = h.store, initialVoter
	if h.wrapStore != nil {
		cfg.Store = h.wrapStore(h.store)
	}
	core, err := controlplane.NewCore(cfg)
	if err != nil {
		return err
	}
	h.setCore(core)
	return nil
}

// run runs the member until the context ends. A member whose store becomes corrupt is replaced
// by a new one.
func (h *memberHost) run(ctx context.Context) {
	if h.bootstrapping.Load() {
		h.bootstrap(ctx)
	}
	for ctx.Err() == nil && h.core() != nil {
		err := h.core().Run(ctx)
		if err == nil {
			return
		}
		h.log.Error("store became corrupt, continuing as a new member", "dir", h.dir, "error", err)
		h.setCore(nil) // it must not answer any more: it may have lost entries that it acknowledged
		if !h.retryStartReplacement(ctx) {
			return
		}
	}
}

// retryStartReplacement starts a new member and retries while the disk fails. It returns false
// if the context ends first.
func (h *memberHost) retryStartReplacement(ctx context.Context) bool {
	for {
		err := h.startReplacement()
		if err == nil {
			return true
		}
		h.log.Error("starting a new member failed", "dir", h.dir, "error", err)
		if !backoff.Sleep(ctx, restartPause) {
			return false
		}
	}
}

// close closes the store if one is open.
func (h *memberHost) close() error {
	if h == nil || h.store == nil {
		return nil
	}
	return h.store.Close()
}
