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
	// seedPollInterval is the pause between two rounds of calls to the seeds.
	seedPollInterval = 25 * time.Millisecond
	// seedTimeout limits one round of calls to the seeds.
	seedTimeout = 400 * time.Millisecond
	// seedWarnInterval is the interval between warnings about seeds that do not answer.
	seedWarnInterval = 5 * time.Second
)

// bootstrapRequired reports whether the store is empty and the settings make the machine one
// of several initial voters. A sole initial voter has no other seeds to ask.
func (h *memberHost) bootstrapRequired(bootstrap bool) (bool, error) {
	if !bootstrap || len(h.cfg.Seeds) < 2 || !slices.Contains(h.cfg.Seeds, h.cfg.Addr) {
		return false, nil
	}
	id, err := h.store.Identity()
	return id == 0, err
}

// bootstrap polls the seeds until it is decided whether this machine is an initial voter, and
// then starts its member. It starts none if the context ends first.
func (h *memberHost) bootstrap(ctx context.Context) {
	verdict := h.decideBootstrap(ctx)
	if verdict == undecided {
		return
	}
	if verdict == newMember {
		h.log.Warn("bootstrap is set but the system has run before, starting as a new member")
	}
	if h.retryStartMember(ctx, verdict == initialVoter) {
		h.bootstrapping.Store(false)
	}
}

// decideBootstrap polls the seeds until there is a verdict. It returns undecided if the
// context ends first.
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
		if waited := time.Since(start); waited-warned > seedWarnInterval {
			warned = waited
			h.log.Warn("bootstrap waits for seeds that do not answer", "seeds", decision.unanswered())
		}
		if !backoff.Sleep(ctx, seedPollInterval) {
			return undecided
		}
	}
}

// retryStartMember starts the member and retries while the disk fails. If the store turns out
// to be corrupt, it starts a replacement instead. It returns false if the context ends first.
func (h *memberHost) retryStartMember(ctx context.Context, initialVoter bool) bool {
	err := h.startMember(initialVoter)
	for err != nil {
		h.log.Error("starting the member failed", "dir", h.dir, "error", err)
		if !backoff.Sleep(ctx, restartPause) {
			return false
		}
		if errors.Is(err, storage.ErrCorrupt) {
			err = h.startReplacement()
		} else {
			err = h.startMember(initialVoter)
		}
	}
	return true
}

// callSeeds calls the seeds concurrently and returns, by address, whether each may have taken
// part in a term. Seeds that don't answer within seedTimeout are omitted.
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
				conn.ResetConnectBackoff() // the seed may start to listen at any moment
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

// History reports to a bootstrapping machine whether this machine's member may have taken part
// in a term. It has not if this machine is itself bootstrapping or is configured without a
// member. It may have if this machine stays out of the control plane or its member is being
// replaced.
func (h *memberHost) History(context.Context, *api.Empty) (*api.HistoryResponse, error) {
	if h == nil {
		return &api.HistoryResponse{}, nil
	}
	if core := h.core(); core != nil {
		return &api.HistoryResponse{MayHaveParticipated: core.HasParticipated()}, nil
	}
	return &api.HistoryResponse{MayHaveParticipated: !h.bootstrapping.Load()}, nil
}
