package raft

import "github.com/cespare/xxhash/v2"

// A snapshot that is larger than one chunk is sent to a follower in chunks. The follower acknowledges
// each with the number of bytes of the snapshot that it has, so that a lost message costs one chunk,
// and neither a slow link nor a large state prevents a follower from catching up
// (docs/decisions/0013). Heartbeats, votes and entries are sent concurrently.

const (
	// maxBackoffDoublings is the maximum number of times that the retransmission timeout of
	// a transfer is doubled.
	maxBackoffDoublings = 3
	// rejectedSnapshotPauseTicks is how long the leader waits after a rejection before it sends
	// the follower that snapshot again. The pause doubles with each rejection, up to
	// maxRejectionDoublings times.
	rejectedSnapshotPauseTicks = 10
	maxRejectionDoublings      = 5
)

// snapshotTransfer is the leader's state of sending a snapshot to a follower. A transfer continues
// with the same snapshot even if newer ones are created in the meantime, as long as the log has the
// entries after it.
type snapshotTransfer struct {
	snapshot     Snapshot
	checksum     uint64 // xxhash of the data
	acknowledged int    // bytes that the follower has acknowledged
	sent         int    // bytes sent; those after acknowledged are in flight
	ticksWaiting int    // ticks since the last progress
	timeouts     int    // consecutive timeouts
	rejections   int    // times that the follower rejected the snapshot
	pauseTicks   int    // remaining ticks of the pause after a rejection
}

// tick advances the timers by one tick. If an acknowledgement is overdue, all bytes in flight are
// retransmitted, with exponential backoff.
func (t *snapshotTransfer) tick() {
	if t.pauseTicks > 0 {
		t.pauseTicks--
		return
	}
	t.ticksWaiting++
	if t.ticksWaiting >= retransmitAfter(t.sent-t.acknowledged)<<min(t.timeouts, maxBackoffDoublings) {
		t.retransmit()
		t.timeouts++
	}
}

// retransmit marks all unacknowledged bytes to be sent again.
func (t *snapshotTransfer) retransmit() { t.sent, t.ticksWaiting = t.acknowledged, 0 }

// reject records that the follower has rejected the snapshot. The transfer restarts after a pause.
func (t *snapshotTransfer) reject() {
	if t.pauseTicks == 0 {
		t.pauseTicks = rejectedSnapshotPauseTicks << min(t.rejections, maxRejectionDoublings)
		t.rejections++
	}
	t.acknowledged, t.timeouts = 0, 0
	t.retransmit()
}

// acknowledge records the number of bytes that the follower has. It returns false if the message is
// a duplicate or outdated, so that nothing is sent in response.
func (t *snapshotTransfer) acknowledge(bytes int) bool {
	switch {
	case bytes > t.acknowledged:
		t.acknowledged, t.sent, t.ticksWaiting, t.timeouts = bytes, max(t.sent, bytes), 0, 0
		return true
	case bytes < t.acknowledged && t.timeouts > 0: // it has lost received bytes, for example by a restart
		t.acknowledged = bytes
		t.retransmit()
		return true
	}
	return false
}

// sendSnapshot sends a follower the next chunks of a snapshot, or the whole snapshot if it is no
// larger than one chunk.
func (n *Node) sendSnapshot(id ID, p *progress) {
	t := p.transfer
	if t == nil || t.snapshot.Index < n.log.base { // none, or the entries after it are compacted
		t = &snapshotTransfer{snapshot: n.log.snapshot, checksum: xxhash.Sum64(n.log.snapshot.Data)}
		p.transfer, p.catchingUp = t, true
	}
	if t.pauseTicks > 0 {
		return
	}
	size := len(t.snapshot.Data)
	if size <= n.cfg.ChunkBytes { // older versions support no other message for snapshots
		if t.sent == 0 {
			s := t.snapshot
			n.send(Message{
				Kind:     InstallSnapshot,
				To:       id,
				Term:     n.hardState.Term,
				Round:    n.heartbeatRound,
				Snapshot: &s,
			})
			t.sent = max(1, size)
		}
		return
	}
	for t.sent < size && t.sent-t.acknowledged < n.cfg.MaxInflightChunks*n.cfg.ChunkBytes {
		chunk := t.snapshot
		end := min(size, t.sent+n.cfg.ChunkBytes)
		chunk.Data = chunk.Data[t.sent:end:end]
		n.send(Message{
			Kind:             SnapshotChunk,
			To:               id,
			Term:             n.hardState.Term,
			Round:            n.heartbeatRound,
			Snapshot:         &chunk,
			Offset:           uint64(t.sent),
			SnapshotSize:     uint64(size),
			SnapshotChecksum: t.checksum,
		})
		t.sent = end
	}
}

// handleSnapshotChunkReply updates the transfer of a snapshot to a follower, and continues it.
func (n *Node) handleSnapshotChunkReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.acknowledge(m.Round, n.heartbeatRound)
	t := p.transfer
	if t == nil || m.Index != t.snapshot.Index || m.SnapshotChecksum != t.checksum {
		return // a reply about another snapshot
	}
	if m.Reject {
		t.reject()
		return
	}
	if t.acknowledge(int(min(m.Offset, uint64(len(t.snapshot.Data))))) {
		n.sendSnapshot(m.From, p)
	}
}
