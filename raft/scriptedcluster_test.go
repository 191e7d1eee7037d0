package raft

import (
	"slices"
	"testing"
)

// noElection is an election time-out that does not come.
const noElection = 1 << 30

// scriptedCluster is a few members whose messages arrive in order, where a test says so.
type scriptedCluster struct {
	t       *testing.T
	nodes   map[ID]*Node
	network []Message
	down    map[ID]bool // members that do nothing, and that no message reaches
}

// newScriptedCluster returns voters 1, 2, ... and learners after them. Member 1 leads.
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

// deliverAll runs the hosts of all that are up, and delivers the messages between them, until
// nothing is left to do.
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

// tickAll plays ticks of all members.
func (c *scriptedCluster) tickAll(ticks int) {
	for range ticks {
		for _, id := range sortedIDs(c.nodes) {
			c.nodes[id].Tick()
		}
		c.deliverAll()
	}
}

// tick plays ticks of one member.
func (c *scriptedCluster) tick(id ID, ticks int) {
	for range ticks {
		c.nodes[id].Tick()
		c.deliverAll()
	}
}

// setLive has these members up, and all others down.
func (c *scriptedCluster) setLive(ids ...ID) {
	for id := range c.nodes {
		c.down[id] = !slices.Contains(ids, id)
	}
}

// elect has a member begin an election, with enough time gone by for the others to answer.
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

// proposeMembers proposes a change at a leader that must take it.
func (c *scriptedCluster) proposeMembers(leader *Node, members []Member) {
	c.t.Helper()
	if err := leader.ProposeMembers(members); err != nil {
		c.t.Fatal(err)
	}
}

// swapped returns members with the vote of one given to another.
func swapped(members []Member, from, to ID) []Member {
	swapped := slices.Clone(members)
	findMember(swapped, from).Voter, findMember(swapped, to).Voter = false, true
	return swapped
}

// changed returns members with a change made to each of them.
func changed(members []Member, change func(*Member)) []Member {
	changed := slices.Clone(members)
	for i := range changed {
		change(&changed[i])
	}
	return changed
}

// without returns members without one.
func without(members []Member, id ID) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
}
