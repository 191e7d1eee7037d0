// Package model is a bounded model of a Raft cluster for the model checker (package modelcheck).
// The members are real nodes of package raft; the network, the disks and the hosts are modeled.
//
// A state consists of the members with their disks, the messages in flight, and the history that the
// invariants refer to. In each state several actions are enabled: a message is delivered, an election
// starts, a member crashes, the leader proposes a value, and so on. [Bounds] limit how often each
// action happens, which makes the number of states finite. The following invariants must hold in
// every reachable state (invariants.go):
//
//   - a term has at most one leader (election safety, dissertation 3.2);
//   - all members apply the same entry at an index, without gaps (state machine safety);
//   - the commit index of a member is within its log, and a member installs only snapshots that
//     were created;
//   - a leader that confirms a read index has every entry committed before the request;
//   - a snapshot that arrives uncorrupted is not rejected.
//
// The model has no clocks. Timeouts are actions that are always enabled: an election may start on any
// member at any moment, without a pre-vote. The invariants therefore do not depend on timing.
package model
