package raft

import "github.com/cespare/xxhash/v2"

// MaxSnapshotBytes is the largest snapshot that a member accepts in chunks.
const MaxSnapshotBytes = 64 << 20

// snapshotAssembly is a snapshot of which chunks have arrived: its first len(snapshot.Data)
// bytes. Equal index, term, size and checksum are the same bytes, whichever leader sends them.
type snapshotAssembly struct {
	snapshot Snapshot
	size     uint64 // bytes of the complete snapshot
	checksum uint64 // xxhash of the complete snapshot
	term     uint64 // of the latest leader that sent a chunk of it
}

// newSnapshotAssembly returns the assembly of the snapshot that a message has a chunk of. Its
// memory is allocated once: no chunk moves the others.
func newSnapshotAssembly(m *Message) *snapshotAssembly {
	a := &snapshotAssembly{snapshot: *m.Snapshot, size: m.SnapshotSize, checksum: m.SnapshotChecksum}
	a.snapshot.Data = make([]byte, 0, m.SnapshotSize)
	return a
}

// matches reports whether a message has a chunk of this snapshot.
func (a *snapshotAssembly) matches(m *Message) bool {
	return a.snapshot.Index == m.Snapshot.Index && a.snapshot.Term == m.Snapshot.Term &&
		a.size == m.SnapshotSize && a.checksum == m.SnapshotChecksum
}

// olderThan reports whether a message has a chunk of a later snapshot. The snapshots of one leader
// only become later; those of a new leader may be earlier than those of the last one.
func (a *snapshotAssembly) olderThan(m *Message) bool {
	return m.Term > a.term || m.Snapshot.Index > a.snapshot.Index
}

// add adds a chunk, unless it is a duplicate, or one before it is missing.
func (a *snapshotAssembly) add(offset uint64, data []byte) {
	if offset == a.received() {
		a.snapshot.Data = append(a.snapshot.Data, data...)
	}
}

// received is how many bytes have arrived.
func (a *snapshotAssembly) received() uint64 { return uint64(len(a.snapshot.Data)) }

// handleSnapshotChunk adds a chunk to those that have arrived. A complete snapshot is installed.
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
		return // late, of a transfer that was given up
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
	if xxhash.Sum64(a.snapshot.Data) != a.checksum { // damaged on its way
		n.rejectSnapshot(n.chunkReply(m))
		return
	}
	m.Snapshot = &a.snapshot
	n.installSnapshot(m)
}

// chunkReply returns the reply to a chunk, without what is held.
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

// rejectSnapshot counts a snapshot that can't be used, and notifies its sender.
func (n *Node) rejectSnapshot(reply Message) {
	n.rejectedSnapshots++
	reply.Reject = true
	n.send(reply)
}

// installSnapshot replaces the log by a complete snapshot, unless all of it is here. One that
// the host can't restore is refused: this member keeps what it has.
func (n *Node) installSnapshot(m Message) {
	s := m.Snapshot
	switch {
	case n.log.covers(s):
		n.log.committed = max(n.log.committed, s.Index)
	case n.cfg.ValidateSnapshot != nil && n.cfg.ValidateSnapshot(s) != nil:
		reply := n.chunkReply(m)
		reply.SnapshotChecksum = xxhash.Sum64(s.Data) // a snapshot in one message has none
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
