// Package raft is the replicated log of the control plane. It implements Raft as described in
// Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (the paper), and
// in Ongaro's dissertation "Consensus: Bridging Theory and Practice", of which the section
// numbers below are:
//
//   - leader election and log replication: 3.4 to 3.6;
//   - leadership transfer ([Node.TransferLeadership]): 3.10;
//   - membership changes of one voter at a time: 4.1, and of one voter for another by joint
//     consensus ([Node.ProposeMembers]): 4.3;
//   - log compaction with snapshots ([Node.Compact]), sent in chunks: 5.1;
//   - check quorum, a leader without a majority steps down: 6.2;
//   - read index, linearizable reads without a log entry ([Node.NextReadIndexRound]): 6.4;
//   - pre-vote, a member that comes back unseats nobody: 9.6.
//
// # A member that comes back
//
// After a restart a member continues with what it has stored, as a follower of nobody. It learns
// of the leader by a heartbeat, or stands for a pre-vote, which it loses where a leader is heard
// by the others. The leader finds where the two logs match: [Node.Step] answers an append that
// does not fit with a hint, and the leader goes back to it. From there it sends the entries that
// are missing or, where its own log has been compacted past them, a snapshot in chunks and the
// entries behind it. A member whose disk was lost comes back under another [ID] and as no
// member: its host asks to be added, and it catches up in the same way before it gets a vote.
//
// # A partition
//
// In a partition the side with a majority goes on, after an election where the leader is on the
// other. A leader without a majority steps down within an election time-out (check quorum) and
// confirms no read index before that. Its uncommitted entries are overwritten once the partition
// heals. Members of the minority lose their pre-votes, so that their term does not grow and
// they unseat nobody when they come back.
//
// # The host
//
// A [Node] is a deterministic state machine. It does no I/O and has no clock and no
// goroutines; the process that embeds it is its host. Equal seeds and equal calls give equal
// results, in the same order. The host calls
//
//   - [Node.Tick] at a steady pace: all time-outs are counted in ticks;
//   - [Node.Step] with each message that arrives; messages may be lost, delayed, reordered
//     and duplicated;
//   - [Node.Propose], [Node.ProposeMembers] and others on the leader.
//
// After any of them it carries out [Node.Ready] until that is empty, in this order:
//
//  1. Store HardState, Snapshot and Entries, and sync them to stable storage.
//  2. Send Messages.
//  3. Apply Snapshot, then CommittedEntries, to the replicated service.
//  4. Call [Node.Advance] with the same Ready.
//
// Messages come after the sync because they are guarantees: a vote, or the acknowledgement of
// an entry, must survive a loss of power of this machine. Else a member could vote twice in a
// term, or a leader could count an entry that is gone. CommittedEntries come after the sync
// because they may be among Entries, and Snapshot comes before them because they follow it in
// the log. Advance comes last: only then does a leader count its own copy of an entry toward
// a majority, and only then is an entry reported as applied.
//
// A host whose disk refuses a write does none of steps 2 to 4 with that Ready. It calls
// [Node.StepDown], so that a member with a working disk can lead, and tries again later.
// A host whose node reports [Node.LostDurability] stops and never uses this [ID] again.
//
// A Node is not safe for concurrent use: the host guards it with its own lock.
package raft
