package process

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/backoff"
	"example.org/elmspan/raft/storage"
)

const (
	// seedsInterval is the pause between two rounds of calls to the seeds.
	seedsInterval = 25 * time.Millisecond
	// seedTimeout is how long one call may take.
	seedTimeout = 400 * time.Millisecond
	// seedsWarnInterval is how long seeds may be missing between two warnings.
	seedsWarnInterval = 5 * time.Second
)

// bootstrapRequired reports whether the store is empty and the machine is to be one of
// several first voters. A first voter that is alone needs to ask nobody.
func (h *memberHost) bootstrapRequired(bootstrap bool) (bool, error) {
	if !bootstrap || len(h.cfg.Seeds) < 2 || !slices.Contains(h.cfg.Seeds, h.cfg.Addr) {
		return false, nil
	}
	id, err := h.store.Identity()
	return id == 0, err
}

// bootstrap calls the seeds until it is decided what this machine is, and starts its member.
// It returns without one where the context has ended before.
func (h *memberHost) bootstrap(ctx context.Context) {
	verdict := h.decideBootstrap(ctx)
	if verdict == undecided {
		return
	}
	if verdict == newMember {
		h.log.Warn("bootstrap is set on a machine that is not new to the system, starting as a new member")
	}
	if h.retryStartMember(ctx, verdict == firstVoter) {
		h.bootstrapping.Store(false)
	}
}

// decideBootstrap calls the seeds until there is a verdict. It returns undecided where the
// context has ended before.
func (h *memberHost) decideBootstrap(ctx context.Context) bootstrapVerdict {
	decision := newBootstrapDecision(h.cfg.Seeds, h.cfg.Addr)
	start, warned := time.Now(), time.Duration(0)
	for {
		verdict := decision.observe(h.callSeeds(ctx, decision.seeds))
		if ctx.Err() != nil {
			return undecided
		}
		if verdict != undecided {
			return verdict
		}
		if waited := time.Since(start); waited-warned > seedsWarnInterval {
			warned = waited
			h.log.Warn("bootstrap waits for seeds that do not answer", "seeds", decision.unanswered())
		}
		if !backoff.Sleep(ctx, seedsInterval) {
			return undecided
		}
	}
}

// retryStartMember starts the member, again and again while the disk fails. It reports false
// where the context has ended before.
func (h *memberHost) retryStartMember(ctx context.Context, firstVoter bool) bool {
	err := h.startMember(firstVoter)
	for err != nil {
		h.log.Error("starting the member failed", "dir", h.dir, "error", err)
		if !backoff.Sleep(ctx, restartPause) {
			return false
		}
		if errors.Is(err, storage.ErrCorrupt) {
			err = h.startAnew()
		} else {
			err = h.startMember(firstVoter)
		}
	}
	return true
}

// callSeeds calls seeds at once and returns whether each may have taken part in a term. Those
// that don't answer in time are left out.
func (h *memberHost) callSeeds(ctx context.Context, seeds []string) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	var (
		mu           sync.Mutex
		tasks        sync.WaitGroup
		participated = map[string]bool{}
	)
	for _, addr := range seeds {
		conn, err := h.cfg.Conns.Conn(addr)
		if err != nil {
			continue
		}
		tasks.Go(func() {
			r, err := api.CallHistory(ctx, conn)
			if err != nil {
				conn.ResetConnectBackoff() // the seed may be about to listen
				return
			}
			mu.Lock()
			defer mu.Unlock()
			participated[addr] = r.MayHaveParticipated
		})
	}
	tasks.Wait()
	return participated
}

// History answers a machine that bootstraps: whether this one's member may have taken part in
// a term. One that is bootstrapping itself has not, nor has a machine without a member. One
// that stays out, or whose member is being replaced, may have.
func (h *memberHost) History(context.Context, *api.Empty) (*api.HistoryResponse, error) {
	if h == nil {
		return &api.HistoryResponse{}, nil
	}
	if core := h.core(); core != nil {
		return &api.HistoryResponse{MayHaveParticipated: core.HasParticipated()}, nil
	}
	return &api.HistoryResponse{MayHaveParticipated: !h.bootstrapping.Load()}, nil
}
