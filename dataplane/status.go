package dataplane

// Status is the state that a gateway reports. The field names are part of the output of `elmspan status`.
type Status struct {
	Ready, Draining bool
	Revision        uint64 // of the configuration; 0: none
	LeaseLeftMs     int64  // negative: the lease has expired, or none is needed
	InHand          int64  // requests in flight
	Connections     int    // client connections
	// QuotaPart is the share of each quota that this gateway may use: 1 if it receives gossip from all peers, and they
	// from each other.
	QuotaPart float64
	DarkZones []string `json:",omitempty"` // zones in outage, whose servers are not used
	Peers     int      // other gateways
	Servers   []ServerStatus
}

// ServerStatus is a gateway's view of a server.
type ServerStatus struct {
	ID, Service, Zone, State string
	Out                      int     // requests in flight from this gateway
	Load                     float64 // requests in flight from all gateways, as known by gossip
}

// Status returns the current state of the gateway.
func (g *Gateway) Status() Status {
	s := Status{
		Ready:       g.Ready(),
		Draining:    g.readiness.draining.Load(),
		Revision:    g.Revision(),
		InHand:      g.forwarder.inFlight.Load(),
		LeaseLeftMs: g.lease.remaining().Milliseconds(),
		Connections: g.listener.count(),
	}
	g.guarded.mu.Lock()
	defer g.guarded.mu.Unlock()
	l, now := g.guarded.limiter, g.clock.nowMs()
	s.Peers = l.PeerCount()
	s.QuotaPart = l.QuotaShare(now)
	s.DarkZones = l.UnreachableZones(now)
	for _, m := range l.Members() {
		s.Servers = append(s.Servers, ServerStatus{
			ID: m.ID, Service: m.Upstream, Zone: m.Zone, State: m.State,
			Out: m.InFlight(), Load: m.Load(now),
		})
	}
	return s
}
