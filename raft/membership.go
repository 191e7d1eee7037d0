package raft

import "slices"

// updateMembers sets the members to those of the last entry that lists them: a change takes effect
// as soon as its entry is in the log, committed or not (4.1).
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

// isVoter reports whether this member is a voter, in a joint configuration in either set.
func (n *Node) isVoter() bool {
	m := findMember(n.members, n.cfg.ID)
	return m != nil && m.isVoter()
}

// NeededForQuorum reports whether a majority may still need this member: it is a voter, or the
// change that removes it from the voters is not known to be committed. Until that is committed
// the member also starts elections: it may be the only live member that has the change in its log,
// and then it can't vote for the others, whose logs are shorter.
func (n *Node) NeededForQuorum() bool {
	if n.isVoter() {
		return true
	}
	m := findMember(n.previousMembers, n.cfg.ID)
	return n.membersIndex > n.log.committed && m != nil && m.isVoter()
}

// MembershipChangePending reports whether a membership change is in progress: the final entry of
// the change is not known to be committed.
func (n *Node) MembershipChangePending() bool {
	return n.membersIndex > n.log.committed || len(outgoingVoterIDs(n.members)) > 0
}

// ProposeMembers proposes a list of members to replace the current one. The new list may add at
// most one voter and remove at most one. Any number of learners may be added and removed.
//
// Adding or removing one voter takes a single entry (4.1). Doing both at once, a swap, is a joint
// change (4.3): its entry lists both voter sets, and while it is the last entry that lists
// members, an election, a commit and a read index each need a majority of both sets. Once it is
// committed, the leader appends an entry that lists the new set alone. The voter that a swap
// removes stays in the list as a learner; a later change may remove it.
//
// Errors: [ErrNotLeader]; [ErrChangePending] while a change is in progress, or until the leader has
// committed an entry of its term (otherwise two leaders could make changes whose majorities do not
// overlap); [ErrInvalidChange] for a larger change, one that leaves no voters, or a swap that drops
// the replaced voter from the list; [ErrJointUnsupported] for a swap unless [Node.SupportsJointConsensus].
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
	added   int // members that become voters
	removed int // members that cease to be voters, including dropped
	dropped int // voters that are removed from the list of members altogether
}

// isAllowed reports whether a change may be made in one step. A swap may not drop the voter that
// it removes, because that voter counts toward the outgoing majority until the change completes.
func (c voterChange) isAllowed() bool {
	return c.added <= 1 && c.removed <= 1 && c.added+c.dropped <= 1
}

// compareMembers returns a list of members with the current voters marked as outgoing, and how its
// voters differ from the current ones.
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

// withoutOutgoing returns a copy of the members without the outgoing voter set.
func withoutOutgoing(members []Member) []Member {
	next := slices.Clone(members)
	for i := range next {
		next[i].Outgoing = false
	}
	return next
}

// leaveJoint appends the entry with the new voter set alone, on a leader that has committed an
// entry in its term, once the joint entry is committed.
func (n *Node) leaveJoint() {
	joint := len(outgoingVoterIDs(n.members)) > 0
	if n.role == Leader && joint && n.membersIndex <= n.log.committed && n.HasCommittedInTerm() {
		n.appendEntry(Entry{Members: withoutOutgoing(n.members)})
	}
}

// SupportsJointConsensus reports whether the log records support for joint consensus for all
// current voters and all voters in a list. A member without support would elect leaders and commit
// entries with a majority of one set alone.
func (n *Node) SupportsJointConsensus(members []Member) bool {
	for _, m := range slices.Concat(n.members, members) {
		if present := findMember(n.members, m.ID); m.isVoter() && (present == nil || !present.SupportsJoint) {
			return false
		}
	}
	return true
}

// CanCommitMembers reports whether this member leads and could commit a change to these members
// now: a majority of the current voters and a majority of the proposed voters have responded within
// the minimum election timeout, and each new voter has every committed entry.
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
