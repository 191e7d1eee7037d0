// Package dataplane carries the traffic of clients: it reads a request, finds its route and tenant, charges the
// tenant's quota, chooses a server, forwards the request and writes the response.
//
// [New] returns a [Gateway] that listens; [Gateway.Run] serves until its context ends and then drains. The control
// side feeds it with [Gateway.ApplyConfig], [Gateway.ApplyEndpoints], [Gateway.ApplyPeers] and [Gateway.ExtendLease].
//
// A Gateway joins types that have one job each:
//
//	clientListener  accepts connections and drains them (listener.go)
//	clientConn      one client's connection: requests in, responses out, in order (clientconn.go, request.go)
//	router          the configuration in force, an immutable snapshot swapped whole (router.go, snapshot.go)
//	forwarder       the lifecycle of a request: attempts, retries, hedges (forwarder.go, lifecycle.go, roundtrip.go)
//	response        a response and how it is written (response.go, refusal.go)
//	lease           until when requests with keys may be served (lease.go)
//	readiness       whether new connections are wanted, and the probe that says so (readiness.go)
//	endpointList    the list of servers (endpoints.go)
//	peerTable       the other gateways (peers.go)
//	gossipHost      sends and receives gossip messages (gossip.go)
//	guardedLimiter  the state machine of limits and server choice, and its mutex (guardedlimiter.go)
//
// Locks. guardedLimiter.mu guards the state machine and what must change in one step with it: the peers, the
// endpoints and the downloads that wait. clientListener.mu guards the set of connections, clientConn.mu the state of
// one connection. A clientConn.mu may be taken under clientListener.mu; guardedLimiter.mu is taken with no other lock
// of this package held, and the locks of the connection pool may be taken under it. Everything else is immutable after
// New, or atomic.
package dataplane
