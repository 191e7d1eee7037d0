package controlplane

import (
	"fmt"
	"log/slog"
	"slices"

	"example.org/elmspan/raft"
)

// voterHealth watches, on the leader, which voters have not answered for replaceTicks. Each of
// them is a loss that the cluster can't bear a second time: an operator must hear of it while a
// majority is still there. It does no I/O but to log; in a Core it is guarded by Core.mu.
type voterHealth struct {
	unresponsive []raft.Member // in the order of the members; nil where this member doesn't lead
}

// update takes in what the node knows now, and logs where other voters don't answer than before.
func (h *voterHealth) update(n *raft.Node, log *slog.Logger) {
	now := unresponsiveVoters(n)
	same := slices.EqualFunc(now, h.unresponsive, func(a, b raft.Member) bool { return a.ID == b.ID })
	if same {
		return
	}
	h.unresponsive = now
	switch {
	case len(now) > 0:
		log.Warn("voters do not answer", "members", describeMembers(now), "voters", voterCount(n.Members()))
	case n.Role() == raft.Leader:
		log.Info("all voters answer")
	}
}

// unresponsiveVoters are the voters that have not answered this leader for replaceTicks. On
// other members there are none.
func unresponsiveVoters(n *raft.Node) []raft.Member {
	var out []raft.Member
	for _, m := range n.Members() {
		if m.Voter && n.TicksSinceResponse(m.ID) > replaceTicks {
			out = append(out, m)
		}
	}
	return out
}

func voterCount(members []raft.Member) int {
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	return voters
}

// describeMembers are members as logs and the status show them: id and address.
func describeMembers(members []raft.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, fmt.Sprintf("%s %s", hexID(m.ID), m.Addr))
	}
	return out
}
