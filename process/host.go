package process

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/raft/storage"
)

// anewEvery is the pause between two tries to begin a member anew on a disk that fails.
const anewEvery = time.Second

// host holds the member of the core in this process: one after the other, where what
// is on disk turns out to be lost while the process runs. Traffic goes on meanwhile.
type host struct {
	dir    string
	cfg    controlplane.CoreConfig
	client *controlplane.Client
	log    *slog.Logger

	// between, where set, stands between a member and its store, in tests.
	between func(*storage.Store) controlplane.Store

	store *storage.Store // of the member; nil before the first
	now   atomic.Pointer[controlplane.Core]
	// why no member takes part, for operators; nil: one does, or is about to begin.
	out atomic.Pointer[string]
	// founding: the store is empty and the seeds are asked whether this is a first start.
	founding atomic.Bool
}

// core is the member as it is; nil while there is none.
func (h *host) core() *controlplane.Core {
	if h == nil {
		return nil
	}
	return h.now.Load()
}

// whyOut is why this process takes no part in the core though its settings say so.
func (h *host) whyOut() string {
	if h == nil {
		return ""
	}
	if why := h.out.Load(); why != nil {
		return *why
	}
	return ""
}

// begin opens the member for the first time. Where its store has lost something it is
// a new one, never a first voter: its id of that time has promised something. Where a
// newer program wrote the store, none takes part and the files stay as they are: to
// begin anew would lose what is confirmed if the whole core were rolled back.
func (h *host) begin(bootstrap bool) error {
	err := h.open(storage.Open, bootstrap)
	switch {
	case errors.Is(err, storage.ErrNewerFormat):
		why := err.Error()
		h.out.Store(&why)
		h.log.Error("this machine takes no part in the core: start it with the program that the state on disk is of", "dir", h.dir, "err", err)
		return h.close()
	case errors.Is(err, storage.ErrCorrupt):
		h.log.Error("the state on disk can't be used: starting without it, as a new member", "dir", h.dir, "err", err)
		return h.anew()
	}
	return err
}

// anew begins a member with nothing, which fetches everything from the others.
func (h *host) anew() error {
	if err := h.close(); err != nil {
		h.log.Warn("closing the store", "err", err) // it is removed next
	}
	return h.open(storage.Reset, false)
}

func (h *host) open(open func(string) (*storage.Store, error), bootstrap bool) (err error) {
	if h.store, err = open(h.dir); err != nil {
		h.store = nil
		return err
	}
	found, err := h.toFound(h.store, bootstrap)
	if err != nil || found {
		h.founding.Store(found) // run goes on with it, once the others can be answered
		return err
	}
	return h.member(bootstrap)
}

// member begins the member over the store.
func (h *host) member(bootstrap bool) error {
	cfg := h.cfg
	if cfg.Store, cfg.Bootstrap = h.store, bootstrap; h.between != nil {
		cfg.Store = h.between(h.store)
	}
	core, err := controlplane.NewCore(cfg)
	if err == nil {
		h.set(core)
	}
	return err
}

func (h *host) set(core *controlplane.Core) {
	h.now.Store(core)
	h.client.SetLocalCore(core)
}

// run has the member take part until the context ends.
func (h *host) run(ctx context.Context) {
	if h.founding.Load() {
		h.found(ctx)
	}
	for ctx.Err() == nil && h.core() != nil {
		err := h.core().Run(ctx)
		if err == nil {
			return
		}
		h.log.Error("the state on disk can't be used any more: going on without it, as a new member", "dir", h.dir, "err", err)
		h.set(nil)
		for err = h.anew(); err != nil; err = h.anew() {
			h.log.Error("a new member can't begin yet", "dir", h.dir, "err", err)
			if !backoff.Sleep(ctx, anewEvery) {
				return
			}
		}
	}
}

func (h *host) close() error {
	if h == nil || h.store == nil {
		return nil
	}
	return h.store.Close()
}

// errNoMember answers calls while there is no member.
var errNoMember = status.Error(codes.Unavailable, "no member of the core takes part here at the moment")

func handle[Q, R any](h *host, ctx context.Context, q *Q, call func(*controlplane.Core, context.Context, *Q) (*R, error)) (*R, error) {
	core := h.core()
	if core == nil {
		return nil, errNoMember
	}
	return call(core, ctx, q)
}

// What other processes ask of the core.

func (h *host) Watch(ctx context.Context, q *api.WatchRequest) (*api.WatchResponse, error) {
	return handle(h, ctx, q, (*controlplane.Core).Watch)
}

func (h *host) Replace(ctx context.Context, q *api.ReplaceRequest) (*api.ControlResponse, error) {
	return handle(h, ctx, q, (*controlplane.Core).Replace)
}

func (h *host) Get(ctx context.Context, q *api.GetRequest) (*api.ControlResponse, error) {
	return handle(h, ctx, q, (*controlplane.Core).Get)
}

func (h *host) Join(ctx context.Context, q *api.JoinRequest) (*api.ControlResponse, error) {
	return handle(h, ctx, q, (*controlplane.Core).Join)
}

func (h *host) Deliver(ctx context.Context, q *api.DeliverRequest) (*api.DeliverResponse, error) {
	return handle(h, ctx, q, (*controlplane.Core).Deliver)
}

func (h *host) Fetch(ctx context.Context, q *api.FetchRequest) (*api.Chunk, error) {
	return handle(h, ctx, q, (*controlplane.Core).Fetch)
}

func (h *host) ReadIndex(ctx context.Context, q *api.Empty) (*api.ReadIndexResponse, error) {
	return handle(h, ctx, q, (*controlplane.Core).ReadIndex)
}
