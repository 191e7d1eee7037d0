package raft

import (
	"slices"
	"testing"
)

// noElection is an election timeout that never expires.
const noElection = 1 << 30

// scriptedCluster is a cluster whose messages are delivered in order and without loss, when the test
// calls for it.
type scriptedCluster struct {
	t       *testing.T
	nodes   map[ID]*Node
	network []Message
	down    map[ID]bool // members whose work is not processed and that receive no messages
}

// newScriptedCluster returns a cluster of voters with IDs from 1, and learners with the IDs after them.
// Member 1 leads.
func newScriptedCluster(t *testing.T, voters, learners int) *scriptedCluster {
	t.Helper()
	c := &scriptedCluster{t: t, nodes: map[ID]*Node{}, down: map[ID]bool{}}
	var members []Member
	for i := range voters + learners {
		members = append(members, Member{ID: ID(i + 1), Voter: i < voters, SupportsJoint: true})
	}
	for _, m := range members {
		cfg := Config{ID: m.ID, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1}
		c.nodes[m.ID] = New(cfg, PersistentState{Snapshot: Snapshot{Members: members}})
	}
	c.elect(1)
	if !c.nodes[1].HasCommittedInTerm() {
		t.Fatal("member 1 does not lead")
	}
	return c
}

// deliverAll processes the pending work of all live members and delivers their messages, until none
// is left.
func (c *scriptedCluster) deliverAll() {
	for {
		for _, id := range sortedIDs(c.nodes) {
			n := c.nodes[id]
			for r := n.Ready(); !r.Empty() && !c.down[id]; r = n.Ready() {
				c.network = append(c.network, r.Messages...)
				n.Advance(r)
			}
		}
		if len(c.network) == 0 {
			return
		}
		m := c.network[0]
		c.network = c.network[1:]
		if n := c.nodes[m.To]; n != nil && !c.down[m.To] && !c.down[m.From] {
			n.Step(m)
		}
	}
}

// tickAll advances all members by a number of ticks, including those that are down.
func (c *scriptedCluster) tickAll(ticks int) {
	for range ticks {
		for _, id := range sortedIDs(c.nodes) {
			c.nodes[id].Tick()
		}
		c.deliverAll()
	}
}

// tick advances one member by a number of ticks.
func (c *scriptedCluster) tick(id ID, ticks int) {
	for range ticks {
		c.nodes[id].Tick()
		c.deliverAll()
	}
}

// setLive sets the given members up and all others down.
func (c *scriptedCluster) setLive(ids ...ID) {
	for id := range c.nodes {
		c.down[id] = !slices.Contains(ids, id)
	}
}

// elect makes a member start an election, after enough time without a leader for the others to vote.
func (c *scriptedCluster) elect(id ID) {
	for other, n := range c.nodes {
		if n.Role() != Leader {
			n.electionElapsed = n.cfg.ElectionTicks
		}
		if other != id {
			n.electionTimeout = noElection
		}
	}
	c.nodes[id].electionTimeout = 0
	c.nodes[id].Tick()
	c.deliverAll()
}

// proposeMembers proposes a membership change that the leader must accept.
func (c *scriptedCluster) proposeMembers(leader *Node, members []Member) {
	c.t.Helper()
	if err := leader.ProposeMembers(members); err != nil {
		c.t.Fatal(err)
	}
}

// swapped returns a copy of the members in which one is a learner and another a voter in its place.
func swapped(members []Member, from, to ID) []Member {
	swapped := slices.Clone(members)
	findMember(swapped, from).Voter, findMember(swapped, to).Voter = false, true
	return swapped
}

// changed returns a copy of the members with a change applied to each of them.
func changed(members []Member, change func(*Member)) []Member {
	changed := slices.Clone(members)
	for i := range changed {
		change(&changed[i])
	}
	return changed
}

// without returns a copy of the members without one of them.
func without(members []Member, id ID) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
}
