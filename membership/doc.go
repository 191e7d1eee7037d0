// Package membership implements gossip-based group membership and failure detection, similar
// to SWIM and memberlist.
//
// Each process sends heartbeats to a few watchers, which are determined by positions on a hash
// ring. A watcher that receives no heartbeat for 2.5 s declares the process dead. Statements
// about processes (an [api.Peer] each) are piggybacked on heartbeats (gossip). Each carries an
// incarnation number, and the higher one overrides the lower one. A process that learns that
// it was declared dead refutes this with a higher incarnation. Views that differ are
// reconciled by an anti-entropy exchange of digests (push/pull), so a lost message delays
// information but does not lose it. Groups that were partitioned find each other again by
// heartbeats that each process sends now and then to one that it does not know to be alive.
//
// [View] is the deterministic state machine, without I/O, clock or goroutines. [Service] runs a
// View: it sends and answers heartbeats over gRPC.
//
// Every process learns of a change within a few heartbeats, whatever the size of the fleet, and
// sends heartbeats to at most four others per interval. Views are only eventually consistent:
// two processes may have different views at any moment, so no decision that requires agreement
// may be based on them.
package membership
