// Package controlplane implements the control plane: a few members that replicate one
// configuration with Raft and serve it to the limiters, which watch it for changes. A process that
// is a member opens a [Core] and registers it as its [api.Control] service; every process calls the
// members through a [Client].
//
// # Parts
//
// A Core consists of parts with one responsibility each. Each part owns its state; other parts
// change it only through its methods:
//
//   - raftHost (host.go) drives the [raft.Node]: tick, ready, persist, send, apply. It owns the
//     node, the role last reported to the other parts, and whether this member is suspended or has
//     stopped; its diskMonitor (disk.go) detects a disk that doesn't respond.
//   - configStore (configstore.go) serves the operators' calls and is the state machine that
//     committed entries are applied to. It owns the applied [State] and its rows; casRegister
//     (register.go) makes its decisions, without I/O.
//   - readIndexBatcher (readindex.go) confirms that a response reflects the newest state. It owns
//     the batch of reads that waits for the next round of heartbeats or the next call to the
//     leader.
//   - watchServer (watch.go) serves the limiters' watches, with leases and deltas. It owns the
//     versions of the configuration's rows, and counts the active watches.
//   - memberManager (members.go) adds members, replaces failed ones and handles those that leave.
//     memberPolicy (memberpolicy.go) decides which change to make, without I/O; voterHealth
//     (voterhealth.go) reports voters that don't respond.
//   - joiner (joiner.go) asks the members to add this process while it is not a member.
//     joinCandidates decides which addresses to call, without I/O.
//   - transport (transport.go) carries messages between members. It owns the send queues
//     (sendqueue.go) and partly received chunked messages (chunks.go).
//   - endpointManager (endpoints.go) owns the server list (endpointlist.go): the leader merges the
//     lists that package discovery reads from the cloud platform, the other members copy the
//     leader's list.
//   - notifier (notifier.go) wakes goroutines that wait for a change in any of these parts.
//
// # Locks
//
// One mutex, Core.mu, guards all of this state: the role, applied index and version in one
// response must be from the same moment. It is released
//
//   - during disk writes (raftHost.writeToDisk);
//   - while configurations are parsed, built, compared or encoded (configStore.validate,
//     buildCommitted, encodeSnapshot, installSnapshot);
//   - while a call waits for another member or for a notification.
//
// Even then only one goroutine, raftHost.handleBatches, changes the applied state. Each sendQueue
// has its own lock, as have raft/storage and the connections of package api. The lock order is
// Core.mu before that of a sendQueue: Core.mu is never acquired while a queue's lock is held, and
// neither is held during I/O. The locks of a Client are independent: it makes no call to a Core
// while it holds one.
//
// # Stages of a configuration change
//
// A configChange holds what is known of a configuration at each stage.
//
//  1. Received: an operator's call reaches the leader through Client and Core.Replace.
//  2. Validated: configStore.validate parses it without the mutex, and builds its rows and log
//     entry.
//  3. Proposed: casRegister.advance compares the base revision with the current one, and appends
//     the entry to the leader's log. A rejection is returned only once a read index round has
//     confirmed that the state it was compared with is the newest.
//  4. Persisted and sent: raftHost.persistAndApply stores the entry on each member, and only then
//     sends the message that acknowledges it.
//  5. Committed: a majority has stored it. On each member configStore.buildCommitted builds the
//     rows and their difference from the previous ones.
//  6. Applied: configStore.applyEntries changes the State, publishes the rows to the watchServer,
//     and sets the result of the call; notifier wakes the call and the watches.
//  7. Watched: watchServer.Watch confirms through the readIndexBatcher that this revision is the
//     newest, and responds with a delta and a lease.
package controlplane
