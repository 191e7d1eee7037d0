package process

import (
	"maps"
	"slices"
	"sync/atomic"

	"example.org/elmspan/api"
	"example.org/elmspan/membership"
)

// knownPeers indexes the processes of the system by role. The maps are used only by the
// goroutine in which [membership.Service] reports changes.
type knownPeers struct {
	limiters map[string]bool   // by name; includes leaving ones until they are dead
	members  map[string]string // internal addresses of the control plane's live machines by name

	limiterCount atomic.Int64 // number of limiters, at least 1 after the first change; safe for concurrent reads
}

// update records changed processes and reports whether the addresses of the control plane's
// live machines have changed.
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

// memberAddrs returns the addresses of the control plane's live machines, sorted by name.
func (k *knownPeers) memberAddrs() []string {
	var addrs []string
	for _, name := range slices.Sorted(maps.Keys(k.members)) {
		addrs = append(addrs, k.members[name])
	}
	return addrs
}

// peersChanged passes changed processes on: the client uses the control plane's live machines
// as fallbacks, and the gateway keeps its own view of all processes.
func (p *Process) peersChanged(changed []api.Peer) {
	if p.known.update(changed) {
		p.client.SetFallbacks(p.known.memberAddrs())
	}
	if p.gateway != nil {
		p.gateway.ApplyPeers(changed)
	}
}

// joinAddrs returns internal addresses at which a member that has not been added yet
// may find the control plane: those of known members, and the seeds in the current settings,
// which may have changed since the start.
func (p *Process) joinAddrs() []string {
	return append(p.client.KnownMembers(), p.settings.Load().SeedAddrs()...)
}
