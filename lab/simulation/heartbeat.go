package simulation

import (
	"time"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/quota"
	"example.org/elmspan/membership"
)

// Heartbeats are sent as membership.Service sends them.
const (
	heartbeatMs     = 500.0
	heartbeatJitter = 0.1 // share by which the time between two varies
	seedLimiters    = 3   // that a limiter which knows nobody calls
)

// elapsed is the limiter's own steady clock, as its view of the members takes it: never 0.
func (n *node) elapsed() time.Duration { return duration(n.clock()) + 1 }

// sendHeartbeats sends a heartbeat to each watcher of this limiter.
func (n *node) sendHeartbeats() {
	f := n.fleet
	n.view.DetectFailures(n.elapsed())
	to := n.view.Watchers(n.name)
	if len(to) == 0 { // alone: through a few seeds
		for _, seed := range f.nodes[:min(seedLimiters, len(f.nodes))] {
			to = append(to, seed.name)
		}
	}
	for _, name := range to {
		if peer := f.byName[name]; peer != nil && peer != n {
			n.sendHeartbeat(peer, n.view.Heartbeat(n.elapsed()))
		}
	}
	n.notifyPolicy()
}

// sendHeartbeat sends a heartbeat, and a second one where the views differ.
func (n *node) sendHeartbeat(peer *node, request *api.HeartbeatRequest) {
	f, incarnation := n.fleet, n.incarnation
	n.traffic.countHeartbeat(request)
	if f.partitioned(n, peer) {
		return
	}
	answer := func(response *api.HeartbeatResponse) {
		if !n.up || n.incarnation != incarnation || f.partitioned(n, peer) {
			return
		}
		next := n.view.HandleResponse(n.elapsed(), response)
		n.notifyPolicy()
		if next != nil {
			n.sendHeartbeat(peer, next)
		}
	}
	f.engine.after(f.delay(n.zone, peer.zone), func() {
		if !peer.up {
			return
		}
		peer.whenResumed(func() {
			response := peer.view.HandleHeartbeat(peer.elapsed(), request)
			peer.traffic.countResponse(response)
			peer.notifyPolicy()
			f.engine.after(f.delay(n.zone, peer.zone), func() { answer(response) })
		})
	})
}

// notifyPolicy passes a changed view on to the policy.
func (n *node) notifyPolicy() {
	if n.notifiedChanges == n.view.ChangeCount {
		return
	}
	n.notifiedChanges = n.view.ChangeCount
	var peers []quota.Member
	for _, p := range n.view.Peers() {
		if p.Name != n.name && p.State != membership.Dead {
			peers = append(peers, quota.Member{ID: n.fleet.byName[p.Name].id, Zone: p.Zone})
		}
	}
	n.policy.SetPeers(n.clock(), peers)
}
