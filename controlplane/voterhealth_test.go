package controlplane

import "testing"

// A voter that does not answer is in the leader's status until it is back: a loss that is not
// repaired is seen before the next one.
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
		c.waitUntil("it is reported", func() bool {
			voters := leader.Status().UnresponsiveVoters
			return len(voters) == 1 && voters[0] == want
		})
		c.start(lost, dirs[lost], false)
		c.waitUntil("it is back", func() bool { return len(leader.Status().UnresponsiveVoters) == 0 })
	})
}
