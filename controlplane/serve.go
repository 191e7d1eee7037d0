package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"example.org/silverscale/agreement"
	"example.org/silverscale/api"
)

// confirm waits until a majority has answered a round of heartbeats that began
// after this call: this member led then, and all that was acknowledged before
// is applied here. Called under the mutex, which it gives up while it waits.
func (c *Core) confirm(ctx context.Context) bool {
	need, term := c.node.NextRound(), c.node.Term()
	c.node.Beat()
	c.process()
	return c.await(ctx, need, term)
}

func (c *Core) await(ctx context.Context, need, term uint64) bool {
	t := time.NewTimer(confirmWait)
	defer t.Stop()
	for {
		if c.node.Role() != agreement.Leader || c.node.Term() != term || c.diskDown {
			return false
		}
		if c.node.Serves() && c.node.Confirmed() >= need {
			return true
		}
		heard, changed := c.heard, c.changed
		c.mu.Unlock()
		ok := true
		select {
		case <-heard:
		case <-changed:
		case <-t.C:
			ok = false
		case <-ctx.Done():
			ok = false
		}
		c.mu.Lock()
		if !ok {
			return false
		}
	}
}

// Replace takes a configuration that follows on another.
func (c *Core) Replace(ctx context.Context, q *api.Replace) (*api.Result, error) {
	conf, err := api.ParseConfig(q.Config)
	if err != nil {
		return &api.Result{Status: http.StatusBadRequest, Why: err.Error()}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.Role() != agreement.Leader || c.diskDown {
		return &api.Result{Leader: c.leaderAddr()}, nil
	}
	if !c.node.Serves() && !c.confirm(ctx) {
		return &api.Result{}, nil
	}
	if r := c.state.Judge(q.Base, conf.Revision, q.Config); r.Status != 0 {
		if r.Status != http.StatusOK && !c.confirm(ctx) { // an old leader must not turn it down
			return &api.Result{}, nil
		}
		if r = c.state.Judge(q.Base, conf.Revision, q.Config); r.Status != 0 {
			return &r, nil
		}
	}
	data, err := cbor.Marshal(proposal{q.Base, conf.Revision, q.Config})
	if err != nil {
		return nil, err
	}
	index, term, err := c.node.Propose(data)
	if err != nil {
		return &api.Result{Leader: c.leaderAddr()}, nil
	}
	w := &waiter{term, make(chan api.Result, 1)}
	c.result[index] = w
	c.process()
	c.mu.Unlock()
	var r api.Result
	select {
	case r = <-w.ch:
	case <-ctx.Done():
	}
	c.mu.Lock()
	if c.result[index] == w {
		delete(c.result, index)
	}
	return &r, nil
}

// Get reads the newest configuration, as of after the call.
func (c *Core) Get(ctx context.Context, _ *api.None) (*api.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.Role() != agreement.Leader {
		return &api.Result{Leader: c.leaderAddr()}, nil
	}
	if !c.confirm(ctx) {
		return &api.Result{}, nil
	}
	if c.state.Revision == 0 {
		return &api.Result{Status: http.StatusNotFound, Why: "no configuration was taken yet"}, nil
	}
	return &api.Result{Status: http.StatusOK, Config: c.state.Config}, nil
}

// Watch answers a limiter when there is news, or when its wait is over.
func (c *Core) Watch(ctx context.Context, q *api.Watch) (*api.News, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.Role() != agreement.Leader {
		return &api.News{Leader: c.leaderAddr(), Core: c.coreAddrs()}, nil
	}
	need, term := c.node.NextRound(), c.node.Term()
	wait := time.NewTimer(min(watchMost, time.Duration(max(0, q.WaitMs))*time.Millisecond))
	defer wait.Stop()
	for waiting := q.WaitMs > 0; waiting && c.state.Revision <= q.Revision && c.servers <= q.Servers &&
		c.node.Role() == agreement.Leader && c.node.Term() == term; {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-wait.C:
			waiting = false
		case <-ctx.Done():
			c.mu.Lock()
			return nil, ctx.Err()
		}
		c.mu.Lock()
	}
	if c.node.Role() == agreement.Leader && c.node.Confirmed() < need {
		c.node.Beat()
		c.process()
	}
	n := &api.News{Lease: c.await(ctx, need, term), Leader: c.leaderAddr(), Core: c.coreAddrs()}
	if !n.Lease {
		return n, nil
	}
	if n.Revision = c.state.Revision; n.Revision > q.Revision {
		n.Config = c.state.Config
	}
	if n.Servers = c.servers; n.Servers > q.Servers {
		n.List, n.Listed = c.agedList(), true
	}
	return n, nil
}

func (c *Core) coreAddrs() []string {
	var out []string
	for _, m := range c.node.Members() {
		out = append(out, m.Addr)
	}
	return out
}

// Leads tells whether this member leads now.
func (c *Core) Leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.node.Role() == agreement.Leader
}

// SetServers takes in the platform's list. Where only time has passed, it is no news.
func (c *Core) SetServers(list []api.Server) {
	slices.SortFunc(list, func(a, b api.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.Role() != agreement.Leader {
		return
	}
	same := c.servers != 0 && slices.EqualFunc(c.list, list, func(a, b api.Server) bool {
		a.WarmupMs, b.WarmupMs = 0, 0
		return a == b
	})
	if same {
		return
	}
	c.list, c.listAt = list, time.Now()
	c.servers = max(c.servers+1, c.node.Term()<<32)
	c.signal()
}

// agedList is the list with the time of warming up that is left by now.
func (c *Core) agedList() []api.Server {
	list, passed := slices.Clone(c.list), float64(time.Since(c.listAt).Milliseconds())
	for i := range list {
		list[i].WarmupMs = max(0, list[i].WarmupMs-passed)
	}
	return list
}

// CoreStatus is what a member of the core shows of itself.
type CoreStatus struct {
	ID, Role, Leader string
	Term, Commit     uint64
	Revision         uint64
	DiskFails        bool
	Members          []string
}

// Status returns what this member knows.
func (c *Core) Status() CoreStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := CoreStatus{ID: fmt.Sprintf("%x", uint64(c.id)), Role: c.node.Role().String(), Leader: c.leaderAddr(), Term: c.node.Term(),
		Commit: c.node.Commit(), Revision: c.state.Revision, DiskFails: c.diskDown}
	for _, m := range c.node.Members() {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		s.Members = append(s.Members, fmt.Sprintf("%x %s %s", uint64(m.ID), m.Addr, kind))
	}
	return s
}
