package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"example.org/elmspan/api"
)

// maxJoinCalls bounds the calls of one round, however many addresses the responses name.
const maxJoinCalls = 24

// joiner sends join requests until this process has been added to the control plane. A machine with
// an empty disk only knows its configured addresses, and none of these has to be the leader or even
// still a member: the joiner also calls the leaders that the responses name. The fields before busy
// are set before Run and not changed; busy is guarded by Core.mu, which is released during calls.
type joiner struct {
	cfg       *CoreConfig
	mu        *sync.Mutex // Core.mu
	lifecycle *lifecycle
	host      *raftHost

	busy bool // a round is in progress
}

// begin starts a round of calls, unless one is in progress. Called with the mutex held.
func (j *joiner) begin() {
	if j.busy {
		return
	}
	j.busy = true
	candidates := newJoinCandidates(j.cfg.Addr, j.cfg.Seeds, j.host.memberAddrs())
	j.lifecycle.tasks.Go(func() {
		j.runRound(j.lifecycle.ctx, candidates)
		j.mu.Lock()
		defer j.mu.Unlock()
		j.busy = false
	})
}

// runRound sends join requests to all known addresses, then to those that the responses name, until
// one is accepted or no address is left. The calls of a wave are concurrent, so that a machine that
// does not respond doesn't delay the others.
func (j *joiner) runRound(ctx context.Context, candidates *joinCandidates) {
	if j.cfg.KnownMembers != nil {
		candidates.add(j.cfg.KnownMembers()...) // without the mutex: KnownMembers acquires other locks
	}
	var rejections []string
	for wave := candidates.next(); len(wave) > 0; wave = candidates.next() {
		for i, result := range j.callAll(ctx, wave) {
			if result.accepted() {
				return
			}
			if result.err == nil {
				candidates.add(result.response.Leader)
			}
			rejections = append(rejections, wave[i]+": "+result.String())
		}
	}
	if ctx.Err() == nil && !j.isMember() {
		j.cfg.Log.Warn("join request not accepted", "answers", rejections)
	}
}

// callAll sends a join request to several processes at once, and returns the results in the same
// order.
func (j *joiner) callAll(ctx context.Context, addrs []string) []joinResult {
	results := make([]joinResult, len(addrs))
	var calls sync.WaitGroup
	for i, addr := range addrs {
		calls.Go(func() { results[i] = j.call(ctx, addr) })
	}
	calls.Wait()
	return results
}

// call sends a join request to one process.
func (j *joiner) call(ctx context.Context, addr string) joinResult {
	conn, err := j.cfg.Conns.Conn(addr)
	if err != nil {
		return joinResult{err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	request := &api.JoinRequest{ID: j.host.id, Addr: j.cfg.Addr, SupportsJoint: true}
	response, err := api.CallJoin(ctx, conn, request)
	return joinResult{response: response, err: err}
}

// isMember reports whether this process has been added, according to its own log.
func (j *joiner) isMember() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.host.isMember()
}

// joinResult is the result of a join request to one process.
type joinResult struct {
	response *api.ControlResponse // nil after an error
	err      error
}

func (r joinResult) accepted() bool { return r.err == nil && r.response.Status == http.StatusOK }

// String returns in one line why this process was not added.
func (r joinResult) String() string {
	switch {
	case r.err != nil:
		return r.err.Error()
	case r.response.Reason != "":
		return r.response.Reason
	case r.response.Leader != "":
		return "not the leader; the leader is " + r.response.Leader
	}
	return fmt.Sprintf("status %d, no leader known", r.response.Status)
}

// joinCandidates decides which addresses are called next in one round of join requests: each
// address once, and never this process's own. It does no I/O.
type joinCandidates struct {
	self      string
	known     []string // in the order in which they were added
	numCalled int      // how many of known, from the beginning, were called
}

func newJoinCandidates(self string, sources ...[]string) *joinCandidates {
	c := &joinCandidates{self: self}
	for _, addrs := range sources {
		c.add(addrs...)
	}
	return c
}

// add adds addresses; empty and known ones are ignored.
func (c *joinCandidates) add(addrs ...string) {
	for _, addr := range addrs {
		if addr != "" && addr != c.self && len(c.known) < maxJoinCalls && !slices.Contains(c.known, addr) {
			c.known = append(c.known, addr)
		}
	}
}

// next returns the addresses that were not called yet, and counts them as called.
func (c *joinCandidates) next() []string {
	wave := c.known[c.numCalled:]
	c.numCalled = len(c.known)
	return wave
}
