// Package membership lets the processes of the system know each other, in the manner of SWIM
// and memberlist.
//
// Each process sends heartbeats to a few watchers, which the positions on a hash ring name.
// A watcher that gets no heartbeat for 2.5 s declares the process dead. Statements about
// processes travel with the heartbeats (gossip); each carries an incarnation number, and the
// higher one overrides the lower one. A process that finds itself declared dead refutes that
// with a higher incarnation. Views that differ are reconciled by an anti-entropy exchange of
// digests (push/pull), so a lost message costs time but no knowledge.
//
// [View] is the deterministic part: no I/O, no clock, no goroutines. [Service] is its host: it
// sends and answers heartbeats over gRPC.
//
// What it promises: every process knows of a change within a few heartbeats, in a fleet of any
// size; a process sends at most four heartbeats an interval. It does not promise that two
// processes have the same view at any moment: nothing that needs agreement is decided by it.
package membership
