package raft

import "github.com/cespare/xxhash/v2"

// A snapshot that does not fit into one message goes to a follower in chunks, each acknowledged
// by how many bytes of the snapshot the follower holds. A lost message so costs one chunk, and
// neither a slow link nor the size of the state keeps a follower from catching up
// (docs/decisions/0013). Heartbeats, votes and entries go on beside it.

const (
	// maxBackoffDoublings bounds how often the time-out of a transfer is doubled.
	maxBackoffDoublings = 3
	// rejectedSnapshotPauseTicks is how long a snapshot that a follower refused is not sent to it
	// again. It doubles with each refusal, up to maxRejectionDoublings times.
	rejectedSnapshotPauseTicks = 10
	maxRejectionDoublings      = 5
)

// snapshotTransfer is a snapshot on its way to a follower, as the leader sees it. It stays the
// same snapshot, whatever snapshots are made meanwhile, while the log goes on from it.
type snapshotTransfer struct {
	snapshot     Snapshot
	checksum     uint64 // xxhash of the data
	acknowledged int    // bytes that the follower holds
	sent         int    // bytes that were sent; those behind acknowledged are in flight
	ticksWaiting int    // ticks since the last progress
	timeouts     int    // time-outs in a row
	rejections   int    // how often the follower refused the snapshot
	pauseTicks   int    // ticks for which nothing is sent, after a refusal
}

// tick counts one tick, and sends again what is overdue, with exponential backoff.
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

// retransmit has all that is not acknowledged sent again.
func (t *snapshotTransfer) retransmit() { t.sent, t.ticksWaiting = t.acknowledged, 0 }

// reject records that the follower can't use the snapshot: it starts over after a pause.
func (t *snapshotTransfer) reject() {
	if t.pauseTicks == 0 {
		t.pauseTicks = rejectedSnapshotPauseTicks << min(t.rejections, maxRejectionDoublings)
		t.rejections++
	}
	t.acknowledged, t.timeouts = 0, 0
	t.retransmit()
}

// acknowledge records how many bytes the follower holds. It returns false for a duplicated or
// late message, after which nothing is to be sent.
func (t *snapshotTransfer) acknowledge(bytes int) bool {
	switch {
	case bytes > t.acknowledged:
		t.acknowledged, t.sent, t.ticksWaiting, t.timeouts = bytes, max(t.sent, bytes), 0, 0
		return true
	case bytes < t.acknowledged && t.timeouts > 0: // it has lost what it had, as after a restart
		t.acknowledged = bytes
		t.retransmit()
		return true
	}
	return false
}

// sendSnapshot sends a follower the next chunks of a snapshot, or all of it if it is small.
func (n *Node) sendSnapshot(id ID, p *progress) {
	t := p.transfer
	if t == nil || t.snapshot.Index < n.log.base { // none, or the log does not go on from it any more
		t = &snapshotTransfer{snapshot: n.log.snapshot, checksum: xxhash.Sum64(n.log.snapshot.Data)}
		p.transfer, p.catchingUp = t, true
	}
	if t.pauseTicks > 0 {
		return
	}
	size := len(t.snapshot.Data)
	if size <= n.cfg.ChunkBytes { // older versions know this kind of message only
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

// handleSnapshotChunkReply records how much of a snapshot a follower holds.
func (n *Node) handleSnapshotChunkReply(m Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.acknowledge(m.Round, n.heartbeatRound)
	t := p.transfer
	if t == nil || m.Index != t.snapshot.Index || m.SnapshotChecksum != t.checksum {
		return // of another snapshot
	}
	if m.Reject {
		t.reject()
		return
	}
	if t.acknowledge(int(min(m.Offset, uint64(len(t.snapshot.Data))))) {
		n.sendSnapshot(m.From, p)
	}
}
