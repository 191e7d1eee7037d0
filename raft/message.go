package raft

import "fmt"

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds of messages. If a request has a reply kind of its own, that has the next number. A member
// ignores unknown kinds, such as those of a newer version.
const (
	// PreVoteRequest asks whether a vote for the sender would be granted (9.6).
	PreVoteRequest MessageKind = iota + 1
	// PreVoteReply grants or rejects a pre-vote.
	PreVoteReply
	// VoteRequest asks for a vote (RequestVote in the paper).
	VoteRequest
	// VoteReply grants or rejects a vote.
	VoteReply
	// AppendEntries replicates entries. Without entries it is a heartbeat.
	AppendEntries
	// AppendEntriesReply acknowledges entries or a complete snapshot. It rejects entries if the
	// entry before them does not match the log, and any message of a leader of an older term.
	AppendEntriesReply
	// InstallSnapshot carries a complete snapshot. The reply is an AppendEntriesReply or, if
	// the snapshot can't be installed, a SnapshotChunkReply.
	InstallSnapshot
	// TimeoutNow asks the receiver to start an election immediately (3.10).
	TimeoutNow
	// SnapshotChunk carries a part of a snapshot. The reply to the last chunk is that to
	// InstallSnapshot. Older versions support neither this kind nor SnapshotChunkReply.
	SnapshotChunk
	// SnapshotChunkReply acknowledges the bytes of a snapshot received so far, or rejects the
	// snapshot.
	SnapshotChunkReply
	// DurabilityLost notifies a member that its log lacks entries that it had acknowledged to
	// the leader that sends this.
	DurabilityLost
)

// String returns the name of the kind in lower case.
func (k MessageKind) String() string {
	names := [...]string{
		PreVoteRequest:     "pre-vote request",
		PreVoteReply:       "pre-vote reply",
		VoteRequest:        "vote request",
		VoteReply:          "vote reply",
		AppendEntries:      "append entries",
		AppendEntriesReply: "append entries reply",
		InstallSnapshot:    "install snapshot",
		TimeoutNow:         "timeout now",
		SnapshotChunk:      "snapshot chunk",
		SnapshotChunkReply: "snapshot chunk reply",
		DurabilityLost:     "durability lost",
	}
	if int(k) < len(names) && names[k] != "" {
		return names[k]
	}
	return fmt.Sprintf("message kind %d", uint8(k))
}

// Message is sent from one member to another. It may be lost, delayed, reordered or duplicated. The
// CBOR keys are part of the protocol between versions.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From ID          `cbor:"2,keyasint"`
	To   ID          `cbor:"3,keyasint"`
	// Term is the term of the sender. In a pre-vote request, and in a reply that grants it, it
	// is the candidate's term plus one.
	Term uint64 `cbor:"4,keyasint"`
	// Index is the index of the entry before Entries. In a vote request it is the index of the
	// candidate's last entry. In a reply it is the last index that matches the leader's log or,
	// if Reject is set, the last index that may match. In a SnapshotChunkReply it is the index
	// of the snapshot.
	Index   uint64 `cbor:"5,keyasint,omitempty"`
	LogTerm uint64 `cbor:"6,keyasint,omitempty"` // of the entry at Index
	Commit  uint64 `cbor:"7,keyasint,omitempty"` // commit index of the leader
	// Round is the heartbeat round of the leader, copied into replies; see
	// [Node.NextReadIndexRound].
	Round  uint64 `cbor:"8,keyasint,omitempty"`
	Reject bool   `cbor:"9,keyasint,omitempty"`
	// LeadershipTransfer, in a vote request, is set if the leader itself asked for the
	// election: the receiver then handles the request even if it still hears from that leader
	// (3.10, 4.2.3).
	LeadershipTransfer bool `cbor:"10,keyasint,omitempty"`
	// SupportsJoint, in an AppendEntriesReply, is set if the sender supports joint consensus.
	SupportsJoint bool    `cbor:"20,keyasint,omitempty"`
	Entries       []Entry `cbor:"11,keyasint,omitempty"`
	// Snapshot is a complete snapshot. In a chunk its Data are only the bytes of the chunk.
	Snapshot *Snapshot `cbor:"12,keyasint,omitempty"`
	// Offset is the position of a chunk in the snapshot, in bytes. In the reply to a chunk it is
	// the number of bytes, from the beginning, that the sender of the reply has.
	Offset       uint64 `cbor:"13,keyasint,omitempty"`
	SnapshotSize uint64 `cbor:"14,keyasint,omitempty"` // in a chunk: bytes of the complete snapshot
	// SnapshotChecksum, in a chunk and its reply, is the xxhash of the complete snapshot.
	SnapshotChecksum uint64 `cbor:"15,keyasint,omitempty"`
	// RejectedIndex, in the rejection of an AppendEntries that does not match the log, is the
	// Index of that request; 0 from older versions.
	RejectedIndex uint64 `cbor:"16,keyasint,omitempty"`
}

// maxUrgentBytes is the largest payload of a message that is sent with the same priority as
// heartbeats; see [Message.IsBulk].
const maxUrgentBytes = 1 << 10

// PayloadSize returns the size of the entries and the snapshot in the message, in bytes.
func (m *Message) PayloadSize() (bytes int) {
	for i := range m.Entries {
		bytes += entrySize(&m.Entries[i])
	}
	if m.Snapshot != nil {
		bytes += len(m.Snapshot.Data)
	}
	return bytes
}

// IsBulk reports whether the message is so large that it may occupy a link for a long time. It must
// not delay heartbeats, votes and replies, which may overtake it.
func (m *Message) IsBulk() bool { return m.Kind == SnapshotChunk || m.PayloadSize() > maxUrgentBytes }

// maxIndex is the largest valid term or index. It is low enough that sums do not overflow.
const maxIndex = 1 << 60

// isWellFormed reports whether the message is valid: its entries are consecutive, their terms do not
// decrease, and no term is later than that of the message. Other entries would corrupt the log.
func (m *Message) isWellFormed() bool {
	if m.Term > maxIndex || m.Index > maxIndex || m.LogTerm > m.Term {
		return false
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
	}
	if m.Kind == InstallSnapshot || m.Kind == SnapshotChunk {
		return m.hasWellFormedSnapshot()
	}
	return true
}

// hasWellFormedSnapshot reports whether the message has a snapshot, or a chunk of one, whose index,
// term and size are valid.
func (m *Message) hasWellFormedSnapshot() bool {
	s := m.Snapshot
	if s == nil || s.Index == 0 || s.Index > maxIndex || s.Term > m.Term {
		return false
	}
	if m.Kind == InstallSnapshot {
		return true
	}
	if m.SnapshotSize > MaxSnapshotBytes || m.Offset > m.SnapshotSize {
		return false
	}
	size := uint64(len(s.Data))
	return size > 0 && size <= m.SnapshotSize-m.Offset
}
