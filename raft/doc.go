// Package raft is the replicated log of the control plane. It implements Raft as described in
// Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (the paper), and
// in Ongaro's dissertation "Consensus: Bridging Theory and Practice". Section numbers refer to
// the dissertation, here and in the other comments, unless they name the paper:
//
//   - leader election and log replication: 3.4 to 3.6;
//   - leadership transfer ([Node.TransferLeadership]): 3.10;
//   - membership changes ([Node.ProposeMembers]): adding or removing a single voter, 4.1, and
//     replacing one voter with another by joint consensus, 4.3;
//   - log compaction with snapshots ([Node.Compact]), sent in chunks: 5.1;
//   - check quorum, by which a leader that has lost contact with a majority steps down: 6.2;
//   - read index, linearizable reads without a log entry ([Node.NextReadIndexRound]): 6.4;
//   - pre-vote, which keeps a rejoining member from deposing the leader: 9.6.
//
// # Restart and recovery
//
// A restarted member resumes from its stored state as a follower without a known leader. It
// learns of the leader from a heartbeat, or starts a pre-vote, which fails while the other
// members hear from a leader. The leader then finds the point up to which the two logs match:
// the member rejects an append that does not match its log, the rejection carries the last index
// that may match, and the leader backs up to that index. From there it sends the missing entries
// or, if it has already compacted them, a snapshot in chunks followed by the entries after it.
// A member that lost its disk returns with a new [ID] and without membership: its host asks for it
// to be added, and it catches up in the same way before it becomes a voter.
//
// # Network partitions
//
// During a partition the side with a majority continues, after an election if the leader is on
// the other side. A leader without a majority steps down within an election timeout (check
// quorum) and confirms no read index in the meantime. Its uncommitted entries are overwritten
// once the partition heals. Members on the minority side lose their pre-votes, so that their
// term does not grow and they do not depose the leader when they reconnect.
//
// # The host
//
// A [Node] is a deterministic state machine. It does no I/O and has no clock and no
// goroutines; the process that embeds it is its host. The same seed and the same sequence of
// calls give the same results in the same order. The host calls
//
//   - [Node.Tick] at regular intervals: all timeouts are counted in ticks;
//   - [Node.Step] with each message that arrives; messages may be lost, delayed, reordered
//     and duplicated;
//   - [Node.Propose], [Node.ProposeMembers] and others on the leader.
//
// After each call it processes [Node.Ready] until that is empty, in this order:
//
//  1. Write HardState, Snapshot and Entries to stable storage and sync it.
//  2. Send Messages.
//  3. Apply Snapshot, then CommittedEntries, to the replicated service.
//  4. Call [Node.Advance] with the same Ready.
//
// Messages are sent after the sync because they make promises: a vote, or the acknowledgement
// of an entry, must survive a power failure of this machine. Otherwise a member could vote twice
// in a term, or a leader could count an entry that is lost. CommittedEntries are applied after
// the sync because they may be among Entries, and after Snapshot because they follow it in the
// log. Advance comes last: only then does a leader count its own copy of an entry toward
// a majority, and only then is an entry reported as applied.
//
// If a write fails, the host skips steps 2 to 4 for that Ready, calls [Node.StepDown] so that
// a member with a working disk can lead, and retries later. If the node reports
// [Node.LostDurability], the host stops it and never uses its [ID] again.
//
// A Node is not safe for concurrent use: the host guards it with its own lock.
package raft
