package controlplane

import (
	"slices"

	"example.org/elmspan/raft"
)

const (
	// A voter that has not responded for replaceTicks loses its vote to a standby; a member
	// without a vote is removed after removeTicks. A lost leader, too, must be replaced within the
	// 4 s that are allowed for recovering from the loss of a machine: up to 1 s for the election,
	// then at most replaceTicks (see memberPolicy.timeout), counted by the new leader, and the
	// membership change.
	replaceTicks = 40
	removeTicks  = 1200
	// A member counts as leaving for leavingTicks after its last announcement.
	leavingTicks = 20
)

// memberPolicy decides which members are voters. It does no I/O and counts time in ticks, so that
// simulations run it unchanged. In a Core it is guarded by Core.mu.
type memberPolicy struct {
	voters  int // target number of voters
	ticks   int
	leaving map[raft.ID]int // the tick until which a member counts as leaving
}

// markLeaving records that a member has announced that it leaves.
func (p *memberPolicy) markLeaving(id raft.ID) {
	if p.leaving == nil || len(p.leaving) > maxSenders {
		p.leaving = map[raft.ID]int{}
	}
	p.leaving[id] = p.ticks + leavingTicks
}

// promotable reports whether a member may become a voter: it has responded recently, has all
// committed entries and isn't leaving.
func (p *memberPolicy) promotable(n *raft.Node, id raft.ID) bool {
	return n.TicksSinceResponse(id) < electionTicks && n.CaughtUp(id) && p.leaving[id] <= p.ticks
}

// hasStandby reports whether there is a responsive member without a vote, caught up or not.
func (p *memberPolicy) hasStandby(n *raft.Node) bool {
	return slices.ContainsFunc(n.Members(), func(m raft.Member) bool {
		return !m.Voter && !m.Outgoing && n.TicksSinceResponse(m.ID) < electionTicks && p.leaving[m.ID] <= p.ticks
	})
}

// demotionReason is why a voter should lose its vote. Higher values take precedence.
type demotionReason int

const (
	keepsVote demotionReason = iota
	isLeaving
	timedOut
	isReplaced // a later member has the same address: the disk of this one is lost
)

// timeout returns for how many ticks a voter may fail to respond. A voter that has never responded
// to this leader gets a shorter time-out: it did not respond during the election either, and if
// the full time-out restarted with each election, a series of lost leaders could postpone its
// replacement.
func (p *memberPolicy) timeout(n *raft.Node, id raft.ID) int {
	if responded, _ := n.PeerResponse(id); !responded {
		return electionTicks
	}
	return replaceTicks
}

// demotion returns whether and why the member at index i should lose its vote.
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

// memberSummary is what the policy needs to know of the members. The indexes are positions in the
// list of members; -1: none.
type memberSummary struct {
	voters     int
	promote    int // the first member that may become a voter
	demote     int // the voter with the strongest reason to lose its vote
	lastVoter  int // the last voter that is not the leader
	removeNext int // a member without a vote that should be removed
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

// nextMembers returns the list of members after the next change, and a name of the change; nil if
// no change is needed, or none is allowed yet. The target is the configured number of responsive
// voters. A voter is demoted and a standby promoted in one decision. Without a standby, a voter
// that timed out or is leaving keeps its vote: demoting it would not let the others tolerate one
// more loss, and its return would no longer help.
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

// nextVoters returns the members with one voter promoted, one demoted, or both.
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
		case tooMany: // older versions lack joint consensus: promote first, then demote
			return "demote voter", vote(s.demote, false)
		}
		return "promote to voter", vote(s.promote, true)
	case s.promote >= 0 && s.voters < p.voters:
		return "promote to voter", vote(s.promote, true)
	case s.demote >= 0 && tooMany:
		return "demote voter", vote(s.demote, false)
	case tooMany && s.voters%2 == 0 && s.lastVoter >= 0:
		// An even number of voters tolerates no more losses than the odd number below it.
		return "demote voter", vote(s.lastVoter, false)
	}
	return "", nil
}

// withKnownVersions returns the members with SupportsJoint updated from their last responses.
func withKnownVersions(n *raft.Node, members []raft.Member) []raft.Member {
	next := slices.Clone(members)
	for i := range next {
		if responded, joint := n.PeerResponse(next[i].ID); responded {
			next[i].SupportsJoint = joint
		}
	}
	return next
}

// isVoter reports whether a member counts toward a majority.
func isVoter(members []raft.Member, id raft.ID) bool {
	return slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == id && (m.Voter || m.Outgoing) })
}
