package controlplane

import (
	"fmt"
	"log/slog"
	"slices"

	"example.org/elmspan/raft"
)

// voterHealth tracks, on the leader, which voters have not responded for replaceTicks. Each of them
// reduces the number of further losses that the control plane tolerates, so an operator must be
// warned while there still is a majority. Its only I/O is logging; in a Core it is guarded by
// Core.mu.
type voterHealth struct {
	unresponsive []raft.Member // in the order of the members; nil if this member doesn't lead
}

// update updates the unresponsive voters from the node, and logs if they have changed.
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

// unresponsiveVoters returns the voters that have not responded to this leader for replaceTicks. On
// other members it returns nil.
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

// describeMembers formats members for logs and the status: id and address.
func describeMembers(members []raft.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, fmt.Sprintf("%s %s", hexID(m.ID), m.Addr))
	}
	return out
}
