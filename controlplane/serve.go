package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"example.org/elmspan/api"
	"example.org/elmspan/versioned"
)

// checked is a configuration that an operator brought, with all that was made of it: it is
// often brought again, and it is told to limiters once it is agreed on.
type checked struct {
	print fingerprint
	split *api.ConfigRows
	base  uint64
	entry []byte
}

// brings tells whether a state's newest configuration is this one.
func (k *checked) brings(s *State) bool {
	n := len(s.Applied)
	return n > 0 && s.Revision == k.split.Revision && s.Applied[n-1] == appliedRevision{s.Revision, k.print}
}

// checkConfig returns a configuration that follows on another, as it is proposed.
func (c *Core) checkConfig(q *api.ReplaceRequest) (*checked, error) {
	print := fingerprintOf(q.Config)
	c.mu.Lock()
	last, before := c.checked, c.split
	c.mu.Unlock()
	if last != nil && last.print == print && last.base == q.Base {
		return last, nil
	}
	split, err := api.ValidateConfig(q.Config, before)
	if err == nil {
		err = tellable(q.Config)
	}
	if err != nil {
		return nil, err
	}
	entry, err := encodeReplaceCommand(q.Base, split.Revision, q.Config)
	if err != nil {
		return nil, err
	}
	k := &checked{print, split, q.Base, entry}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leads() {
		c.checked = k
	}
	return k, nil
}

// Replace takes a configuration that follows on another.
func (c *Core) Replace(ctx context.Context, q *api.ReplaceRequest) (*api.ControlResponse, error) {
	k, err := c.checkConfig(q)
	if err != nil {
		return &api.ControlResponse{Status: http.StatusBadRequest, Reason: err.Error()}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.call(ctx, &pending{base: q.Base, revision: k.split.Revision, print: k.print, data: k.entry})
	return &r, nil
}

// Get reads what the core agrees on, as of after the call.
func (c *Core) Get(ctx context.Context, q *api.GetRequest) (*api.ControlResponse, error) {
	c.mu.Lock()
	r := c.call(ctx, &pending{get: true})
	state := c.state
	c.mu.Unlock()
	if r.Status != http.StatusOK {
		return &r, nil
	}
	var err error
	switch {
	case q.Versions:
		r.Versions = state.Revisions()
	case q.State:
		r.Config, err = Export(&state)
	case q.Revision != 0:
		if r.Config, err = state.ConfigAt(q.Revision); errors.Is(err, ErrRevisionNotKept) {
			return &api.ControlResponse{Status: http.StatusNotFound, Reason: fmt.Sprintf("revision %d is not remembered; there are %v", q.Revision, state.Revisions())}, nil
		}
	default:
		r.Config, err = state.Config()
	}
	if err != nil {
		return nil, err
	}
	return &r, nil
}

// call carries a call through, until it is over or its context ends. Called under
// the mutex, which it gives up while it waits.
func (c *Core) call(ctx context.Context, p *pending) api.ControlResponse {
	for {
		if c.diskDown && p.index == 0 {
			return api.ControlResponse{Leader: c.leaderAddr()}
		}
		before := p.index
		r, done, beat := c.next(p)
		switch {
		case done && r.Status == 0:
			return api.ControlResponse{Leader: c.leaderAddr()}
		case done:
			return r
		case p.index != before:
			c.process()
			continue
		case beat:
			c.beatSoon()
		}
		heard, changed := c.heard, c.changed
		c.mu.Unlock()
		over := false
		select {
		case <-heard:
		case <-changed:
		case <-ctx.Done():
			over = true
		}
		c.mu.Lock()
		if over {
			c.drop(p)
			return api.ControlResponse{}
		}
	}
}

func (c *Core) coreAddrs() []string {
	var out []string
	for _, m := range c.node.Members() {
		out = append(out, m.Addr)
	}
	return out
}

// CoreStatus is what a member of the core shows of itself.
type CoreStatus struct {
	ID, Role, Leader string
	Term, Commit     uint64
	Revision         uint64
	DiskFails        bool
	Halted           string // why it takes no part any more; empty: it does
	Members          []string
	// Watches wait here for news. What is held for them: encoded differences, and
	// for each a piece at most, so NewsBytesMost in all.
	Watches       int
	NewsBytes     int
	NewsBytesMost int
}

// Status returns what this member knows.
func (c *Core) Status() CoreStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := CoreStatus{ID: fmt.Sprintf("%x", uint64(c.id)), Role: c.node.Role().String(), Leader: c.leaderAddr(), Term: c.node.Term(),
		Commit: c.node.Commit(), Revision: c.state.Revision, DiskFails: c.diskDown && c.halted == "", Halted: c.halted, Watches: c.asks.waiting,
		NewsBytes: c.configs.CachedBytes() + c.servers.table.CachedBytes(), NewsBytesMost: 4*versioned.MaxCachedBytes + mostWatches*api.ChunkSize}
	for _, m := range c.node.Members() {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		s.Members = append(s.Members, fmt.Sprintf("%x %s %s", uint64(m.ID), m.Addr, kind))
	}
	return s
}
