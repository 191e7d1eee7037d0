package dataplane

import (
	"cmp"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/membership"
)

// peer is another gateway that takes part in gossip.
type peer struct {
	addr netip.AddrPort
	zone string
}

// peerTable holds the other gateways by the hashes of their names.
type peerTable struct {
	self    string // this gateway's name
	guarded *guardedLimiter

	known atomic.Bool // records of other processes have been received

	byID     map[uint64]peer // guarded by guardedLimiter.mu
	regroups int             // guarded by guardedLimiter.mu; how often the set of peers or their zones changed
}

// apply updates the table from processes whose records have changed. A restarted process, at the same address or a new
// one, remains the same peer: the replica groups and the subsets of servers do not change.
func (t *peerTable) apply(changed []api.Peer) {
	t.guarded.mu.Lock()
	defer t.guarded.mu.Unlock()
	regroup := false
	for _, p := range changed {
		if p.Name == t.self {
			continue
		}
		t.known.Store(true)
		regroup = t.applyOne(&p) || regroup
	}
	if regroup {
		t.regroup()
	}
}

// applyOne updates the table from one process and reports whether the set of peers or their zones changed. Called under
// guardedLimiter.mu.
func (t *peerTable) applyOne(p *api.Peer) bool {
	id := xxhash.Sum64String(p.Name)
	previous, known := t.byID[id]
	addr, err := netip.ParseAddrPort(p.Addr)
	if !p.Edge || p.State == membership.Dead || err != nil {
		delete(t.byID, id)
		return known
	}
	t.byID[id] = peer{addr, p.Zone}
	return !known || previous.zone != p.Zone
}

// regroup passes the current set of peers to the limiter, which forms new replica groups. Called under
// guardedLimiter.mu.
func (t *peerTable) regroup() {
	members := make([]quota.Member, 0, len(t.byID))
	for id, p := range t.byID {
		members = append(members, quota.Member{ID: id, Zone: p.zone})
	}
	slices.SortFunc(members, func(a, b quota.Member) int { return cmp.Compare(a.ID, b.ID) })
	t.guarded.limiter.SetPeers(t.guarded.clock.nowMs(), members)
	t.regroups++
}
