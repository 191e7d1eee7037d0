package controlplane

import (
	"errors"
	"slices"
	"time"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// superviseMembers checks what all members have applied, and starts one whose store was found
// corrupt anew.
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
			c.fail("Run ends with %v, %s", p.err, p.core.host.stopReason)
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

// canLoseDisk reports whether all members run, are in touch, and agree on who they are and who
// leads: one disk can be lost.
func (c *faultyCluster) canLoseDisk() bool {
	processes, ids, ok := c.healthyProcesses()
	if !ok {
		return false
	}
	var leader raft.ID
	for _, p := range processes {
		p.core.mu.Lock()
		members, of := p.core.host.node.Members(), p.core.host.node.Leader()
		changing := p.core.host.node.MembershipChangePending()
		p.core.mu.Unlock()
		if of == 0 || leader != 0 && of != leader || changing || len(members) != len(c.machines) {
			return false
		}
		if slices.ContainsFunc(members, func(m raft.Member) bool { return !m.Voter || !slices.Contains(ids, m.ID) }) {
			return false
		}
		leader = of
	}
	return true
}

// healthyProcesses returns the members and their ids. ok is false where a machine is off or
// has lost its disk, or a link is cut.
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

// injectFault has one thing happen.
func (c *faultyCluster) injectFault() {
	rng := c.rng
	one := c.machines[rng.IntN(len(c.machines))]
	until := time.Now().Add(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
	event := rng.IntN(20)
	majority := rng.Perm(len(c.machines))[:len(c.machines)/2+1]
	way := rng.IntN(3)
	switch {
	case event <= 1:
		c.awaitWrite(one)
		c.powerOff(one)
	case event == 2:
		c.powerOff(one)
	case event <= 4:
		// One after the other, the last one drawn first.
		for _, i := range slices.Backward(majority) {
			c.powerOff(c.machines[i])
		}
	case event <= 6:
		c.powerOff(c.machines...)
	case event == 7:
		c.locked(func() { c.failAllAtNext = true })
	case event <= 13:
		c.locked(func() { c.injectLinkFault(event, one, majority, way) })
	case event <= 15:
		c.locked(func() { one.failsUntil = until })
	case event == 16:
		c.locked(func() { one.slowUntil = until })
	case c.canLoseDisk():
		c.injectDiskLoss(event, one)
	}
}

// awaitWrite waits for a write of a machine, if there is one soon.
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

// injectLinkFault cuts, slows or repairs links. Called under the mutex.
func (c *faultyCluster) injectLinkFault(event int, one *faultyMachine, majority []int, way int) {
	switch {
	case event == 8:
		c.partition(majority)
	case event <= 10: // one machine is cut off, or what it sends alone, or what it is sent
		for _, other := range c.machines {
			if other != one {
				c.links[addrPair{one.addr, other.addr}].partitioned = way != 0
				c.links[addrPair{other.addr, one.addr}].partitioned = way != 1
			}
		}
	case event <= 12:
		c.repairLinks()
	default:
		for _, other := range c.machines {
			c.links[addrPair{one.addr, other.addr}].slow = 250 * time.Millisecond
		}
	}
}

// partition cuts a majority off from the others.
func (c *faultyCluster) partition(majority []int) {
	for i, a := range c.machines {
		for j, b := range c.machines {
			if slices.Contains(majority, i) != slices.Contains(majority, j) {
				c.links[addrPair{a.addr, b.addr}].partitioned = true
			}
		}
	}
}

// repairLinks ends all faults of links. Called under the mutex.
func (c *faultyCluster) repairLinks() {
	for _, link := range c.links {
		link.partitioned, link.slow = false, 0
	}
}

// injectDiskLoss has a machine lose its disk, or find it corrupt at the next write.
func (c *faultyCluster) injectDiskLoss(event int, m *faultyMachine) {
	if event == 19 {
		c.locked(func() { m.corrupt = true })
		return
	}
	c.powerOff(m)
	c.locked(func() { c.loseDisk(m) })
}
