package raft

import (
	"errors"
	"slices"
	"testing"
)

// While one voter is swapped for another, majorities of both sets commit, confirm a read index and
// keep the leader. With both, the change completes by itself.
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

// The voter that a change removes is the only one left that has the change, beside the leader that
// made it and is lost. It is still elected, and what it has is kept. (Where only voters stand for
// election it can't vote for the others, whose logs are shorter, and there is no leader although a
// majority is up.)
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
		cluster.setLive(1, 3) // the final entry reaches 3 alone
		cluster.deliverAll()
		checkRemovedVoterIsElected(t, cluster, 3)
	})
}

// commitJointEntry plays until the leader has added the entry that ends a joint change. That one
// has not been sent.
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

// checkRemovedVoterIsElected takes the leader away, and checks that the removed voter brings the
// others to a leader with all that it has.
func checkRemovedVoterIsElected(t *testing.T, cluster *scriptedCluster, removed ID) {
	t.Helper()
	n, leader := cluster.nodes[removed], cluster.nodes[1]
	if n.LastIndex() != leader.LastIndex() || n.isVoter() {
		t.Fatalf("it has last index %d of %d, is a voter: %v", n.LastIndex(), leader.LastIndex(), n.isVoter())
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
		cluster.nodes[m.To].Step(m) // all receive the joint entry, and no reply arrives
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
	// The old leader still believes that it leads, and confirms nothing.
	round := old.NextReadIndexRound()
	old.BroadcastHeartbeat()
	cluster.down[1] = false
	cluster.deliverAll()
	if old.Role() == Leader || old.ConfirmedReadIndexRound() >= round && old.Role() == Leader {
		t.Error("a leader without a vote goes on")
	}
	// What was sent while it was down is lost, and is sent again after its time-out.
	cluster.tick(3, retransmitAfter(leader.progress[1].inflightBytes))
	if old.NeededForQuorum() {
		t.Error("a member that knows that its vote is gone is needed")
	}
}

// A leader that swaps itself out leads until that is committed, and transfers leadership then.
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
		t.Errorf("it is %v, %d others lead, members %v", old.Role(), leaders, cluster.nodes[2].Members())
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

// A change of two voters at once, or before the last one is committed, is refused.
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

// A change needs no majority that is not there.
func TestChangeIsCommittableOnlyWithBothMajoritiesUp(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		up       []ID
		from, to ID
		proposes bool // a value that the learner lacks, where it is not up
		want     bool
	}{
		{"new voter is silent, though it lacks nothing", []ID{1, 2}, 2, 4, false, false},
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
		t.Error("a change is taken for one that can be committed, by members that have not answered")
	}
}

// A member whose vote was taken while it was cut off comes back believing that it is a voter. It
// unseats nobody, raises no term, confirms nothing, and learns the present members. One that was
// removed altogether unseats nobody either.
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
			cluster.tickAll(200) // it asks for votes all the time
			if !removed.isVoter() || removed.Term() != term {
				t.Fatalf("it is a voter by its log: %v, term %d", removed.isVoter(), removed.Term())
			}
			cluster.setLive(1, 2, 3, 4)
			cluster.tickAll(100)
			if leader.Role() != Leader || leader.Term() != term || removed.Role() == Leader {
				t.Errorf("the leader is %v in term %d, was in %d", leader.Role(), leader.Term(), term)
			}
			learned := !removed.isVoter() && removed.Leader() == 1 && removed.CommitIndex() == leader.CommitIndex()
			if !dropped && !learned {
				t.Errorf("it is a voter: %v, follows %d, commit %d of %d",
					removed.isVoter(), removed.Leader(), removed.CommitIndex(), leader.CommitIndex())
			}
		})
	}
}
