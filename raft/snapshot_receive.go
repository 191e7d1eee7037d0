package raft

import "github.com/cespare/xxhash/v2"

// MaxSnapshotBytes is the largest snapshot that a member accepts in chunks.
const MaxSnapshotBytes = 64 << 20

// snapshotAssembly is a partially received snapshot: its first len(snapshot.Data) bytes have
// arrived. Snapshots with equal index, term, size and checksum are identical, whichever leader sends
// them.
type snapshotAssembly struct {
	snapshot Snapshot
	size     uint64 // bytes of the complete snapshot
	checksum uint64 // xxhash of the complete snapshot
	term     uint64 // term of the last chunk received
}

// newSnapshotAssembly returns an empty assembly for the snapshot of a chunk. The memory for the
// complete snapshot is allocated at once, so that appending chunks does not copy earlier ones.
func newSnapshotAssembly(m *Message) *snapshotAssembly {
	a := &snapshotAssembly{snapshot: *m.Snapshot, size: m.SnapshotSize, checksum: m.SnapshotChecksum}
	a.snapshot.Data = make([]byte, 0, m.SnapshotSize)
	return a
}

// matches reports whether a message carries a chunk of this snapshot.
func (a *snapshotAssembly) matches(m *Message) bool {
	return a.snapshot.Index == m.Snapshot.Index && a.snapshot.Term == m.Snapshot.Term &&
		a.size == m.SnapshotSize && a.checksum == m.SnapshotChecksum
}

// olderThan reports whether a chunk of another snapshot supersedes this assembly: it is from a later
// term, or its snapshot has a higher index. The snapshots of one leader have increasing indexes, but
// a new leader may send one with a lower index than its predecessor did.
func (a *snapshotAssembly) olderThan(m *Message) bool {
	return m.Term > a.term || m.Snapshot.Index > a.snapshot.Index
}

// add appends a chunk, unless it is a duplicate or an earlier chunk is missing.
func (a *snapshotAssembly) add(offset uint64, data []byte) {
	if offset == a.received() {
		a.snapshot.Data = append(a.snapshot.Data, data...)
	}
}

// received returns the number of bytes received so far.
func (a *snapshotAssembly) received() uint64 { return uint64(len(a.snapshot.Data)) }

// handleSnapshotChunk adds a chunk to the incoming snapshot, and installs the snapshot once it is
// complete.
func (n *Node) handleSnapshotChunk(m Message) {
	if n.log.covers(m.Snapshot) {
		n.incomingSnapshot = nil
		n.installSnapshot(m)
		return
	}
	a := n.incomingSnapshot
	switch {
	case a == nil || !a.matches(&m) && a.olderThan(&m):
		a = newSnapshotAssembly(&m)
		n.incomingSnapshot = a
	case !a.matches(&m):
		return // a delayed chunk of an abandoned transfer
	}
	a.term = m.Term
	a.add(m.Offset, m.Snapshot.Data)
	if a.received() < a.size {
		reply := n.chunkReply(m)
		reply.Offset = a.received()
		n.send(reply)
		return
	}
	n.incomingSnapshot = nil
	if xxhash.Sum64(a.snapshot.Data) != a.checksum { // corrupted in transit
		n.rejectSnapshot(n.chunkReply(m))
		return
	}
	m.Snapshot = &a.snapshot
	n.installSnapshot(m)
}

// chunkReply returns a SnapshotChunkReply to a message that carries a snapshot or a chunk of one. The
// caller sets Offset or Reject.
func (n *Node) chunkReply(m Message) Message {
	return Message{
		Kind:             SnapshotChunkReply,
		To:               m.From,
		Term:             n.hardState.Term,
		Round:            m.Round,
		Index:            m.Snapshot.Index,
		SnapshotChecksum: m.SnapshotChecksum,
	}
}

// rejectSnapshot counts an unusable snapshot and sends its rejection.
func (n *Node) rejectSnapshot(reply Message) {
	n.rejectedSnapshots++
	reply.Reject = true
	n.send(reply)
}

// installSnapshot replaces the log with a complete snapshot, unless the log already has all entries
// that the snapshot contains. A snapshot that the host can't restore is rejected and the log stays
// as it is.
func (n *Node) installSnapshot(m Message) {
	s := m.Snapshot
	switch {
	case n.log.covers(s):
		n.log.committed = max(n.log.committed, s.Index)
	case n.cfg.ValidateSnapshot != nil && n.cfg.ValidateSnapshot(s) != nil:
		reply := n.chunkReply(m)
		reply.SnapshotChecksum = xxhash.Sum64(s.Data) // InstallSnapshot carries no checksum
		n.rejectSnapshot(reply)
		return
	default:
		n.log.restore(s)
		n.installedSnapshot, n.incomingSnapshot = s, nil
		n.updateMembers()
	}
	n.send(Message{
		Kind:  AppendEntriesReply,
		To:    m.From,
		Term:  n.hardState.Term,
		Round: m.Round,
		Index: max(n.log.committed, s.Index),
	})
}
