package raft

import (
	"math"
	"slices"
)

// voterIDs are the voters of the incoming set: all voters, unless a joint change is under way.
func voterIDs(members []Member) (ids []ID) {
	for _, m := range members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// outgoingVoterIDs are the voters of the outgoing set of a joint change; none without one.
func outgoingVoterIDs(members []Member) (ids []ID) {
	for _, m := range members {
		if m.Outgoing {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// voterSets are the sets of voters of which a majority each is needed: two while a joint
// change is under way (4.3), else one.
func voterSets(members []Member) [][]ID {
	if outgoing := outgoingVoterIDs(members); len(outgoing) > 0 {
		return [][]ID{voterIDs(members), outgoing}
	}
	return [][]ID{voterIDs(members)}
}

// findMember returns the member with an ID, nil if there is none.
func findMember(members []Member, id ID) *Member {
	if i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id }); i >= 0 {
		return &members[i]
	}
	return nil
}

// quorumValue is the highest value that a majority of each set of voters reaches. own is the
// value of this member, valueOf that of another one; one without progress counts as 0.
func (n *Node) quorumValue(members []Member, own uint64, valueOf func(*progress) uint64) uint64 {
	lowest := uint64(math.MaxUint64)
	for _, set := range voterSets(members) {
		if len(set) == 0 {
			return 0
		}
		values := make([]uint64, len(set))
		for i, id := range set {
			if id == n.cfg.ID {
				values[i] = own
			} else if p := n.progress[id]; p != nil {
				values[i] = valueOf(p)
			}
		}
		lowest = min(lowest, majorityValue(values))
	}
	return lowest
}

// hasQuorum reports whether a condition holds for a majority of each set of voters, this member
// among those for which it does.
func (n *Node) hasQuorum(members []Member, holds func(*progress) bool) bool {
	return n.quorumValue(members, 1, func(p *progress) uint64 {
		if holds(p) {
			return 1
		}
		return 0
	}) == 1
}

// majorityValue is the highest value that more than half of the values reach. It sorts them.
func majorityValue(values []uint64) uint64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
