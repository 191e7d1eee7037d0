package raft

import (
	"math"
	"slices"
)

// voterIDs returns the voters; during a joint change, those of the incoming set.
func voterIDs(members []Member) (ids []ID) {
	for _, m := range members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// outgoingVoterIDs returns the voters of the outgoing set of a joint change, nil if there is none.
func outgoingVoterIDs(members []Member) (ids []ID) {
	for _, m := range members {
		if m.Outgoing {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// voterSets returns the voter sets: two during a joint change (4.3), otherwise one. A quorum is
// a majority of each of them.
func voterSets(members []Member) [][]ID {
	if outgoing := outgoingVoterIDs(members); len(outgoing) > 0 {
		return [][]ID{voterIDs(members), outgoing}
	}
	return [][]ID{voterIDs(members)}
}

// findMember returns the member with the given ID, nil if there is none.
func findMember(members []Member, id ID) *Member {
	if i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id }); i >= 0 {
		return &members[i]
	}
	return nil
}

// quorumValue returns the highest value that a majority of each voter set has reached. own is the
// value of this member, and valueOf returns that of another member. A member without progress has
// the value 0.
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

// hasQuorum reports whether a condition holds for a majority of each voter set. It is taken to hold
// for this member.
func (n *Node) hasQuorum(members []Member, holds func(*progress) bool) bool {
	return n.quorumValue(members, 1, func(p *progress) uint64 {
		if holds(p) {
			return 1
		}
		return 0
	}) == 1
}

// majorityValue returns the highest value v such that more than half of the values are at least v.
// It sorts the slice.
func majorityValue(values []uint64) uint64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
