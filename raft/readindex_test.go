package raft

import (
	"math/rand/v2"
	"testing"
)

// A leader confirms its heartbeat rounds while a majority replies. An isolated leader confirms none
// and steps down within an election timeout.
func TestIsolatedLeaderStepsDownAndConfirmsNoReadIndex(t *testing.T) {
	t.Parallel()
	s := newSimCluster(t, 5)
	s.rng = rand.New(rand.NewPCG(99, 99))
	leader := s.awaitLeader()
	round := leader.NextReadIndexRound()
	leader.BroadcastHeartbeat()
	for i := 0; leader.ConfirmedReadIndexRound() < round; i++ {
		if i > 50 {
			t.Fatal("the heartbeat round was not confirmed within 50 steps")
		}
		s.step()
	}
	s.isolated[leader.cfg.ID] = true
	for i := 0; leader.Role() == Leader; i++ {
		if i > 60 {
			t.Fatal("an isolated leader did not step down within 60 steps")
		}
		before := leader.ConfirmedReadIndexRound()
		s.step()
		if leader.Role() == Leader && leader.ConfirmedReadIndexRound() != before && i > 5 {
			t.Fatal("an isolated leader confirmed a heartbeat round")
		}
	}
}

// A delayed reply to an earlier heartbeat round does not confirm a later round, as the leader may have
// been replaced in between. This fails if replies do not carry the round of their request.
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
		t.Fatalf("round %d is confirmed, although all replied to round %d", leader.ConfirmedReadIndexRound(), earlier)
	}
	leader.BroadcastHeartbeat()
	reply(earlier)
	if leader.ConfirmedReadIndexRound() >= round {
		t.Error("replies to an earlier round confirmed a later one")
	}
}
