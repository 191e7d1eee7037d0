package raft

import (
	"math/rand/v2"
	"testing"
)

// A leader that a majority answers confirms its rounds. One that is cut off confirms none, and
// steps down within an election time-out.
func TestIsolatedLeaderStepsDownAndConfirmsNoReadIndex(t *testing.T) {
	t.Parallel()
	s := newSimCluster(t, 5)
	s.rng = rand.New(rand.NewPCG(99, 99))
	leader := s.awaitLeader()
	round := leader.NextReadIndexRound()
	leader.BroadcastHeartbeat()
	for i := 0; leader.ConfirmedReadIndexRound() < round; i++ {
		if i > 50 {
			t.Fatal("a round is never confirmed")
		}
		s.step()
	}
	s.isolated[leader.cfg.ID] = true
	for i := 0; leader.Role() == Leader; i++ {
		if i > 60 {
			t.Fatal("a leader that is cut off goes on leading")
		}
		before := leader.ConfirmedReadIndexRound()
		s.step()
		if leader.Role() == Leader && leader.ConfirmedReadIndexRound() != before && i > 5 {
			t.Fatal("a round is confirmed without a majority")
		}
	}
}

// A late reply to an earlier round confirms no later one: the leader may have been replaced in
// between. Fails where replies do not carry the round of their request.
func TestLateRepliesDoNotConfirmReadIndex(t *testing.T) {
	t.Parallel()
	leader := newSimCluster(t, 11).awaitLeader()
	reply := func(round uint64) {
		for _, m := range leader.Members() {
			if m.ID != leader.cfg.ID {
				leader.Step(Message{
					Kind:  AppendEntriesReply,
					From:  m.ID,
					To:    leader.cfg.ID,
					Term:  leader.Term(),
					Index: leader.LastIndex(),
					Round: round,
				})
			}
		}
	}
	earlier, round := leader.heartbeatRound, leader.NextReadIndexRound()
	reply(earlier)
	if leader.ConfirmedReadIndexRound() != earlier {
		t.Fatalf("round %d is confirmed, %d was answered by all", leader.ConfirmedReadIndexRound(), earlier)
	}
	leader.BroadcastHeartbeat()
	reply(earlier)
	if leader.ConfirmedReadIndexRound() >= round {
		t.Error("late replies confirmed a later round")
	}
}
