package raft

import "slices"

// updateMembers takes the members of the last entry that names them: a change holds as soon as
// its entry is in the log, committed or not (4.1).
func (n *Node) updateMembers() {
	n.members, n.membersIndex, n.previousMembers = n.log.snapshot.Members, n.log.snapshot.Index, nil
	found := false
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		switch e := &n.log.entries[i]; {
		case e.Members == nil:
		case found:
			n.previousMembers = e.Members
			return
		default:
			n.members, n.membersIndex, n.previousMembers = e.Members, e.Index, n.log.snapshot.Members
			found = true
		}
	}
}

// isVoter reports whether this member is a voter, of either set of a joint change.
func (n *Node) isVoter() bool {
	m := findMember(n.members, n.cfg.ID)
	return m != nil && m.isVoter()
}

// NeededForQuorum reports whether a majority may still need this member: it is a voter, or the
// change that takes its vote is not known to be committed. Until then it stands for election
// too: it may be the only one left that holds that change, and then it can't vote for the
// others, whose logs are shorter.
func (n *Node) NeededForQuorum() bool {
	if n.isVoter() {
		return true
	}
	m := findMember(n.previousMembers, n.cfg.ID)
	return n.membersIndex > n.log.committed && m != nil && m.isVoter()
}

// MembershipChangePending reports whether a membership change is under way: its last entry is not
// committed.
func (n *Node) MembershipChangePending() bool {
	return n.membersIndex > n.log.committed || len(outgoingVoterIDs(n.members)) > 0
}

// ProposeMembers proposes a list of members in place of the present one, with at most one
// voter more and one voter less. Learners may come and go freely.
//
// One voter added or removed is a single entry (4.1). Both at once, a swap, is a joint change
// (4.3): its entry names both sets of voters, and as long as it is the last that names members,
// an election, a commit and a read index need a majority of both. Once it is committed the
// leader adds the entry with the new set alone. The member that loses its vote in a swap stays
// in the list as a learner; a later change may remove it.
//
// Errors: [ErrNotLeader]; [ErrChangePending] while a change is under way, or nothing of the
// leader's term is committed (without that two leaders could make changes that share no
// majority); [ErrInvalidChange] for a larger change, or one that leaves no voter;
// [ErrJointUnsupported] for a swap unless [Node.SupportsJointConsensus].
func (n *Node) ProposeMembers(members []Member) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if !n.HasCommittedInTerm() || n.MembershipChangePending() {
		return ErrChangePending
	}
	next, change := n.compareMembers(members)
	if !change.isAllowed() || len(voterIDs(next)) == 0 {
		return ErrInvalidChange
	}
	if joint := change.added+change.removed > 1; !joint {
		next = withoutOutgoing(next)
	} else if !n.SupportsJointConsensus(next) {
		return ErrJointUnsupported
	}
	n.appendEntry(Entry{Members: next})
	return nil
}

// voterChange counts how the voters of two lists of members differ.
type voterChange struct {
	added   int // voters that were none before
	removed int // voters that are none any more
	dropped int // ... of which so many are not even members any more
}

// isAllowed reports whether a change may be made in one step. A swap may not drop the voter that
// it removes: it counts toward the outgoing majorities until the change is through.
func (c voterChange) isAllowed() bool {
	return c.added <= 1 && c.removed <= 1 && c.added+c.dropped <= 1
}

// compareMembers returns how a list of members differs from the present one, and the list with
// the present voters marked as outgoing.
func (n *Node) compareMembers(members []Member) (next []Member, change voterChange) {
	next = slices.Clone(members)
	for i := range next {
		m := &next[i]
		present := findMember(n.members, m.ID)
		m.Outgoing = present != nil && present.Voter
		if m.Voter && !m.Outgoing {
			change.added++
		}
	}
	for _, present := range n.members {
		if !present.Voter {
			continue
		}
		switch m := findMember(next, present.ID); {
		case m == nil:
			change.removed++
			change.dropped++
		case !m.Voter:
			change.removed++
		}
	}
	return next, change
}

// withoutOutgoing returns the members without an outgoing set of voters.
func withoutOutgoing(members []Member) []Member {
	next := slices.Clone(members)
	for i := range next {
		next[i].Outgoing = false
	}
	return next
}

// leaveJoint adds the entry with the new set of voters alone, once the joint one is committed,
// on a leader that has committed in its term.
func (n *Node) leaveJoint() {
	joint := len(outgoingVoterIDs(n.members)) > 0
	if n.role == Leader && joint && n.membersIndex <= n.log.committed && n.HasCommittedInTerm() {
		n.appendEntry(Entry{Members: withoutOutgoing(n.members)})
	}
}

// SupportsJointConsensus reports whether all voters, the present ones and those of a list, are
// stored in the log as members that understand joint changes. One that does not would elect
// and commit with a majority of one set alone.
func (n *Node) SupportsJointConsensus(members []Member) bool {
	for _, m := range slices.Concat(n.members, members) {
		if present := findMember(n.members, m.ID); m.isVoter() && (present == nil || !present.SupportsJoint) {
			return false
		}
	}
	return true
}

// CanCommitMembers reports whether, on a leader, a change to these members could be committed now: a
// majority of the present voters, and of those to be, have answered within the minimum
// election time-out, and each new voter has all that is committed.
func (n *Node) CanCommitMembers(members []Member) bool {
	if n.role != Leader {
		return false
	}
	for _, m := range members {
		present := findMember(n.members, m.ID)
		isNewVoter := m.Voter && m.ID != n.cfg.ID && (present == nil || !present.Voter)
		if isNewVoter && !n.CaughtUp(m.ID) {
			return false
		}
	}
	alive := func(p *progress) bool { return p.responded && p.ticksSinceResponse < n.cfg.ElectionTicks }
	return n.hasQuorum(n.members, alive) && n.hasQuorum(members, alive)
}
