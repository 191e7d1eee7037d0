package process

import (
	"maps"
	"slices"
	"sync/atomic"

	"example.org/elmspan/api"
	"example.org/elmspan/membership"
)

// knownPeers are the processes of the system by what they are for. The maps belong to the
// goroutine in which [membership.Service] reports changes.
type knownPeers struct {
	limiters map[string]bool   // by name, those that left among them until they are dead
	members  map[string]string // internal addresses of the control plane's machines, by name

	limiterCount atomic.Int64 // of limiters, 1 at least once a change was reported; read by any goroutine
}

// update takes in the processes of which something has changed, and reports whether the
// addresses of the control plane's machines have.
func (k *knownPeers) update(changed []api.Peer) (membersChanged bool) {
	for _, peer := range changed {
		if peer.Edge && peer.State != membership.Dead {
			k.limiters[peer.Name] = true
		} else {
			delete(k.limiters, peer.Name)
		}
		addr := ""
		if peer.Core && peer.State == membership.Alive {
			addr = peer.Addr
		}
		if k.members[peer.Name] == addr {
			continue
		}
		membersChanged = true
		if addr == "" {
			delete(k.members, peer.Name)
		} else {
			k.members[peer.Name] = addr
		}
	}
	k.limiterCount.Store(int64(max(1, len(k.limiters))))
	return membersChanged
}

// memberAddrs are the addresses of the control plane's machines, in the order of their names.
func (k *knownPeers) memberAddrs() []string {
	var addrs []string
	for _, name := range slices.Sorted(maps.Keys(k.members)) {
		addrs = append(addrs, k.members[name])
	}
	return addrs
}

// peersChanged hands the processes of which something has changed to those who need them:
// the client falls back on the control plane's machines, the gateway has its own view of all.
func (p *Process) peersChanged(changed []api.Peer) {
	if p.known.update(changed) {
		p.client.SetFallbacks(p.known.memberAddrs())
	}
	if p.gateway != nil {
		p.gateway.ApplyPeers(changed)
	}
}

// knownMemberAddrs are the internal addresses at which members of the control plane may be, for one
// that was not added yet: those that this process knows of, and the seeds that the settings
// name now. The settings may have changed since the start.
func (p *Process) knownMemberAddrs() []string {
	return append(p.client.KnownMembers(), p.settings.Load().SeedAddrs()...)
}
