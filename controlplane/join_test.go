package controlplane

import (
	"net/http"
	"slices"
	"testing"

	"example.org/elmspan/raft"
)

// repairTimeout is the time within which machines with empty disks must replace the voters that were
// lost. After it, further machines may fail.
const repairTimeout = repairTicks * tickInterval

// newClusterOfFive starts a cluster of five voters, three of them seeds.
func newClusterOfFive(t *testing.T) *cluster {
	t.Helper()
	c := newStoppedCluster(t, 5)
	c.seeds, c.voters = c.addrs[:3], 5
	for _, addr := range c.addrs {
		c.start(addr, memoryDir(t), slices.Contains(c.seeds, addr))
	}
	c.waitUntil("five voters", func() bool { return c.votersAre(c.addrs) })
	return c
}

// votersAre reports whether the members running at addrs are exactly the voters.
func (c *cluster) votersAre(addrs []string) bool {
	leader, members := c.stableMembers()
	if leader == nil || voterCount(members) != len(addrs) {
		return false
	}
	return !slices.ContainsFunc(addrs, func(addr string) bool {
		_, votes := isMember(members, c.cores[addr].host.id)
		return !votes
	})
}

// transferLeadership makes a member stand for election, as in a leadership transfer, and waits until
// it leads.
func (c *cluster) transferLeadership(addr string) {
	c.t.Helper()
	leader, core := c.awaitLeader(), c.cores[addr]
	if leader == core {
		return
	}
	core.mu.Lock()
	node := core.host.node
	node.Step(raft.Message{Kind: raft.TimeoutNow, From: leader.host.id, To: core.host.id, Term: node.Term()})
	core.host.handleReady()
	core.mu.Unlock()
	c.waitUntil(addr+" leads", core.Leads)
}

// loseDisks stops members at the same moment and restarts them with empty disks.
func (c *cluster) loseDisks(addrs ...string) {
	c.t.Helper()
	for _, addr := range addrs {
		c.stops[addr]()
	}
	for _, addr := range addrs {
		c.start(addr, memoryDir(c.t), false)
	}
}

// awaitRepair requires that all machines are voters within repairTimeout.
func (c *cluster) awaitRepair(what string) {
	c.t.Helper()
	c.timeout = repairTimeout
	c.waitUntil(what, func() bool { return c.votersAre(c.addrs) })
	c.timeout = testTimeout
}

// Machines that lost their disks know only the seeds. They are added even if the leader is not a
// seed, so that the cluster tolerates the next failure. Regression test for docs/incidents/0021: they
// called the seeds but not the leader named in the responses, and the next failure left the cluster
// without a majority.
func TestEmptyMachinesJoinALeaderThatIsNoSeed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newClusterOfFive(t)
		client := c.client()
		revision := uint64(0)
		replace := func(when string) {
			t.Helper()
			if got := replaceConfig(client, revision, testConfig(t, revision+1)); got != http.StatusOK {
				t.Fatalf("change %s: status %d", when, got)
			}
			revision++
		}
		replace("before the failures")
		c.transferLeadership(c.addrs[3])
		c.loseDisks(c.addrs[0], c.addrs[1])
		c.awaitRepair("the first two machines are voters again")
		replace("after the first failure")
		c.transferLeadership(c.addrs[3])
		c.loseDisks(c.addrs[2], c.addrs[0])
		c.awaitRepair("the next two machines are voters again")
		replace("after the second failure")
	})
}

// None of the configured seeds is a member any more. A machine with an empty disk joins through
// member addresses that its process learned from other sources.
func TestEmptyMachineJoinsWithoutItsSeeds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newClusterOfFive(t)
		c.transferLeadership(c.addrs[4])
		c.seeds = []string{c.net.newAddr(), c.net.newAddr()} // nothing listens there
		follower := c.addrs[2]
		c.knownMembers = func() []string { return []string{c.seeds[0], follower} }
		c.loseDisks(c.addrs[0], c.addrs[1])
		c.awaitRepair("both machines are voters again")
	})
}

// In one round each address is called at most once, the process's own address and empty addresses are
// never called, and at most maxJoinCalls addresses are called, whatever the responses contain.
func TestJoinCandidates(t *testing.T) {
	t.Parallel()
	c := newJoinCandidates("self", []string{"a", "self", "b"}, []string{"b", "c"})
	requireNext(t, c, "a", "b", "c")
	c.add("", "self", "b")
	requireNext(t, c)
	c.add("leader")
	requireNext(t, c, "leader")
	for i := range 2 * maxJoinCalls {
		c.add(string(rune('A' + i)))
	}
	if called := 4 + len(c.next()); called != maxJoinCalls {
		t.Errorf("%d calls in a round", called)
	}
	requireNext(t, c)
}

// requireNext requires that the candidates to be called next are the wanted ones.
func requireNext(t *testing.T, c *joinCandidates, want ...string) {
	t.Helper()
	if got := c.next(); !slices.Equal(got, want) {
		t.Errorf("next candidates: %q, want %q", got, want)
	}
}
