package controlplane

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// leaveInterval is how often a leaving member announces it, until its process ends.
const leaveInterval = 200 * time.Millisecond

// memberManager adds members, replaces failed ones and handles those that leave. memberPolicy
// decides which change to make. All fields are guarded by Core.mu, which is released during calls
// to other members.
type memberManager struct {
	cfg       *CoreConfig
	mu        *sync.Mutex // Core.mu
	lifecycle *lifecycle
	host      *raftHost

	policy memberPolicy
	health voterHealth
}

// Join adds a process as a member, at first without a vote, or marks a member as leaving: then it
// gets no vote, and the vote that it has goes to a standby. See [Core.Join] for the status.
func (m *memberManager) Join(_ context.Context, q *api.JoinRequest) (*api.ControlResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	node := m.host.node
	if node.Role() != raft.Leader {
		return &api.ControlResponse{Leader: m.host.leaderAddr()}, nil
	}
	members := node.Members()
	known := slices.ContainsFunc(members, func(o raft.Member) bool { return o.ID == q.ID })
	switch {
	case q.Leaving && known:
		return m.handleLeaving(q.ID), nil
	case known, q.Leaving:
		return &api.ControlResponse{Status: http.StatusOK}, nil
	}
	joining := raft.Member{ID: q.ID, Addr: q.Addr, SupportsJoint: q.SupportsJoint}
	err := node.ProposeMembers(append(slices.Clone(members), joining))
	m.host.handleReady()
	if err != nil {
		m.cfg.Log.Warn("join request rejected", "member", hexID(q.ID), "addr", q.Addr, "error", err)
		return &api.ControlResponse{Reason: err.Error()}, nil
	}
	m.cfg.Log.Info("member added", "member", hexID(q.ID), "addr", q.Addr)
	return &api.ControlResponse{Status: http.StatusOK}, nil
}

// handleLeaving marks a member as leaving, and replaces it as a voter if possible.
func (m *memberManager) handleLeaving(id raft.ID) *api.ControlResponse {
	m.policy.markLeaving(id)
	m.reconcile()
	node := m.host.node
	if !node.MembershipChangePending() && !m.policy.hasStandby(node) && isVoter(node.Members(), id) {
		return &api.ControlResponse{Status: http.StatusConflict, Reason: "no standby to take over the vote"}
	}
	return &api.ControlResponse{Status: http.StatusOK}
}

// reconcile proposes the next membership change that the policy decides on, if this member leads.
func (m *memberManager) reconcile() {
	m.health.update(m.host.node, m.cfg.Log)
	change, next := m.policy.nextMembers(m.host.node)
	if next == nil {
		return
	}
	if err := m.host.node.ProposeMembers(next); err != nil {
		if !errors.Is(err, raft.ErrChangePending) {
			m.cfg.Log.Warn("membership change failed", "change", change, "error", err)
		}
		return
	}
	voters := describeMembers(slices.DeleteFunc(slices.Clone(next), func(o raft.Member) bool { return !o.Voter }))
	m.cfg.Log.Info("membership changed", "change", change, "voters", voters)
	m.host.handleReady()
}

// Leave starts to hand over leadership and vote before this process ends; see [Core.Leave].
func (m *memberManager) Leave() <-chan struct{} {
	done := make(chan struct{})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lifecycle.ctx == nil {
		close(done)
		return done
	}
	ctx, finish := m.lifecycle.ctx, sync.OnceFunc(func() { close(done) })
	m.lifecycle.tasks.Go(func() {
		defer finish()
		ticker := time.NewTicker(leaveInterval)
		defer ticker.Stop()
		for {
			if m.announceLeaving(ctx) {
				finish()
			}
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
	return done
}

// announceLeaving transfers leadership, or notifies the leader that this member is leaving. done:
// there is nothing left to wait for.
func (m *memberManager) announceLeaving(ctx context.Context) (done bool) {
	m.TransferLeadership()
	m.mu.Lock()
	leader, needed, alone := m.host.leaderAddr(), m.host.node.NeededForQuorum(), m.leadsAlone()
	m.mu.Unlock()
	if leader == "" || leader == m.cfg.Addr {
		return !needed || alone
	}
	conn, err := m.cfg.Conns.Conn(leader)
	if err != nil {
		return !needed
	}
	call, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	r, err := api.CallJoin(call, conn, &api.JoinRequest{ID: m.host.id, Addr: m.cfg.Addr, Leaving: true})
	return !needed || err == nil && r.Status == http.StatusConflict
}

// leadsAlone reports whether this member leads and no other voter responds.
func (m *memberManager) leadsAlone() bool {
	node := m.host.node
	if node.Role() != raft.Leader {
		return false
	}
	for _, o := range node.Members() {
		if o.ID != m.host.id && o.Voter && node.TicksSinceResponse(o.ID) <= electionTicks {
			return false
		}
	}
	return true
}

// TransferLeadership transfers leadership to another member, if this member leads.
func (m *memberManager) TransferLeadership() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.host.node.TransferLeadership()
	m.host.handleReady()
}
