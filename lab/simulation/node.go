package simulation

import (
	"cmp"
	"maps"
	"slices"

	"example.org/elmspan/api"
	"example.org/elmspan/dataplane/gossip"
	"example.org/elmspan/dataplane/limiter"
	"example.org/elmspan/membership"
	"example.org/elmspan/settings"
)

// unknownPeerGapMs is the shortest time between two heartbeats to senders of gossip that a
// limiter does not know.
const unknownPeerGapMs = 100.0

// node is one limiter of the fleet, on the simulated clock.
type node struct {
	fleet       *fleet
	name        string
	id          uint64 // hash of the name, as gossip has it
	zone        string
	incarnation uint64 // grows with each start

	policy          policy
	view            *membership.View
	notifiedChanges uint64 // changes of the view that the policy knows of
	listVersion     int    // of the list of servers that it has
	open            map[*forwarding]bool

	up            bool
	pausedUntil   float64 // on the engine's clock
	startedMs     float64 // on the engine's clock
	stoppedMs     float64 // on the engine's clock
	unknownPeerMs float64 // when it last sent a heartbeat to an unknown sender of gossip

	traffic Traffic // sent since the start of traffic
}

// start begins an incarnation of the limiter.
func (n *node) start() error {
	f := n.fleet
	n.incarnation++
	p, err := newPolicy(f.policy, n.config())
	if err != nil {
		return err
	}
	n.policy, n.up, n.startedMs = p, true, f.engine.now
	n.open, n.notifiedChanges, n.listVersion = map[*forwarding]bool{}, 0, 0
	n.view = membership.NewView(api.Peer{Name: n.name, Addr: n.name, Zone: n.zone, StartID: n.incarnation, Edge: true})
	n.policy.SetServers(n.clock(), f.serverList)
	n.startTimers()
	return nil
}

func (n *node) config() limiter.Config {
	f := n.fleet
	tuning := settings.DefaultTuning().Link
	capacity := gossip.Capacity{
		LinkMbps:     f.day.Network.LinkMbps,
		LinkFraction: tuning.Gossip,
		CPUCores:     f.day.Network.CPUShare,
		CPUFraction:  tuning.GossipCPU,
	}
	return limiter.Config{
		Self:         n.id,
		Incarnation:  n.incarnation<<32 | n.id>>32,
		Zone:         n.zone,
		Seed:         f.rng.Uint64(),
		RetryRatio:   f.day.RetryBudget.Ratio,
		RetrySlack:   f.day.RetryBudget.Slack,
		GossipBudget: capacity.Budget(),
	}
}

// startTimers has the policy tick and heartbeats be sent until the incarnation ends.
func (n *node) startTimers() {
	f, incarnation := n.fleet, n.incarnation
	var tick, heartbeat func()
	tick = func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		if !n.paused() {
			n.policy.Tick(n.clock(), n.sendMessage)
		}
		f.engine.after(n.policy.TickMs(), tick)
	}
	heartbeat = func() {
		if n.incarnation != incarnation || !n.up {
			return
		}
		if !n.paused() {
			n.sendHeartbeats()
		}
		f.engine.after(heartbeatMs*(1+heartbeatJitter*(2*f.rng.Float64()-1)), heartbeat)
	}
	f.engine.after(gossip.TickMs*f.rng.Float64(), tick)
	f.engine.after(heartbeatMs*f.rng.Float64(), heartbeat)
}

// clock is the limiter's own steady clock, in ms since its start.
func (n *node) clock() float64 { return n.fleet.engine.now - n.startedMs }

func (n *node) paused() bool { return n.fleet.engine.now < n.pausedUntil }

// kill ends the limiter: connections to it break.
func (n *node) kill() {
	n.up, n.stoppedMs = false, n.fleet.engine.now
	open := slices.SortedFunc(maps.Keys(n.open), func(a, b *forwarding) int { return cmp.Compare(a.seq, b.seq) })
	clear(n.open)
	for _, x := range open {
		x.breakConnection()
	}
}

// sendMessage sends a gossip message, which may be lost.
func (n *node) sendMessage(to uint64, m *gossip.Message) {
	f := n.fleet
	data := m.Append(nil)
	n.traffic.countMessage(m)
	peer := f.byID[to]
	if peer == nil || f.rng.Float64() < f.day.Network.GossipLoss || f.partitioned(n, peer) {
		return
	}
	f.engine.after(f.delay(n.zone, peer.zone), func() {
		if peer.up {
			peer.receiveMessage(n, data)
		}
	})
}

// receiveMessage takes a gossip message. A sender that is not known gets a heartbeat.
func (n *node) receiveMessage(from *node, data []byte) {
	f := n.fleet
	var m gossip.Message
	if err := m.Decode(data); err != nil {
		f.log.Violation("WORDS", "a word of %s can't be read: %v", from.name, err)
		return
	}
	n.whenResumed(func() {
		if !n.policy.Receive(n.clock(), &m) && f.engine.now-n.unknownPeerMs >= unknownPeerGapMs {
			n.unknownPeerMs = f.engine.now
			n.sendHeartbeat(from, n.view.Heartbeat(n.elapsed()))
		}
	})
}

// whenResumed does something now, or once the limiter is no longer paused. What its
// incarnation does not live to do is left out.
func (n *node) whenResumed(do func()) {
	if !n.paused() {
		do()
		return
	}
	incarnation := n.incarnation
	n.fleet.engine.after(n.pausedUntil-n.fleet.engine.now, func() {
		if n.up && n.incarnation == incarnation {
			do()
		}
	})
}
