package controlplane

import (
	"context"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/changes"
)

// Replace takes a configuration that follows on another.
func (c *Core) Replace(ctx context.Context, q *api.Replace) (*api.Result, error) {
	conf, err := api.ParseConfig(q.Config)
	if err != nil {
		return &api.Result{Status: http.StatusBadRequest, Why: err.Error()}, nil
	}
	data, err := newProposal(q.Base, conf.Revision, q.Config)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.call(ctx, &pending{base: q.Base, revision: conf.Revision, hash: xxhash.Sum64(q.Config), data: data})
	return &r, nil
}

// Get reads the newest configuration, as of after the call.
func (c *Core) Get(ctx context.Context, _ *api.None) (*api.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.call(ctx, &pending{get: true})
	if r.Status != http.StatusOK {
		return &r, nil
	}
	var err error
	if r.Config, err = c.state.Config(); err != nil {
		return nil, err
	}
	return &r, nil
}

// call carries a call through, until it is over or its context ends. Called under
// the mutex, which it gives up while it waits.
func (c *Core) call(ctx context.Context, p *pending) api.Result {
	for {
		if c.diskDown && p.index == 0 {
			return api.Result{Leader: c.leaderAddr()}
		}
		before := p.index
		r, done, beat := c.next(p)
		switch {
		case done && r.Status == 0:
			return api.Result{Leader: c.leaderAddr()}
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
			delete(c.calls, p.index)
			return api.Result{}
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
		Commit: c.node.Commit(), Revision: c.state.Revision, DiskFails: c.diskDown, Watches: c.asks.waiting,
		NewsBytes: c.configs.Held() + c.servers.table.Held(), NewsBytesMost: 4*changes.MostHeld + mostWatches*api.PieceSize}
	for _, m := range c.node.Members() {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		s.Members = append(s.Members, fmt.Sprintf("%x %s %s", uint64(m.ID), m.Addr, kind))
	}
	return s
}
