// Package dataplane is the HTTP gateway for client traffic. It reads a request, finds its route and tenant, charges the
// tenant's quota, chooses a server, forwards the request and writes the response.
//
// [New] returns a [Gateway] with open listeners; [Gateway.Run] serves until its context ends and then drains. The
// control-plane client updates it with [Gateway.ApplyConfig], [Gateway.ApplyEndpoints], [Gateway.ApplyPeers] and
// [Gateway.ExtendLease].
//
// A Gateway is composed of these types:
//
//	clientListener  accepts connections and drains them (listener.go, drain.go)
//	clientConn      a client connection: reads requests, writes responses in order (clientconn.go, request.go,
//	                clientanswer.go)
//	connProgress    which response of a connection is the last, and announces its end (connprogress.go)
//	router          the current configuration, an immutable snapshot replaced atomically (router.go, snapshot.go)
//	forwarder       the lifecycle of a request: attempts, retries, hedges (forwarder.go, lifecycle.go, roundtrip.go)
//	response        a response and its serialization (response.go, refusal.go)
//	lease           how long requests may be served without confirmation by the control plane (lease.go)
//	readiness       whether new connections are accepted, and the probe that reports it (readiness.go)
//	endpointList    the list of servers (endpoints.go)
//	peerTable       the other gateways (peers.go)
//	gossipHost      sends and receives gossip messages (gossip.go)
//	guardedLimiter  the state machine for quotas and server choice, and its mutex (guardedlimiter.go)
//
// Locks. guardedLimiter.mu guards the state machine and the state that must change atomically with it: the peers, the
// endpoints and the waiting downloads. clientListener.mu guards the set of connections, clientConn.mu the state of one
// connection, connProgress.mu how far its requests and responses have come; they are taken in this order.
// guardedLimiter.mu is taken with no other lock of this package held except gossipHost.socketMu, and the locks of the
// connection pool may be taken under it. Everything else is immutable after New, or atomic.
package dataplane
