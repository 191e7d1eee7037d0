package controlplane

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"example.org/elmspan/raft"
)

// members are the members as the leader has them, nil without one that has committed in its term.
func (c *cluster) members() (leader *Core, members []raft.Member) {
	for _, k := range c.cores {
		k.mu.Lock()
		if node := k.host.node; node.HasCommittedInTerm() && !node.MembershipChangePending() {
			leader, members = k, slices.Clone(node.Members())
		}
		k.mu.Unlock()
	}
	return leader, members
}

// complete reports whether all of so many members are there, three of them with a vote and the
// others able to get one.
func (c *cluster) complete(machines int) bool {
	leader, members := c.members()
	if leader == nil || len(members) != machines || voterCount(members) != 3 {
		return false
	}
	leader.mu.Lock()
	defer leader.mu.Unlock()
	return !slices.ContainsFunc(members, func(m raft.Member) bool {
		ready := m.ID == leader.host.id || leader.members.policy.promotable(leader.host.node, m.ID)
		return !ready || !m.SupportsJoint
	})
}

// commitIndex is the highest that a member knows of.
func (c *cluster) commitIndex() (index uint64) {
	for _, k := range c.cores {
		k.mu.Lock()
		index = max(index, k.host.node.CommitIndex())
		k.mu.Unlock()
	}
	return index
}

// leaves has a member leave, and returns how long that took.
func (c *cluster) leaves(core *Core) time.Duration {
	c.t.Helper()
	from := time.Now()
	select {
	case <-core.Leave():
	case <-time.After(testTimeout):
		c.t.Fatalf("%s isn't let go", core.cfg.Addr)
	}
	return time.Since(from)
}

func (c *Core) neededForQuorum() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.host.node.NeededForQuorum()
}

// All core machines are restarted in turn, each told to end, with what it keeps on its
// disk. Where there is a standby, a member's vote is another's before it goes, and three
// that vote are there at any time; where there is none, it keeps its vote and isn't waited for.
// Each change of the configuration is taken meanwhile.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	for name, machines := range map[string]int{"three": 3, "three and a standby": 4} {
		runInBubble(t, name, func(t *testing.T) { testRollingRestart(t, machines) })
	}
}

func testRollingRestart(t *testing.T, machines int) {
	c := newStoppedCluster(t, machines)
	all, dirs := c.addrs, map[string]string{}
	c.addrs = all[:3]
	for i, a := range all {
		dirs[a] = memoryDir(t)
		c.start(a, dirs[a], i < 3)
	}
	c.waitUntil("all are there", func() bool { return c.complete(machines) })
	cl := c.client()
	revision := uint64(0)
	change := func(when, addr string) {
		t.Helper()
		if got := replaceConfig(cl, revision, testConfig(t, revision+1)); got != http.StatusOK {
			t.Fatalf("%s %s: %d", when, addr, got)
		}
		revision++
	}
	before, took := c.commitIndex(), time.Duration(0)
	for _, a := range all {
		core := c.cores[a]
		took = max(took, c.leaves(core))
		if machines > 3 && core.neededForQuorum() {
			t.Errorf("%s goes with its vote", a)
		}
		change("while it leaves", a)
		c.stops[a]()
		change("without", a)
		c.start(a, dirs[a], false)
		c.waitUntil("all are there again", func() bool { return c.complete(machines) })
		if c.cores[a].host.id != core.host.id {
			t.Fatalf("%s came back as another", a)
		}
	}
	entries := c.commitIndex() - before
	t.Logf("at most %v until one may go; %d entries of the log, %d of them configurations", took, entries, revision)
}
