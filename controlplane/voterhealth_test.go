package controlplane

import "testing"

// The leader's status lists a voter that doesn't respond, until it responds again, so that an
// unrepaired failure is visible before the next one.
func TestVotersThatDoNotAnswerAreReported(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newStoppedCluster(t, 3)
		dirs := map[string]string{}
		for _, addr := range c.addrs {
			dirs[addr] = memoryDir(t)
			c.start(addr, dirs[addr], true)
		}
		leader := c.awaitLeader()
		lost := c.addrs[0]
		if leader.cfg.Addr == lost {
			lost = c.addrs[1]
		}
		want := hexID(c.cores[lost].host.id) + " " + lost
		c.stops[lost]()
		c.waitUntil("the voter is reported as unresponsive", func() bool {
			voters := leader.Status().UnresponsiveVoters
			return len(voters) == 1 && voters[0] == want
		})
		c.start(lost, dirs[lost], false)
		c.waitUntil("the voter responds again", func() bool { return len(leader.Status().UnresponsiveVoters) == 0 })
	})
}
