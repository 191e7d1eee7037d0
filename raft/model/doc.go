// Package model is a small world of Raft members for the model checker (package modelcheck).
// The members are real nodes of package raft; the network, the disks and the hosts are modelled.
//
// A state is a set of members with their disks, the messages in flight, and what was observed so
// far. From each state several actions are enabled: a message is delivered, an election begins, a
// member crashes, the leader proposes a value, and so on. [Bounds] limit how often each happens,
// which makes the number of states finite. In every state that can be reached the invariants must
// hold (invariants.go):
//
//   - a term has at most one leader (election safety, dissertation 3.2);
//   - all members apply the same entry at an index, without a gap (state machine safety);
//   - a member's commit index lies within its log, and it installs only snapshots that were made;
//   - a leader whose read index is confirmed knows all that was committed before the request;
//   - a snapshot that arrives undamaged is not rejected.
//
// Time is an action like any other: an election may begin anywhere at any moment, without a
// pre-vote. What is safe here is therefore safe with any clocks.
package model
