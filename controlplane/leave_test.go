package controlplane

import (
	"slices"
	"testing"
	"time"

	"example.org/elmspan/raft"
)

// members are the members as the leader has them, nil without one that serves.
func (c *cluster) members() (leader *Core, ms []raft.Member) {
	for _, k := range c.cores {
		k.mu.Lock()
		if k.host.node.HasCommittedInTerm() && !k.host.node.MembershipChangePending() {
			leader, ms = k, slices.Clone(k.host.node.Members())
		}
		k.mu.Unlock()
	}
	return leader, ms
}

// All core machines are restarted in turn, each told to end, with what it keeps on its
// disk. Where a fourth stands by, a member's vote is another's before it goes, and three
// that vote are there at any time; where none does, it keeps its vote and isn't waited for.
// Each change of the configuration is taken meanwhile.
func TestRestartsInTurn(t *testing.T) {
	t.Parallel()
	for name, machines := range map[string]int{"three": 3, "a fourth stands by": 4} {
		runInBubble(t, name, func(t *testing.T) {
			c := newStoppedCluster(t, machines)
			all, dirs := c.addrs, map[string]string{}
			c.addrs = all[:3]
			for i, a := range all {
				dirs[a] = memoryDir(t)
				c.start(a, dirs[a], i < 3)
			}
			whole := func() bool {
				leader, ms := c.members()
				if leader == nil || len(ms) != machines || voterCount(ms) != 3 {
					return false
				}
				leader.mu.Lock()
				defer leader.mu.Unlock()
				return !slices.ContainsFunc(ms, func(m raft.Member) bool {
					return m.ID != leader.host.id && !leader.members.policy.promotable(leader.host.node, m.ID) || !m.SupportsJoint
				})
			}
			c.waitUntil("all are there", whole)
			cl := c.client()
			revision := uint64(0)
			changes := func() (n uint64) {
				for _, k := range c.cores {
					k.mu.Lock()
					n = max(n, k.host.node.CommitIndex())
					k.mu.Unlock()
				}
				return n
			}
			before, took := changes(), time.Duration(0)
			for _, a := range all {
				from := time.Now()
				core := c.cores[a]
				done := core.Leave()
				select {
				case <-done:
				case <-time.After(testTimeout):
					t.Fatalf("%s isn't let go", a)
				}
				took = max(took, time.Since(from))
				if machines > 3 {
					core.mu.Lock()
					voted := core.host.node.NeededForQuorum()
					core.mu.Unlock()
					if voted {
						t.Errorf("%s goes with its vote", a)
					}
				}
				if got := replaceConfig(cl, revision, testConfig(t, revision+1)); got != 200 {
					t.Fatalf("while %s leaves: %d", a, got)
				}
				c.stops[a]()
				if got := replaceConfig(cl, revision+1, testConfig(t, revision+2)); got != 200 {
					t.Fatalf("without %s: %d", a, got)
				}
				revision += 2
				c.start(a, dirs[a], false)
				c.waitUntil("all are there again", whole)
				if c.cores[a].host.id != core.host.id {
					t.Fatalf("%s came back as another", a)
				}
			}
			t.Logf("at most %v until one may go; %d entries of the log, %d of them configurations", took, changes()-before, revision)
		})
	}
}
