package controlplane

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"example.org/elmspan/raft"
)

// All machines are restarted in turn, each asked to end, with what it keeps on its disk. Where a
// fourth is a standby, a member's vote is another's before it goes, and three that vote are
// there at any time; where there is no standby, it keeps its vote and isn't waited for. Each
// change of the configuration is applied meanwhile.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	runInBubble(t, "three machines", func(t *testing.T) { restartInTurn(t, 3) })
	runInBubble(t, "three and a standby", func(t *testing.T) { restartInTurn(t, 4) })
}

// rollingRestart restarts all machines of a cluster, of which three vote.
type rollingRestart struct {
	*cluster
	machines []string
	dirs     map[string]string
	client   *Client
	revision uint64
	longest  time.Duration // until a member may go
}

func restartInTurn(t *testing.T, machines int) {
	t.Helper()
	c := newStoppedCluster(t, machines)
	r := &rollingRestart{
		cluster:  c,
		machines: c.addrs,
		dirs:     map[string]string{},
	}
	c.seeds = c.addrs[:3]
	r.client = c.client()
	for i, addr := range r.machines {
		r.dirs[addr] = memoryDir(t)
		c.start(addr, r.dirs[addr], i < len(c.seeds))
	}
	c.waitUntil("all are there", r.complete)
	before := c.commitIndex()
	for _, addr := range r.machines {
		r.restart(addr)
	}
	t.Logf("at most %v until one may go; %d entries of the log, %d of them configurations",
		r.longest, c.commitIndex()-before, r.revision)
}

// restart restarts a machine, with a change while it leaves and one while it is gone.
func (r *rollingRestart) restart(addr string) {
	r.t.Helper()
	core := r.cores[addr]
	began := time.Now()
	select {
	case <-core.Leave():
	case <-time.After(testTimeout):
		r.t.Fatalf("%s isn't let go", addr)
	}
	r.longest = max(r.longest, time.Since(began))
	if hasStandby := len(r.machines) > 3; hasStandby && neededForQuorum(core) {
		r.t.Errorf("%s goes with its vote", addr)
	}
	r.replace("while " + addr + " leaves")
	r.stops[addr]()
	r.replace("without " + addr)
	r.start(addr, r.dirs[addr], false)
	r.waitUntil("all are there again", r.complete)
	if r.cores[addr].host.id != core.host.id {
		r.t.Fatalf("%s came back as another", addr)
	}
}

// replace has the next change applied.
func (r *rollingRestart) replace(when string) {
	r.t.Helper()
	if got := replaceConfig(r.client, r.revision, testConfig(r.t, r.revision+1)); got != http.StatusOK {
		r.t.Fatalf("%s: %d", when, got)
	}
	r.revision++
}

// complete reports whether all machines are members, three of which vote, and that each can take
// another's vote.
func (r *rollingRestart) complete() bool {
	leader, members := r.stableMembers()
	if leader == nil || len(members) != len(r.machines) || voterCount(members) != 3 {
		return false
	}
	leader.mu.Lock()
	defer leader.mu.Unlock()
	return !slices.ContainsFunc(members, func(m raft.Member) bool {
		promotable := m.ID == leader.host.id || leader.members.policy.promotable(leader.host.node, m.ID)
		return !promotable || !m.SupportsJoint
	})
}

// stableMembers are the members as the leader has them, nil without a leader, or while a
// change of members is pending.
func (c *cluster) stableMembers() (leader *Core, members []raft.Member) {
	for _, core := range c.cores {
		core.mu.Lock()
		node := core.host.node
		if node.HasCommittedInTerm() && !node.MembershipChangePending() {
			leader, members = core, slices.Clone(node.Members())
		}
		core.mu.Unlock()
	}
	return leader, members
}

// commitIndex is the highest that a member knows.
func (c *cluster) commitIndex() uint64 {
	highest := uint64(0)
	for _, core := range c.cores {
		core.mu.Lock()
		highest = max(highest, core.host.node.CommitIndex())
		core.mu.Unlock()
	}
	return highest
}

func neededForQuorum(core *Core) bool {
	core.mu.Lock()
	defer core.mu.Unlock()
	return core.host.node.NeededForQuorum()
}
