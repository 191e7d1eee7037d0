// Package controlplane is the control plane: a few members that agree on one configuration by
// Raft, and answer the limiters that watch it. A process that is a member opens a [Core] and
// registers it as its [api.Control] service; all processes use a [Client] to call the members.
//
// # Parts
//
// Core joins parts with one job each. Each owns its state, and no other part writes it but by
// its methods:
//
//   - raftHost (host.go) drives the [raft.Node]: tick, ready, persist, send, apply. It owns the
//     node, the role that others were notified of, and whether this member is suspended or has
//     stopped; its diskMonitor (disk.go) detects a disk that doesn't answer.
//   - configStore (configstore.go) answers the operator's calls and is the state machine that
//     committed entries are applied to. It owns the applied [State] and its rows; casRegister
//     (register.go) has its decisions, without I/O.
//   - readIndexBatcher (readindex.go) confirms that an answer is the newest. It owns the batch
//     that waits for the next round of heartbeats, or the next call to the leader.
//   - watchServer (watch.go) answers limiters, with leases and deltas. It owns the versions of the
//     configuration's rows, and counts the watches in hand.
//   - memberManager (members.go) takes members in, replaces failed ones and lets others go. What
//     is to change memberPolicy (memberpolicy.go) decides, without I/O; voterHealth
//     (voterhealth.go) reports voters that don't answer.
//   - joiner (joiner.go) has this process added by the others, as long as it is no member. Whom it
//     asks joinCandidates decides, without I/O.
//   - transport (transport.go) carries messages between members. It owns the send queues
//     (sendqueue.go) and chunked messages that have come in part (chunks.go).
//   - endpointManager (endpoints.go) owns the list of servers (endpointlist.go): the leader merges
//     the platform's answers, the others follow the leader's list.
//   - notifier (notifier.go) wakes those who wait for a change in any of them.
//
// # Locks
//
// One mutex, Core.mu, guards all of this state: a role, an applied index and a version that are
// answered together must be of one moment. It is given up
//
//   - while the disk writes (raftHost.writeToDisk);
//   - while configurations are parsed, built, compared or encoded (configStore.validate,
//     buildCommitted, encodeSnapshot, installSnapshot);
//   - while a call waits, for another member or for a notification.
//
// Meanwhile only one goroutine, raftHost.handleBatches, changes the applied state. A sendQueue
// has a lock of its own, and so have raft/storage and the api's connections. The order is: Core.mu,
// then that of a sendQueue. Core.mu is never taken with the other held, and no I/O is done under
// either of them. Client's locks are apart: no call to a Core is made under them.
//
// # The way of a configuration change
//
// A configChange says what is known of a configuration at each stage.
//
//  1. Received: an operator's call reaches the leader, by Client and Core.Replace.
//  2. Validated: configStore.validate parses it without the mutex, and makes its rows and log entry.
//  3. Proposed: casRegister.advance compares the base revision with the current one, and puts the
//     entry into the leader's log. A rejection is answered only once a read index round has
//     confirmed that the state it was compared with is the newest.
//  4. Persisted and sent: raftHost.persistAndApply stores the entry on each member, and only then
//     sends the message that acknowledges it.
//  5. Committed: a majority has stored it. configStore.buildCommitted makes the rows on each
//     member, and how they differ from those before.
//  6. Applied: configStore.applyEntries changes the State, publishes the rows to the watchServer,
//     and gives the call its result; notifier wakes the call and the watches.
//  7. Watched: watchServer.Watch confirms by the readIndexBatcher that this is the newest, and
//     answers with a delta and a lease.
package controlplane
