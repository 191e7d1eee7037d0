package raft

import "fmt"

// MessageKind is the kind of a message.
type MessageKind uint8

// The kinds of messages. A reply has the number after that of its request. A member ignores
// kinds that it does not know, such as those of a newer version.
const (
	// PreVoteRequest asks whether a vote for the sender would be granted (9.6).
	PreVoteRequest MessageKind = iota + 1
	// PreVoteReply grants that, or rejects it.
	PreVoteReply
	// VoteRequest asks for a vote (RequestVote in the paper).
	VoteRequest
	// VoteReply grants it, or rejects it.
	VoteReply
	// AppendEntries replicates entries. Without entries it is the heartbeat.
	AppendEntries
	// AppendEntriesReply acknowledges entries, or rejects them as they do not fit the log.
	AppendEntriesReply
	// InstallSnapshot carries a complete snapshot.
	InstallSnapshot
	// TimeoutNow asks the receiver to begin an election at once (3.10).
	TimeoutNow
	// SnapshotChunk carries a part of a snapshot. Older versions know neither this kind
	// nor the next.
	SnapshotChunk
	// SnapshotChunkReply acknowledges how much of a snapshot the sender holds, or refuses it.
	SnapshotChunkReply
	// DurabilityLost notifies a member that its log lacks entries that it has acknowledged to
	// this leader.
	DurabilityLost
)

// String returns the kind in lower case.
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

// Message goes from one member to another. It may be lost, late or duplicated. The CBOR keys
// are part of the protocol between versions.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From ID          `cbor:"2,keyasint"`
	To   ID          `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"` // of the sender; in a pre-vote request the next one
	// Index is the entry before Entries; in a vote request the last entry of the candidate.
	// In a reply it is the last entry that fits, or, if Reject is set, the last entry that
	// may fit. In the reply to a chunk it is the index of the snapshot.
	Index   uint64 `cbor:"5,keyasint,omitempty"`
	LogTerm uint64 `cbor:"6,keyasint,omitempty"` // of the entry at Index
	Commit  uint64 `cbor:"7,keyasint,omitempty"` // commit index of the leader
	// Round is the heartbeat round of the leader, copied into replies; see
	// [Node.NextReadIndexRound].
	Round  uint64 `cbor:"8,keyasint,omitempty"`
	Reject bool   `cbor:"9,keyasint,omitempty"`
	// LeadershipTransfer, in a vote request, is set if the leader itself asked for the
	// election: the receiver does not protect that leader (3.10, 4.2.3).
	LeadershipTransfer bool `cbor:"10,keyasint,omitempty"`
	// SupportsJoint, in an AppendEntriesReply, is set if the sender understands joint changes.
	SupportsJoint bool    `cbor:"20,keyasint,omitempty"`
	Entries       []Entry `cbor:"11,keyasint,omitempty"`
	// Snapshot of a chunk has the bytes from Offset on as its Data.
	Snapshot *Snapshot `cbor:"12,keyasint,omitempty"`
	// Offset is where a chunk begins; in its reply, how many bytes the sender holds.
	Offset       uint64 `cbor:"13,keyasint,omitempty"`
	SnapshotSize uint64 `cbor:"14,keyasint,omitempty"` // of a chunk: bytes of the complete snapshot
	// SnapshotChecksum of a chunk and its reply is the xxhash of the complete snapshot.
	SnapshotChecksum uint64 `cbor:"15,keyasint,omitempty"`
	// RejectedIndex, in a rejection, is the Index of the request; 0 from older versions.
	RejectedIndex uint64 `cbor:"16,keyasint,omitempty"`
}

// maxUrgentBytes is the largest payload of a message that travels with the heartbeats; see
// [Message.IsBulk].
const maxUrgentBytes = 1 << 10

// PayloadSize is the size of the entries and the snapshot in a message, in bytes.
func (m *Message) PayloadSize() (bytes int) {
	for i := range m.Entries {
		bytes += entrySize(&m.Entries[i])
	}
	if m.Snapshot != nil {
		bytes += len(m.Snapshot.Data)
	}
	return bytes
}

// IsBulk reports whether a message may occupy a link for long, and must not delay the others:
// heartbeats, votes and replies. Those may overtake it.
func (m *Message) IsBulk() bool { return m.Kind == SnapshotChunk || m.PayloadSize() > maxUrgentBytes }

// maxIndex bounds terms and indexes, so that no sum of them overflows.
const maxIndex = 1 << 60

// isWellFormed reports whether a member may have sent this message: its entries follow on each
// other, and are of no later term than the message. Others would corrupt the log.
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

// hasWellFormedSnapshot reports whether the snapshot of a message, or the chunk of one, is within
// its bounds.
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
