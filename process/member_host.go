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

// restartPause is the pause between two attempts to start a new member on a disk that fails.
const restartPause = time.Second

// memberHost holds the Raft member of the control plane in this process. Where what is on
// the disk turns out to be lost, at the start or while the process runs, a new member takes
// the place of the old one. Traffic continues meanwhile.
//
// The exported methods, core and reasonOut may be called concurrently; open, run and close one
// after the other. A nil memberHost is a process without a member.
type memberHost struct {
	dir    string // of the store
	cfg    controlplane.CoreConfig
	client *controlplane.Client // is given the member in this process
	log    *slog.Logger

	// wrapStore, where set, is what a member uses in place of its store. For tests.
	wrapStore func(*storage.Store) controlplane.Store

	// store is the member's; nil before the first and where none could be opened. It belongs
	// to the goroutine that opens, runs and closes, one after the other.
	store *storage.Store

	current atomic.Pointer[controlplane.Core] // nil: no member takes part now
	// out is why no member will take part, for operators; nil: one does, or is about to.
	out atomic.Pointer[string]
	// bootstrapping: the store is empty, and the seeds are being asked whether this is a
	// first start. Set by open, cleared by run.
	bootstrapping atomic.Bool
}

// core is the member that takes part now; nil while there is none.
func (h *memberHost) core() *controlplane.Core {
	if h == nil {
		return nil
	}
	return h.current.Load()
}

// setCore says which member takes part; nil: none.
func (h *memberHost) setCore(core *controlplane.Core) {
	h.current.Store(core)
	h.client.SetLocalCore(core)
}

// reasonOut is why this process stays out of the control plane though its settings ask for a
// member; empty where it does not.
func (h *memberHost) reasonOut() string {
	if h == nil {
		return ""
	}
	if reason := h.out.Load(); reason != nil {
		return *reason
	}
	return ""
}

// open starts the member on what is on the disk.
//
// A corrupt store may have lost a vote or an acknowledgement, so its identity is not used
// again: a new member starts, and never as a first voter. A store in a newer format is left
// as it is and no member takes part: if the whole control plane were rolled back, starting
// anew would lose all that is committed.
func (h *memberHost) open(bootstrap bool) error {
	err := h.openStore(storage.Open, bootstrap)
	switch {
	case errors.Is(err, storage.ErrNewerFormat):
		reason := err.Error()
		h.out.Store(&reason)
		h.log.Error("store has a newer format, member stays out", "dir", h.dir, "error", err)
		return h.close()
	case errors.Is(err, storage.ErrCorrupt):
		h.log.Error("store is corrupt, starting as a new member", "dir", h.dir, "error", err)
		return h.startAnew()
	}
	return err
}

// startAnew starts a new member on an emptied store. It fetches everything from the others.
func (h *memberHost) startAnew() error {
	if err := h.close(); err != nil {
		h.log.Warn("closing the store failed", "dir", h.dir, "error", err) // it is removed next
	}
	return h.openStore(storage.Reset, false)
}

// openStore opens the store by a function and starts the member on it, unless the machine
// must be bootstrapped: run does that, as the other machines must be answered meanwhile.
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

// startMember starts a member on the open store. A first voter is one of the members that
// found the system.
func (h *memberHost) startMember(firstVoter bool) error {
	cfg := h.cfg
	cfg.Store, cfg.Bootstrap = h.store, firstVoter
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

// run has the member take part until the context ends. A member that loses its store is
// followed by a new one.
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
		h.setCore(nil) // it answers nobody from here on: it may have lost what it acknowledged
		if !h.retryStartAnew(ctx) {
			return
		}
	}
}

// retryStartAnew starts a new member, again and again while the disk fails. It reports false
// where the context has ended before.
func (h *memberHost) retryStartAnew(ctx context.Context) bool {
	for {
		err := h.startAnew()
		if err == nil {
			return true
		}
		h.log.Error("starting a new member failed", "dir", h.dir, "error", err)
		if !backoff.Sleep(ctx, restartPause) {
			return false
		}
	}
}

// close closes the store, if there is one.
func (h *memberHost) close() error {
	if h == nil || h.store == nil {
		return nil
	}
	return h.store.Close()
}
