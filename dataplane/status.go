package dataplane

// Status is what a gateway shows of itself. The names of the fields are part of the output of `elmspan status`.
type Status struct {
	Ready, Draining bool
	Revision        uint64 // of the configuration; 0: none
	LeaseLeftMs     int64  // below 0: the lease has run out
	InHand          int64  // requests in flight
	Connections     int    // of clients
	// QuotaPart is the share of each quota that this gateway may use: 1 where it receives from all peers, and they
	// from each other.
	QuotaPart float64
	DarkZones []string `json:",omitempty"` // zones in outage, whose servers are passed over
	Peers     int      // other gateways
	Servers   []ServerStatus
}

// ServerStatus is how a gateway sees a server.
type ServerStatus struct {
	ID, Service, Zone, State string
	Out                      int     // this gateway's requests in flight to it
	Load                     float64 // all gateways' requests, as gossiped
}

// Status returns what this gateway knows at the moment.
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
