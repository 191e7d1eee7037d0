package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"example.org/elmspan/api"
)

// maxJoinCalls bounds the calls of one round, whatever addresses the answers name.
const maxJoinCalls = 24

// joiner has this process added to the control plane. A machine with an empty disk knows no
// member but by the addresses that it is configured with, and none of these need lead, nor be a
// member any more: what an answer says of the leader is followed. The fields up to busy are set
// before Run and not changed; busy is guarded by Core.mu, which is given up during calls.
type joiner struct {
	cfg       *CoreConfig
	mu        *sync.Mutex // Core.mu
	lifecycle *lifecycle
	host      *raftHost

	busy bool // a round is under way
}

// begin starts a round of calls, unless one is under way. Called under the mutex.
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

// runRound asks all that are known to add this member, then those that the answers name, until one
// has done it or there is nobody left to ask. The calls of a wave are made side by side: a
// machine that does not answer costs the others no time.
func (j *joiner) runRound(ctx context.Context, candidates *joinCandidates) {
	if j.cfg.KnownMembers != nil {
		candidates.add(j.cfg.KnownMembers()...) // without the mutex, as it takes locks of its own
	}
	var rejections []string
	for wave := candidates.next(); len(wave) > 0; wave = candidates.next() {
		for i, answer := range j.callAll(ctx, wave) {
			if answer.accepted() {
				return
			}
			if answer.err == nil {
				candidates.add(answer.response.Leader)
			}
			rejections = append(rejections, wave[i]+": "+answer.String())
		}
	}
	if ctx.Err() == nil && !j.isMember() {
		j.cfg.Log.Warn("join request not accepted", "answers", rejections)
	}
}

// callAll asks several processes at once, and returns their answers in the same order.
func (j *joiner) callAll(ctx context.Context, addrs []string) []joinResult {
	answers := make([]joinResult, len(addrs))
	var calls sync.WaitGroup
	for i, addr := range addrs {
		calls.Go(func() { answers[i] = j.call(ctx, addr) })
	}
	calls.Wait()
	return answers
}

// call asks one process to add this member.
func (j *joiner) call(ctx context.Context, addr string) joinResult {
	conn, err := j.cfg.Conns.Conn(addr)
	if err != nil {
		return joinResult{err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	request := &api.JoinRequest{ID: j.host.id, Addr: j.cfg.Addr, Joint: true}
	response, err := api.CallJoin(ctx, conn, request)
	return joinResult{response: response, err: err}
}

// isMember reports whether this process has been added, as far as it knows.
func (j *joiner) isMember() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.host.isMember()
}

// joinResult is what a process answered to a join request.
type joinResult struct {
	response *api.ControlResponse // nil after an error
	err      error
}

func (a joinResult) accepted() bool { return a.err == nil && a.response.Status == http.StatusOK }

// String says in one line why this member was not added.
func (a joinResult) String() string {
	switch {
	case a.err != nil:
		return a.err.Error()
	case a.response.Reason != "":
		return a.response.Reason
	case a.response.Leader != "":
		return "not the leader, which is " + a.response.Leader
	}
	return fmt.Sprintf("status %d, knows no leader", a.response.Status)
}

// joinCandidates decides, in one round of join requests, who is asked next: each address once,
// and never this process's own. It does no I/O.
type joinCandidates struct {
	self      string
	known     []string // in the order in which they became known
	numCalled int      // the first so many of known were asked
}

func newJoinCandidates(self string, sources ...[]string) *joinCandidates {
	c := &joinCandidates{self: self}
	for _, addrs := range sources {
		c.add(addrs...)
	}
	return c
}

// add takes in addresses; empty ones, and those that are known, are left out.
func (c *joinCandidates) add(addrs ...string) {
	for _, addr := range addrs {
		if addr != "" && addr != c.self && len(c.known) < maxJoinCalls && !slices.Contains(c.known, addr) {
			c.known = append(c.known, addr)
		}
	}
}

// next returns those that were not asked yet, and counts them as asked.
func (c *joinCandidates) next() []string {
	wave := c.known[c.numCalled:]
	c.numCalled = len(c.known)
	return wave
}
