package raft

import "testing"

// Of two members that start a pre-vote at the same time, one yields, so that the vote is not split.
func TestSimultaneousPreVotesElectOne(t *testing.T) {
	t.Parallel()
	cluster := newScriptedCluster(t, 3, 0)
	cluster.setLive(2, 3)
	for _, id := range []ID{2, 3} {
		n := cluster.nodes[id]
		n.electionElapsed, n.electionTimeout = 100, 0
		n.Tick()
	}
	cluster.deliverAll()
	second, third := cluster.nodes[2], cluster.nodes[3]
	if !second.HasCommittedInTerm() || third.Role() != Follower || second.Term() != 2 {
		t.Errorf("%v and %v in term %d", second.Role(), third.Role(), second.Term())
	}
}

// A new leader counts the ticks since the last message of the previous leader, including those before
// its own election.
func TestTicksSinceLastLeaderAreCountedAcrossElection(t *testing.T) {
	t.Parallel()
	cluster := newScriptedCluster(t, 3, 0)
	cluster.nodes[1].BroadcastHeartbeat()
	cluster.deliverAll()
	cluster.setLive(2, 3)
	for range 30 {
		cluster.nodes[2].Tick()
		cluster.nodes[3].Tick()
	}
	cluster.network = nil
	cluster.elect(2)
	n := cluster.nodes[2]
	if n.Role() != Leader || n.TicksSinceResponse(1) < 30 || n.TicksSinceResponse(3) > 1 {
		t.Errorf("%v, %d ticks since the last response of the previous leader, %d since that of the other follower",
			n.Role(), n.TicksSinceResponse(1), n.TicksSinceResponse(3))
	}
}
