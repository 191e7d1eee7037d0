package controlplane

import (
	"slices"

	"example.org/elmspan/raft"
)

const (
	// A voter that did not answer for replaceTicks gives its vote to a standby; a member
	// without a vote is removed after removeTicks. A leader that is lost too must be replaced
	// within the 4 s that a machine is given to be whole again: up to 1 s for the election, this
	// time-out as its successor counts it, and the change.
	replaceTicks = 40
	removeTicks  = 1200
	// A member counts as leaving for leavingTicks after it has said so.
	leavingTicks = 20
)

// memberPolicy decides who is to vote. It does no I/O and counts time in ticks, so that a
// simulation plays it as it is. In a Core it is guarded by Core.mu.
type memberPolicy struct {
	voters  int // wanted
	ticks   int
	leaving map[raft.ID]int // the tick until which a member counts as one that leaves
}

// markLeaving notes that a member has said that it leaves.
func (p *memberPolicy) markLeaving(id raft.ID) {
	if p.leaving == nil || len(p.leaving) > maxSenders {
		p.leaving = map[raft.ID]int{}
	}
	p.leaving[id] = p.ticks + leavingTicks
}

// promotable reports that a member may be given a vote: it answered lately, has all that is
// committed and doesn't leave.
func (p *memberPolicy) promotable(n *raft.Node, id raft.ID) bool {
	return n.TicksSinceResponse(id) < electionTicks && n.CaughtUp(id) && p.leaving[id] <= p.ticks
}

// hasStandby reports that a member without a vote is there, caught up or not.
func (p *memberPolicy) hasStandby(n *raft.Node) bool {
	return slices.ContainsFunc(n.Members(), func(m raft.Member) bool {
		return !m.Voter && !m.Outgoing && n.TicksSinceResponse(m.ID) < electionTicks && p.leaving[m.ID] <= p.ticks
	})
}

// demotionReason is why a voter is to lose its vote, the better reason the higher.
type demotionReason int

const (
	keepsVote demotionReason = iota
	isLeaving
	timedOut
	isReplaced // its successor has joined from its address: its disk is lost
)

// timeout is for how many ticks a voter may give no answer. One that has not answered this
// leader at all gave none when it was elected either: to count anew from each election
// would let leaders that are lost one after the other put off its replacement.
func (p *memberPolicy) timeout(n *raft.Node, id raft.ID) int {
	if answered, _ := n.PeerResponse(id); !answered {
		return electionTicks
	}
	return replaceTicks
}

// demotion returns whether and why the member at index i is to lose its vote.
func (p *memberPolicy) demotion(n *raft.Node, members []raft.Member, i int) demotionReason {
	m := &members[i]
	switch {
	case slices.ContainsFunc(members[i+1:], func(o raft.Member) bool { return o.Addr == m.Addr }):
		return isReplaced
	case n.TicksSinceResponse(m.ID) > p.timeout(n, m.ID):
		return timedOut
	case p.leaving[m.ID] > p.ticks:
		return isLeaving
	}
	return keepsVote
}

// memberSummary is what the policy sees of the members. Indexes are into them, -1: none.
type memberSummary struct {
	voters     int
	promote    int // the first that may be given a vote
	demote     int // the voter with the best reason to lose its vote
	lastVoter  int // the last that doesn't lead
	removeNext int // a member without a vote that is to be removed
}

func (p *memberPolicy) summarize(n *raft.Node, members []raft.Member) memberSummary {
	s := memberSummary{promote: -1, demote: -1, lastVoter: -1, removeNext: -1}
	best := keepsVote
	for i := range members {
		reason := p.demotion(n, members, i)
		switch m := &members[i]; {
		case m.Voter:
			s.voters++
			if reason > best {
				s.demote, best = i, reason
			}
			if n.Leader() != m.ID {
				s.lastVoter = i
			}
		case reason == isReplaced || n.TicksSinceResponse(m.ID) > removeTicks:
			s.removeNext = i
		case s.promote < 0 && p.promotable(n, m.ID):
			s.promote = i
		}
	}
	return s
}

// nextMembers are the members that the core should have, one change further, and the change in
// a word; nil where nothing is to be changed, or nothing may be as yet. Wanted are so many
// voters, of those that live; a vote goes to a standby in one decision with the loss of
// another's. Where there is no standby, whoever timed out or leaves keeps its vote: with it gone
// the others would bear no loss either, and its return would be none.
func (p *memberPolicy) nextMembers(n *raft.Node) (change string, next []raft.Member) {
	if !n.HasCommittedInTerm() || n.MembershipChangePending() {
		return "", nil
	}
	members := n.Members()
	summary := p.summarize(n, members)
	if change, next = p.nextVoters(n, members, summary); next != nil && n.CanCommitMembers(next) {
		return change, next
	}
	if next := withKnownVersions(n, members); !slices.Equal(next, members) {
		return "version", next
	}
	if i := summary.removeNext; i >= 0 {
		return "drop", slices.Delete(slices.Clone(members), i, i+1)
	}
	return "", nil
}

// nextVoters are the members with one vote given, taken or both.
func (p *memberPolicy) nextVoters(n *raft.Node, members []raft.Member, s memberSummary) (string, []raft.Member) {
	vote := func(i int, has bool) []raft.Member {
		next := slices.Clone(members)
		next[i].Voter = has
		return next
	}
	tooMany := s.voters > p.voters
	switch {
	case s.promote >= 0 && s.demote >= 0:
		swapped := vote(s.promote, true)
		swapped[s.demote].Voter = false
		switch {
		case n.SupportsJointConsensus(swapped):
			return "swap", swapped
		case tooMany: // some are of older versions: one more, then one less
			return "take the vote", vote(s.demote, false)
		}
		return "give a vote", vote(s.promote, true)
	case s.promote >= 0 && s.voters < p.voters:
		return "give a vote", vote(s.promote, true)
	case s.demote >= 0 && tooMany:
		return "take the vote", vote(s.demote, false)
	case tooMany && s.voters%2 == 0 && s.lastVoter >= 0:
		return "take the vote", vote(s.lastVoter, false) // an even number bears no more than one less
	}
	return "", nil
}

// withKnownVersions are the members with what their answers say of the changes that they
// understand.
func withKnownVersions(n *raft.Node, members []raft.Member) []raft.Member {
	next := slices.Clone(members)
	for i := range next {
		if answered, joint := n.PeerResponse(next[i].ID); answered {
			next[i].SupportsJoint = joint
		}
	}
	return next
}

// isVoter reports whether a member counts toward a majority.
func isVoter(members []raft.Member, id raft.ID) bool {
	return slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == id && (m.Voter || m.Outgoing) })
}
