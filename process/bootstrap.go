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
	// askSeedsEvery is the pause between two rounds of questions to the seeds, and
	// seedTimeout what one of them may take.
	askSeedsEvery = 25 * time.Millisecond
	seedTimeout   = 400 * time.Millisecond
)

// founding decides what a machine with an empty disk is that is told to be a first
// voter. The setting may be left over from the first start: then the machine has
// promised something under that name, and must not take it again.
//
// A promise counts only with a term, which whoever takes part in it has on disk before.
// So where every other seed says, after this machine has begun with its empty disk, that
// it has taken part in no term, nothing that was agreed on had a promise of this
// machine that is kept on any disk of theirs, and it may take the name. One that has
// taken part is enough to know that this is no first start. What a seed has said stays true of this machine's
// past, whatever that seed does next: so machines that start at once all go on, and none
// waits for another's decision.
type founding struct {
	seeds []string // the other ones
	heard map[string]bool
}

type verdict uint8

const (
	undecided verdict = iota
	firstVoter
	newMember
)

func newFounding(seeds []string, self string) *founding {
	f := &founding{heard: map[string]bool{}}
	for _, s := range seeds {
		if s != self {
			f.seeds = append(f.seeds, s)
		}
	}
	return f
}

// round takes in who answered a round of questions, and whether each took part in an
// agreement. While a seed says nothing a first start can't be told from disks that were
// lost while the rest is cut off, however long that lasts. At a first start all are up.
func (f *founding) round(answers map[string]bool) verdict {
	for seed, tookPart := range answers {
		if tookPart {
			return newMember
		}
		f.heard[seed] = true
	}
	if len(f.heard) == len(f.seeds) {
		return firstVoter
	}
	return undecided
}

// silent are the seeds that have not answered.
func (f *founding) silent() (out []string) {
	for _, s := range f.seeds {
		if !f.heard[s] {
			out = append(out, s)
		}
	}
	return out
}

// found asks the seeds until it is clear what this machine is, and begins its member.
func (h *host) found(ctx context.Context) {
	f, began, told := newFounding(h.cfg.Seeds, h.cfg.Addr), time.Now(), time.Duration(0)
	for {
		v := f.round(h.askSeeds(ctx, f.seeds))
		if ctx.Err() != nil {
			return
		}
		if v == undecided {
			if waited := time.Since(began); waited-told > 5*time.Second {
				told = waited
				h.log.Warn("bootstrap is set, and some seeds say nothing: waiting for them before taking part", "seeds", f.silent())
			}
			if !backoff.Sleep(ctx, askSeedsEvery) {
				return
			}
			continue
		}
		if v == newMember {
			h.log.Warn("bootstrap is set and this is no first start: beginning as a new member; set it to false")
		}
		err := h.member(v == firstVoter)
		for err != nil {
			h.log.Error("a member can't begin yet", "dir", h.dir, "err", err)
			if !backoff.Sleep(ctx, anewEvery) {
				return
			}
			if errors.Is(err, storage.ErrCorrupt) {
				err = h.anew()
			} else {
				err = h.member(v == firstVoter)
			}
		}
		h.founding.Store(false)
		return
	}
}

// askSeeds asks seeds side by side. Those that don't answer are left out.
func (h *host) askSeeds(ctx context.Context, seeds []string) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	var mu sync.Mutex
	var tasks sync.WaitGroup
	out := map[string]bool{}
	for _, addr := range seeds {
		conn, err := h.cfg.Conns.Conn(addr)
		if err != nil {
			continue
		}
		tasks.Go(func() {
			r, err := api.CallHistory(ctx, conn)
			if err != nil {
				conn.ResetConnectBackoff() // it is about to listen
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out[addr] = r.MayHaveParticipated
		})
	}
	tasks.Wait()
	return out
}

// Past tells a machine that starts whether this one's member may have taken part in an
// agreement; one that is not decided yet has not, nor has a machine without a member.
func (h *host) History(context.Context, *api.Empty) (*api.HistoryResponse, error) {
	if h == nil {
		return &api.HistoryResponse{}, nil
	}
	if core := h.core(); core != nil {
		return &api.HistoryResponse{MayHaveParticipated: core.TookPart()}, nil
	}
	return &api.HistoryResponse{MayHaveParticipated: !h.founding.Load()}, nil
}

// toFound tells whether the store is empty and the machine is to be one of several
// first voters.
func (h *host) toFound(store *storage.Store, bootstrap bool) (bool, error) {
	if !bootstrap || len(h.cfg.Seeds) < 2 || !slices.Contains(h.cfg.Seeds, h.cfg.Addr) {
		return false, nil
	}
	id, err := store.Identity()
	return id == 0, err
}
