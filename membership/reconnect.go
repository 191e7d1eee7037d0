package membership

import (
	"slices"
	"time"
)

// Reconnecting after a partition.
//
// Heartbeats go to the processes on the ring, which are not dead. Two groups that were partitioned
// for longer than the failure timeout have each other as dead, so without anything else neither
// would ever send to the other again, and each would take itself for the whole fleet. Each process
// therefore sends a further heartbeat now and then to a process that it does not know to be alive: a
// dead one, one that it has removed, or a seed.
const (
	// reconnectInterval is the mean time between these heartbeats. Shorter: groups merge sooner
	// after a partition. Longer: fewer calls to machines that are gone for good.
	reconnectInterval = 5 * time.Second
	// maxRemoved is the maximum number of addresses of removed processes that are kept. They
	// matter after a partition that lasts longer than deadRetention.
	maxRemoved = 32
)

// rememberRemoved keeps the address of a process whose entry is removed.
func (v *View) rememberRemoved(addr string) {
	if slices.Contains(v.removedAddrs, addr) {
		return
	}
	v.removedAddrs = append(v.removedAddrs, addr)
	if excess := len(v.removedAddrs) - maxRemoved; excess > 0 {
		v.removedAddrs = slices.Delete(v.removedAddrs, 0, excess)
	}
}

// ReconnectAddrs returns the addresses, sorted, at which processes may be that this one does not know
// to be alive: those of dead and of removed processes, and of the given seeds. No other process that
// is not dead has one of these addresses.
func (v *View) ReconnectAddrs(seeds []string) []string {
	addrs := slices.Concat(v.removedAddrs, seeds)
	inUse := map[string]bool{v.self.Addr: true}
	for _, r := range v.peers {
		if r.State == Dead {
			addrs = append(addrs, r.Addr)
		} else {
			inUse[r.Addr] = true
		}
	}
	slices.Sort(addrs)
	return slices.DeleteFunc(slices.Compact(addrs), func(addr string) bool { return inUse[addr] })
}
