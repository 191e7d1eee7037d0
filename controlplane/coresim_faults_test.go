package controlplane

import (
	"errors"
	"slices"
	"time"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// superviseMembers checks the revisions that the members have applied, and restarts with an empty
// disk each member that stopped because its store is corrupt.
func (c *faultyCluster) superviseMembers() {
	for _, m := range c.machines {
		var p *memberProcess
		c.locked(func() { p = m.process })
		if p == nil {
			continue
		}
		c.checkApplied(p)
		select {
		case <-p.ended:
		default:
			continue
		}
		if !errors.Is(p.err, storage.ErrCorrupt) {
			c.fail("Run returned unexpectedly: %v, stop reason: %s", p.err, p.core.host.stopReason)
			return
		}
		c.powerOff(m)
		c.locked(func() {
			if m.corrupt {
				c.loseDisk(m)
			}
		})
		c.start(m, false)
	}
}

// canLoseDisk reports whether the cluster tolerates the loss of one disk: all members run and are
// connected, each machine's member is a voter, no membership change is pending, and all members
// agree on the leader.
func (c *faultyCluster) canLoseDisk() bool {
	processes, ids, ok := c.healthyProcesses()
	if !ok {
		return false
	}
	var leader raft.ID
	for _, p := range processes {
		p.core.mu.Lock()
		members, knownLeader := p.core.host.node.Members(), p.core.host.node.Leader()
		changing := p.core.host.node.MembershipChangePending()
		p.core.mu.Unlock()
		if knownLeader == 0 || leader != 0 && knownLeader != leader || changing || len(members) != len(c.machines) {
			return false
		}
		if slices.ContainsFunc(members, func(m raft.Member) bool { return !m.Voter || !slices.Contains(ids, m.ID) }) {
			return false
		}
		leader = knownLeader
	}
	return true
}

// healthyProcesses returns the running members and their ids. ok is false if a machine is off, has
// lost its disk or has a corrupt one, or if a link is partitioned.
func (c *faultyCluster) healthyProcesses() (processes []*memberProcess, ids []raft.ID, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.process == nil || m.corrupt || m.process.disk != m.disk {
			return nil, nil, false
		}
		processes, ids = append(processes, m.process), append(ids, m.disk.id)
	}
	for _, link := range c.links {
		if link.partitioned {
			return nil, nil, false
		}
	}
	return processes, ids, true
}

// injectFault injects one random fault, or repairs the links.
func (c *faultyCluster) injectFault() {
	rng := c.rng
	target := c.machines[rng.IntN(len(c.machines))]
	until := time.Now().Add(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
	event := rng.IntN(20)
	majority := rng.Perm(len(c.machines))[:len(c.machines)/2+1]
	direction := rng.IntN(3)
	switch {
	case event <= 1:
		c.awaitWrite(target)
		c.powerOff(target)
	case event == 2:
		c.powerOff(target)
	case event <= 4:
		// The machines lose power one by one, in the reverse order of the draw.
		for _, i := range slices.Backward(majority) {
			c.powerOff(c.machines[i])
		}
	case event <= 6:
		c.powerOff(c.machines...)
	case event == 7:
		c.locked(func() { c.powerOffAllOnAck = true })
	case event <= 13:
		c.locked(func() { c.injectLinkFault(event, target, majority, direction) })
	case event <= 15:
		c.locked(func() { target.writesFailUntil = until })
	case event == 16:
		c.locked(func() { target.writesSlowUntil = until })
	case c.canLoseDisk():
		c.injectDiskLoss(event, target)
	}
}

// awaitWrite waits up to 100 ms for a machine to begin a write.
func (c *faultyCluster) awaitWrite(m *faultyMachine) {
	for range 100 {
		writes := false
		c.locked(func() { writes = m.process != nil && m.process.unsynced != nil })
		if writes {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// injectLinkFault partitions, slows or repairs links. The caller holds the mutex.
func (c *faultyCluster) injectLinkFault(event int, target *faultyMachine, majority []int, direction int) {
	switch {
	case event == 8:
		c.partition(majority)
	case event <= 10: // one machine is isolated: both ways, or outbound or inbound only
		for _, other := range c.machines {
			if other != target {
				c.links[addrPair{target.addr, other.addr}].partitioned = direction != 0
				c.links[addrPair{other.addr, target.addr}].partitioned = direction != 1
			}
		}
	case event <= 12:
		c.repairLinks()
	default:
		for _, other := range c.machines {
			c.links[addrPair{target.addr, other.addr}].maxDelay = 250 * time.Millisecond
		}
	}
}

// partition cuts the links between a majority and the other machines.
func (c *faultyCluster) partition(majority []int) {
	for i, a := range c.machines {
		for j, b := range c.machines {
			if slices.Contains(majority, i) != slices.Contains(majority, j) {
				c.links[addrPair{a.addr, b.addr}].partitioned = true
			}
		}
	}
}

// repairLinks ends all link faults. The caller holds the mutex.
func (c *faultyCluster) repairLinks() {
	for _, link := range c.links {
		link.partitioned, link.maxDelay = false, 0
	}
}

// injectDiskLoss makes a machine lose its disk, or detect at its next write that the disk is corrupt.
func (c *faultyCluster) injectDiskLoss(event int, m *faultyMachine) {
	if event == 19 {
		c.locked(func() { m.corrupt = true })
		return
	}
	c.powerOff(m)
	c.locked(func() { c.loseDisk(m) })
}
