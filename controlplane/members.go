package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

const (
	// A voter that was not heard of for so long gives its vote to a member that stands
	// by; one without a vote is dropped after dropTicks. A leader that is lost too must be
	// replaced within the 4 s that a machine is given to be whole again: up to 1 s for the
	// election, this silence as its successor counts it, and the change.
	replaceTicks = 40
	dropTicks    = 1200
	// A member counts as leaving for so long after it has said so; it says so again
	// each leaveEvery as long as it is there.
	leavingTicks = 20
	leaveEvery   = 200 * time.Millisecond
)

// askIn asks the others to take this member in.
func (c *Core) askIn(ctx context.Context) {
	for _, addr := range c.Addrs() {
		if addr == c.cfg.Addr {
			continue
		}
		conn, err := c.cfg.Conns.Conn(addr)
		if err != nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, deliverTimeout)
		r, err := api.CallJoin(call, conn, &api.JoinRequest{ID: c.id, Addr: c.cfg.Addr, Joint: true})
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

// Join takes a process in, at first without a vote. One that is leaving is marked as
// such: it is given no vote, and its vote goes to a member that stands by. Status is
// 200, or 409 where a voter leaves and nobody stands by; 0 who can't say.
func (c *Core) Join(_ context.Context, q *api.JoinRequest) (*api.ControlResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.node.Role() != raft.Leader {
		return &api.ControlResponse{Leader: c.leaderAddr()}, nil
	}
	ms := c.node.Members()
	known := slices.ContainsFunc(ms, func(m raft.Member) bool { return m.ID == q.ID })
	switch {
	case q.Leaving && known:
		c.keeper.mark(q.ID)
		c.tend()
		if !c.node.Changing() && !c.keeper.standsBy(c.node) && voter(c.node.Members(), q.ID) {
			return &api.ControlResponse{Status: http.StatusConflict, Reason: "no other member stands by"}, nil
		}
		return &api.ControlResponse{Status: http.StatusOK}, nil
	case known, q.Leaving:
		return &api.ControlResponse{Status: http.StatusOK}, nil
	}
	err := c.node.Change(append(slices.Clone(ms), raft.Member{ID: q.ID, Addr: q.Addr, Joint: q.Joint}))
	c.process()
	if err != nil {
		return &api.ControlResponse{Reason: err.Error()}, nil
	}
	c.cfg.Log.Info("a member joins", "id", fmt.Sprintf("%x", uint64(q.ID)), "addr", q.Addr)
	return &api.ControlResponse{Status: http.StatusOK}, nil
}

// tend has a leader change the members where the keeper says so.
func (c *Core) tend() {
	what, next := c.keeper.next(c.node)
	if next == nil {
		return
	}
	if err := c.node.Change(next); err != nil {
		if !errors.Is(err, raft.ErrPending) {
			c.cfg.Log.Warn("members", "change", what, "err", err)
		}
		return
	}
	var votes []string
	for _, m := range next {
		if m.Voter {
			votes = append(votes, fmt.Sprintf("%x %s", uint64(m.ID), m.Addr))
		}
	}
	c.cfg.Log.Info("members", "change", what, "voters", votes)
	c.process()
}

// keeper decides who is to vote. It does no I/O and counts time in ticks, so that a
// simulation plays it as it is.
type keeper struct {
	wanted  int // voters
	ticks   int
	leaving map[raft.ID]int // the tick until which a member counts as one that leaves
}

// mark notes that a member has said that it leaves.
func (k *keeper) mark(id raft.ID) {
	if k.leaving == nil || len(k.leaving) > mostSenders {
		k.leaving = map[raft.ID]int{}
	}
	k.leaving[id] = k.ticks + leavingTicks
}

// ready tells that a member may be given a vote: it was heard of, has all that is
// agreed and doesn't leave.
func (k *keeper) ready(n *raft.Node, id raft.ID) bool {
	return n.Quiet(id) < electionTicks && n.CaughtUp(id) && k.leaving[id] <= k.ticks
}

// standsBy tells that a member without a vote is there, caught up or not.
func (k *keeper) standsBy(n *raft.Node) bool {
	return slices.ContainsFunc(n.Members(), func(m raft.Member) bool {
		return !m.Voter && !m.Old && n.Quiet(m.ID) < electionTicks && k.leaving[m.ID] <= k.ticks
	})
}

// why a voter is to lose its vote, the better reason the higher.
const (
	stays = iota
	leaves
	silent
	replaced // its successor has joined from its address: its disk is lost
)

// patience is how long a voter may be silent. One that has not answered this leader at
// all was silent when it was elected as well: to count its silence anew from each
// election would let leaders that are lost one after the other put off its replacement.
func (k *keeper) patience(n *raft.Node, id raft.ID) int {
	if answered, _ := n.Heard(id); !answered {
		return electionTicks
	}
	return replaceTicks
}

func (k *keeper) why(n *raft.Node, ms []raft.Member, i int) int {
	m := &ms[i]
	switch {
	case slices.ContainsFunc(ms[i+1:], func(o raft.Member) bool { return o.Addr == m.Addr }):
		return replaced
	case n.Quiet(m.ID) > k.patience(n, m.ID):
		return silent
	case k.leaving[m.ID] > k.ticks:
		return leaves
	}
	return stays
}

// next are the members that the core should have, one change further, and the change
// in a word; nil where nothing is to be changed, or nothing may be as yet. Wanted are
// so many voters, of those that live; a vote goes to a member that stands by in one
// decision with the loss of another's. Where nobody stands by, whoever is silent or
// leaves keeps its vote: with it gone the others would bear no loss either, and its
// return would be none.
func (k *keeper) next(n *raft.Node) (what string, next []raft.Member) {
	if !n.Serves() || n.Changing() {
		return "", nil
	}
	ms := n.Members()
	in, out, last, drop, reason, voters := -1, -1, -1, -1, stays, 0
	for i := range ms {
		why := k.why(n, ms, i)
		switch m := &ms[i]; {
		case m.Voter:
			voters++
			if why > reason {
				out, reason = i, why
			}
			if n.Leader() != m.ID {
				last = i
			}
		case why == replaced || n.Quiet(m.ID) > dropTicks:
			drop = i
		case in < 0 && k.ready(n, m.ID):
			in = i
		}
	}
	vote := func(i int, has bool) []raft.Member {
		set := slices.Clone(ms)
		set[i].Voter = has
		return set
	}
	switch {
	case in >= 0 && out >= 0:
		what, next = "swap", vote(in, true)
		switch next[out].Voter = false; {
		case n.Understood(next):
		case voters > k.wanted: // some are of older versions: one more, then one less
			what, next = "take the vote", vote(out, false)
		default:
			what, next = "give a vote", vote(in, true)
		}
	case in >= 0 && voters < k.wanted:
		what, next = "give a vote", vote(in, true)
	case out >= 0 && voters > k.wanted:
		what, next = "take the vote", vote(out, false)
	case voters > k.wanted && voters%2 == 0 && last >= 0:
		what, next = "take the vote", vote(last, false) // an even number bears no more than one less
	}
	if next != nil && n.Bears(next) {
		return what, next
	}
	note := slices.Clone(ms)
	for i := range note {
		if heard, joint := n.Heard(note[i].ID); heard {
			note[i].Joint = joint
		}
	}
	if !slices.Equal(note, ms) {
		return "version", note
	}
	if drop >= 0 {
		return "drop", slices.Delete(slices.Clone(ms), drop, drop+1)
	}
	return "", nil
}

// voter tells whether a member counts toward a majority.
func voter(ms []raft.Member, id raft.ID) bool {
	return slices.ContainsFunc(ms, func(m raft.Member) bool { return m.ID == id && (m.Voter || m.Old) })
}

// Leave has this member hand on what others count on before its process ends: its
// leadership, and where another member stands by its vote. It goes on with its part in
// the agreement meanwhile, until Run's context ends. The channel is closed once the
// others don't need it any more, or can't do without.
func (c *Core) Leave() <-chan struct{} {
	done := make(chan struct{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		close(done)
		return done
	}
	ctx, over := c.ctx, sync.OnceFunc(func() { close(done) })
	c.tasks.Go(func() {
		defer over()
		t := time.NewTicker(leaveEvery)
		defer t.Stop()
		for {
			if c.sayLeaving(ctx) {
				over()
			}
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
		}
	})
	return done
}

// sayLeaving hands leadership on, or tells the leader that this member leaves. done:
// nothing more is to be waited for.
func (c *Core) sayLeaving(ctx context.Context) (done bool) {
	c.HandOver()
	c.mu.Lock()
	leader, needed, alone := c.leaderAddr(), c.node.Needed(), c.node.Role() == raft.Leader
	for _, m := range c.node.Members() {
		alone = alone && (m.ID == c.id || !m.Voter || c.node.Quiet(m.ID) > electionTicks)
	}
	c.mu.Unlock()
	if leader == "" || leader == c.cfg.Addr {
		return !needed || alone
	}
	conn, err := c.cfg.Conns.Conn(leader)
	if err != nil {
		return !needed
	}
	call, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	r, err := api.CallJoin(call, conn, &api.JoinRequest{ID: c.id, Addr: c.cfg.Addr, Leaving: true})
	return !needed || err == nil && r.Status == http.StatusConflict
}

func (c *Core) leaderAddr() string {
	for _, m := range c.node.Members() {
		if m.ID == c.node.Leader() {
			return m.Addr
		}
	}
	return ""
}
