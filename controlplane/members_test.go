package controlplane

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"example.org/elmspan/raft"
)

// All machines are shut down gracefully and restarted in turn with their disks. With a standby as the
// fourth member, the vote of a leaving member is transferred before it stops, so that three voters
// are running at any time. Without a standby, the member stays a voter and stops without delay.
// Configuration changes are applied throughout.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	runInBubble(t, "three machines", func(t *testing.T) { restartInTurn(t, 3) })
	runInBubble(t, "three and a standby", func(t *testing.T) { restartInTurn(t, 4) })
}

// rollingRestart restarts the machines of a cluster with three voters, one by one.
type rollingRestart struct {
	*cluster
	machines []string
	dirs     map[string]string
	client   *Client
	revision uint64
	maxLeave time.Duration // longest time until a member could leave
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
	c.waitUntil("all machines are members", r.complete)
	before := c.commitIndex()
	for _, addr := range r.machines {
		r.restart(addr)
	}
	t.Logf("members left within %v; %d log entries, %d of them configurations",
		r.maxLeave, c.commitIndex()-before, r.revision)
}

// restart restarts a machine and applies a change while it leaves and another while it is down.
func (r *rollingRestart) restart(addr string) {
	r.t.Helper()
	core := r.cores[addr]
	began := time.Now()
	select {
	case <-core.Leave():
	case <-time.After(testTimeout):
		r.t.Fatalf("%s could not leave", addr)
	}
	r.maxLeave = max(r.maxLeave, time.Since(began))
	if hasStandby := len(r.machines) > 3; hasStandby && neededForQuorum(core) {
		r.t.Errorf("%s leaves while it is needed for a quorum", addr)
	}
	r.replace("while " + addr + " leaves")
	r.stops[addr]()
	r.replace("without " + addr)
	r.start(addr, r.dirs[addr], false)
	r.waitUntil("all machines are members again", r.complete)
	if r.cores[addr].host.id != core.host.id {
		r.t.Fatalf("%s restarted with another ID", addr)
	}
}

// replace applies the next configuration change.
func (r *rollingRestart) replace(when string) {
	r.t.Helper()
	if got := replaceConfig(r.client, r.revision, testConfig(r.t, r.revision+1)); got != http.StatusOK {
		r.t.Fatalf("change %s: status %d", when, got)
	}
	r.revision++
}

// complete reports whether all machines are members, three of them voters, and each could be
// promoted in place of another voter.
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

// stableMembers returns the leader and its members, or nil if there is no leader or a membership
// change is pending.
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

// commitIndex returns the highest commit index of any running member.
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
