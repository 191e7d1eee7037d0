package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"example.org/elmspan/agreement"
	"example.org/elmspan/api"
)

const (
	// A voter that was not heard of for so long is replaced where another member
	// stands by; one that stands by is dropped after dropTicks.
	replaceTicks = 60
	dropTicks    = 1200
	tendTicks    = 4 // between two looks at the members
)

// askIn asks the others to take this member in.
func (c *Core) askIn(ctx context.Context) {
	for _, addr := range c.Addrs() {
		if addr == c.cfg.Addr {
			continue
		}
		conn, err := c.cfg.Conns.To(addr)
		if err != nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, deliverTimeout)
		r, err := api.CallJoin(call, conn, &api.Join{ID: c.id, Addr: c.cfg.Addr})
		cancel()
		if err == nil && r.Status == http.StatusOK {
			return
		}
	}
}

// Addrs are the addresses of the core, as far as known.
func (c *Core) Addrs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.cfg.Seeds)
	for _, m := range c.node.Members() {
		out = append(out, m.Addr)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Join takes a process in, at first without a vote.
func (c *Core) Join(_ context.Context, q *api.Join) (*api.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.Role() != agreement.Leader {
		return &api.Result{Leader: c.leaderAddr()}, nil
	}
	ms := c.node.Members()
	if slices.ContainsFunc(ms, func(m agreement.Member) bool { return m.ID == q.ID }) {
		return &api.Result{Status: http.StatusOK}, nil
	}
	err := c.node.Change(append(slices.Clone(ms), agreement.Member{ID: q.ID, Addr: q.Addr}))
	c.process()
	if err != nil {
		return &api.Result{Why: err.Error()}, nil
	}
	c.cfg.Log.Info("a member joins", "id", fmt.Sprintf("%x", uint64(q.ID)), "addr", q.Addr)
	return &api.Result{Status: http.StatusOK}, nil
}

// tend keeps as many voters as wanted, of those that live. A member that
// another one follows at the same address has lost its disk and is gone.
func (c *Core) tend() {
	if c.node.Role() != agreement.Leader {
		return
	}
	ms := c.node.Members()
	var gone, ready *agreement.Member
	n := 0
	for i := range ms {
		m := &ms[i]
		after := slices.ContainsFunc(ms[i+1:], func(o agreement.Member) bool { return o.Addr == m.Addr })
		quiet := c.node.Quiet(m.ID)
		switch {
		case m.Voter:
			n++
			if after || quiet > replaceTicks {
				gone = m
			}
		case after || quiet > dropTicks:
			c.change("drop", m.ID, func(k *agreement.Member) bool { return k.ID != m.ID })
			return
		case quiet < electionTicks && c.node.CaughtUp(m.ID):
			ready = m
		}
	}
	switch {
	case ready != nil && (n < c.cfg.Voters || n == c.cfg.Voters && gone != nil):
		c.change("promote", ready.ID, func(k *agreement.Member) bool {
			k.Voter = k.Voter || k.ID == ready.ID
			return true
		})
	case gone != nil && n > c.cfg.Voters:
		c.change("remove", gone.ID, func(k *agreement.Member) bool { return k.ID != gone.ID })
	}
}

func (c *Core) change(what string, id agreement.ID, keep func(*agreement.Member) bool) {
	var next []agreement.Member
	for _, m := range c.node.Members() {
		if keep(&m) {
			next = append(next, m)
		}
	}
	if err := c.node.Change(next); err != nil {
		if !errors.Is(err, agreement.ErrPending) {
			c.cfg.Log.Warn("members", "change", what, "err", err)
		}
		return
	}
	c.cfg.Log.Info("members", "change", what, "id", fmt.Sprintf("%x", uint64(id)))
	c.process()
}

func (c *Core) leaderAddr() string {
	for _, m := range c.node.Members() {
		if m.ID == c.node.Leader() {
			return m.Addr
		}
	}
	return ""
}
