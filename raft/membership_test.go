package raft

import (
	"errors"
	"slices"
	"testing"
)

// While one voter is being swapped for another, a leader needs majorities of both sets to commit,
// to confirm a read index and to pass the quorum check. With both majorities, the change completes
// without further proposals.
func TestJointChangeNeedsMajoritiesOfBothSets(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		up        []ID
		completes bool
	}{
		{"incoming set only", []ID{1, 4}, false},
		{"outgoing set only", []ID{1, 3}, false},
		{"both sets, with the old and the new voter", []ID{1, 3, 4}, true},
		{"both sets, with one in both", []ID{1, 2}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newScriptedCluster(t, 3, 1)
			leader := cluster.nodes[1]
			cluster.setLive(c.up...)
			before := leader.CommitIndex()
			cluster.proposeMembers(leader, swapped(leader.Members(), 3, 4))
			round := leader.NextReadIndexRound()
			leader.BroadcastHeartbeat()
			cluster.deliverAll()
			if got := leader.CommitIndex() > before; got != c.completes {
				t.Errorf("committed: %v", got)
			}
			if got := leader.ConfirmedReadIndexRound() >= round; got != c.completes {
				t.Errorf("read index confirmed: %v", got)
			}
			completed := len(outgoingVoterIDs(leader.Members())) == 0 && !leader.MembershipChangePending()
			if completed != c.completes {
				t.Errorf("completed: %v, members %v", completed, leader.Members())
			}
			cluster.tick(1, 25)
			if got := leader.Role() == Leader; got != c.completes {
				t.Errorf("still leads: %v", got)
			}
		})
	}
}

// A voter that is removed by a change is the only live member that has the change in its log, because
// the leader that proposed it is down. It can still be elected, and its entries are kept. If only
// voters could start an election, there would be no leader although a majority is up: the removed
// voter can't vote for the others, whose logs are shorter.
func TestRemovedVoterWithTheOnlyCopyOfTheChangeIsElected(t *testing.T) {
	t.Parallel()
	t.Run("removal", func(t *testing.T) {
		t.Parallel()
		cluster := newScriptedCluster(t, 4, 0)
		cluster.setLive(1, 4)
		leader := cluster.nodes[1]
		cluster.proposeMembers(leader, changed(leader.Members(), func(m *Member) { m.Voter = m.ID != 4 }))
		cluster.deliverAll()
		checkRemovedVoterIsElected(t, cluster, 4)
	})
	t.Run("swap", func(t *testing.T) {
		t.Parallel()
		cluster := newScriptedCluster(t, 3, 1)
		leader := cluster.nodes[1]
		cluster.proposeMembers(leader, swapped(leader.Members(), 3, 4))
		cluster.commitJointEntry(leader)
		cluster.setLive(1, 3) // the final entry reaches only member 3
		cluster.deliverAll()
		checkRemovedVoterIsElected(t, cluster, 3)
	})
}

// commitJointEntry delivers messages until the leader has appended the final entry of a joint change.
// That entry is not sent yet.
func (c *scriptedCluster) commitJointEntry(leader *Node) {
	c.t.Helper()
	isJoint := func() bool { return len(outgoingVoterIDs(leader.Members())) > 0 }
	for isJoint() {
		r := leader.Ready()
		leader.Advance(r)
		for _, m := range r.Messages {
			c.nodes[m.To].Step(m)
		}
		for id := ID(2); id <= 4 && isJoint(); id++ {
			r := c.nodes[id].Ready()
			c.nodes[id].Advance(r)
			for _, m := range r.Messages {
				if isJoint() {
					leader.Step(m)
				}
			}
		}
	}
}

// checkRemovedVoterIsElected stops the leader and has the removed voter start an election. The removed
// voter leads until its removal is committed, and then transfers leadership: the function checks that
// another member leads in the end, with all entries of the removed voter.
func checkRemovedVoterIsElected(t *testing.T, cluster *scriptedCluster, removed ID) {
	t.Helper()
	n, leader := cluster.nodes[removed], cluster.nodes[1]
	if n.LastIndex() != leader.LastIndex() || n.isVoter() {
		t.Fatalf("the removed voter has last index %d of %d, is a voter: %v",
			n.LastIndex(), leader.LastIndex(), n.isVoter())
	}
	last := n.LastIndex()
	cluster.setLive(2, 3, 4)
	cluster.elect(2)
	cluster.elect(removed)
	leaders := 0
	for id := ID(2); id <= 4; id++ {
		if other := cluster.nodes[id]; other.HasCommittedInTerm() && other.CommitIndex() >= last {
			leaders++
		}
	}
	if leaders != 1 || n.Role() == Leader || n.NeededForQuorum() {
		t.Errorf("%d leaders with all entries; the removed voter is %v, needed: %v",
			leaders, n.Role(), n.NeededForQuorum())
	}
}

func TestNewLeaderCompletesJointChange(t *testing.T) {
	t.Parallel()
	cluster := newScriptedCluster(t, 3, 1)
	old := cluster.nodes[1]
	cluster.proposeMembers(old, swapped(old.Members(), 1, 4))
	r := old.Ready()
	old.Advance(r)
	for _, m := range r.Messages {
		cluster.nodes[m.To].Step(m) // all receive the joint entry, but their replies are lost
	}
	cluster.network = nil
	cluster.setLive(2, 3, 4)
	cluster.elect(3)
	leader := cluster.nodes[3]
	members := leader.Members()
	completed := !leader.MembershipChangePending() && len(outgoingVoterIDs(members)) == 0
	if !leader.HasCommittedInTerm() || !completed || findMember(members, 1).Voter || !findMember(members, 4).Voter {
		t.Errorf("leads: %v, members %v", leader.HasCommittedInTerm(), members)
	}
	// The old leader, which has not heard of the new one, starts a heartbeat round. Once it is connected
	// again, the replies make it step down.
	round := old.NextReadIndexRound()
	old.BroadcastHeartbeat()
	cluster.down[1] = false
	cluster.deliverAll()
	if old.Role() == Leader || old.ConfirmedReadIndexRound() >= round && old.Role() == Leader {
		t.Error("the old leader continues to lead without being a voter")
	}
	// The messages sent while it was down are lost, and are resent after the retransmission timeout.
	cluster.tick(3, retransmitAfter(leader.progress[1].inflightBytes))
	if old.NeededForQuorum() {
		t.Error("a member that knows of its committed removal from the voters counts as needed for a quorum")
	}
}

// A leader that proposes its own replacement leads until that change is committed, and then transfers
// leadership.
func TestLeaderThatIsSwappedOutTransfersLeadership(t *testing.T) {
	t.Parallel()
	cluster := newScriptedCluster(t, 3, 1)
	old := cluster.nodes[1]
	cluster.proposeMembers(old, swapped(old.Members(), 1, 4))
	cluster.deliverAll()
	leaders := 0
	for _, id := range []ID{2, 3, 4} {
		if cluster.nodes[id].HasCommittedInTerm() {
			leaders++
		}
	}
	if old.Role() == Leader || leaders != 1 || cluster.nodes[2].MembershipChangePending() {
		t.Errorf("the old leader is %v, %d other members lead, members %v",
			old.Role(), leaders, cluster.nodes[2].Members())
	}
}

func TestWhichMembershipChangesAreAllowed(t *testing.T) {
	t.Parallel()
	cluster := newScriptedCluster(t, 3, 2)
	leader := cluster.nodes[1]
	members := leader.Members()
	votersWhere := func(isVoter func(ID) bool) []Member {
		return changed(members, func(m *Member) { m.Voter = isVoter(m.ID) })
	}
	unknownVoter := Member{ID: 9, Voter: true, SupportsJoint: true}
	swapForUnknown := append(votersWhere(func(id ID) bool { return id < 3 }), unknownVoter)
	swapWithOutgoing := changed(swapped(members, 3, 4), func(m *Member) { m.Outgoing = true })
	for _, c := range []struct {
		name    string
		members []Member
		want    error
	}{
		{"two voters added", votersWhere(func(ID) bool { return true }), ErrInvalidChange},
		{"two voters removed", votersWhere(func(id ID) bool { return id == 1 }), ErrInvalidChange},
		{"no voter left", votersWhere(func(ID) bool { return false }), ErrInvalidChange},
		{"two voters swapped", votersWhere(func(id ID) bool { return id == 1 || id > 3 }), ErrInvalidChange},
		{"swap that drops the old voter", without(swapped(members, 3, 4), 3), ErrInvalidChange},
		{"swap for an unknown member", swapForUnknown, ErrJointUnsupported},
		{"swap that claims an outgoing set", swapWithOutgoing, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := leader.Clone()
			if err := n.ProposeMembers(c.members); !errors.Is(err, c.want) {
				t.Fatalf("%v, want %v", err, c.want)
			}
			if outgoing := outgoingVoterIDs(n.Members()); c.want == nil && !slices.Equal(outgoing, []ID{1, 2, 3}) {
				t.Errorf("outgoing voters %v", outgoing)
			}
		})
	}
	t.Run("swap with a voter of an older version", func(t *testing.T) {
		cluster.proposeMembers(leader, changed(members, func(m *Member) { m.SupportsJoint = m.ID != 2 }))
		cluster.deliverAll()
		if err := leader.ProposeMembers(swapped(leader.Members(), 3, 4)); !errors.Is(err, ErrJointUnsupported) {
			t.Error(err)
		}
	})
}

// A change that adds two voters, and a change proposed before the last one is committed, are rejected.
func TestSecondMembershipChangeIsRefused(t *testing.T) {
	t.Parallel()
	leader := newSimCluster(t, 3).awaitLeader()
	members := leader.Members()
	two := append(slices.Clone(members), Member{ID: 50, Voter: true}, Member{ID: 51, Voter: true})
	if err := leader.ProposeMembers(two); !errors.Is(err, ErrInvalidChange) {
		t.Errorf("two voters at once: %v", err)
	}
	if err := leader.ProposeMembers(append(slices.Clone(members), Member{ID: 50})); err != nil {
		t.Fatal(err)
	}
	if err := leader.ProposeMembers(append(slices.Clone(members), Member{ID: 51})); !errors.Is(err, ErrChangePending) {
		t.Errorf("a second change: %v", err)
	}
}

// A change counts as committable only if majorities of the current and of the proposed voters are up
// and the new voter has caught up.
func TestChangeIsCommittableOnlyWithBothMajoritiesUp(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		up       []ID
		from, to ID
		proposes bool // propose a value, which members that are down do not receive
		want     bool
	}{
		{"new voter is down but has every entry", []ID{1, 2}, 2, 4, false, false},
		{"all are up", []ID{1, 2, 3, 4}, 3, 4, true, true},
		{"removed voter is down", []ID{1, 2, 4}, 3, 4, true, true},
		{"new voter is down", []ID{1, 2, 3}, 3, 4, true, false},
		{"no majority of the old voters", []ID{1, 4}, 3, 4, true, false},
		{"no majority of the new voters", []ID{1, 3}, 3, 4, true, false},
		{"leader is swapped out, another voter is down", []ID{1, 3, 4}, 1, 4, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newScriptedCluster(t, 3, 1)
			leader := cluster.nodes[1]
			cluster.setLive(c.up...)
			cluster.tick(1, 9)
			if c.proposes {
				if _, _, err := leader.Propose([]byte("v")); err != nil {
					t.Fatal(err)
				}
			}
			cluster.deliverAll()
			leader.Tick()
			leader.Tick()
			cluster.deliverAll()
			if got := leader.CanCommitMembers(swapped(leader.Members(), c.from, c.to)); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

func TestNewLeaderCannotCommitChangeBeforeReplies(t *testing.T) {
	t.Parallel()
	leader := newScriptedCluster(t, 3, 1).nodes[1]
	for _, p := range leader.progress {
		p.responded = false // as it is right after an election
	}
	if leader.CanCommitMembers(swapped(leader.Members(), 3, 4)) {
		t.Error("a change counts as committable although no follower has replied")
	}
}

// A voter that became a learner while it was disconnected reconnects with a log in which it still is
// a voter. It does not depose the leader or increase the term, and learns the current members.
// A voter that was removed altogether does not depose the leader either.
func TestRemovedVoterDoesNotDisruptTheCluster(t *testing.T) {
	t.Parallel()
	for name, dropped := range map[string]bool{"learner now": false, "no member any more": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newScriptedCluster(t, 3, 1)
			leader, removed := cluster.nodes[1], cluster.nodes[3]
			cluster.setLive(1, 2, 4)
			cluster.proposeMembers(leader, swapped(leader.Members(), 3, 4))
			cluster.deliverAll()
			if dropped {
				cluster.proposeMembers(leader, without(leader.Members(), 3))
				cluster.deliverAll()
			}
			removed.electionTimeout = 1
			term := leader.Term()
			cluster.tickAll(200) // the removed voter starts elections repeatedly
			if !removed.isVoter() || removed.Term() != term {
				t.Fatalf("the removed voter is a voter by its own log: %v, term %d", removed.isVoter(), removed.Term())
			}
			cluster.setLive(1, 2, 3, 4)
			cluster.tickAll(100)
			if leader.Role() != Leader || leader.Term() != term || removed.Role() == Leader {
				t.Errorf("the leader is %v in term %d, was in term %d", leader.Role(), leader.Term(), term)
			}
			learned := !removed.isVoter() && removed.Leader() == 1 && removed.CommitIndex() == leader.CommitIndex()
			if !dropped && !learned {
				t.Errorf("the removed voter is a voter: %v, follows %d, commit index %d of %d",
					removed.isVoter(), removed.Leader(), removed.CommitIndex(), leader.CommitIndex())
			}
		})
	}
}
