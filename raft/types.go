// Package raft is the replicated log of the control plane: a Raft state
// machine (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm") with pre-vote, check-quorum, snapshots, leadership transfer and
// membership changes of one voter at a time.
//
// A [Node] has no input, output, clock or goroutine. The host calls Tick at a
// steady pace, Step for each message, and then carries out [Node.Ready]: it
// stores first, sends and applies afterwards, and calls Advance. Equal seeds
// and equal calls give equal results.
package raft

import "slices"

// ID names a member. One is made for each empty disk and never used again.
type ID uint64

// Member is a process that holds the log.
type Member struct {
	ID    ID     `cbor:"1,keyasint"`
	Addr  string `cbor:"2,keyasint"` // where it is reached, for the transport
	Voter bool   `cbor:"3,keyasint"` // counts toward majorities; else it only learns
	// Old is set in a joint change only, by the leader: the member counts toward the
	// majorities of the set that is on its way out.
	Outgoing bool `cbor:"4,keyasint,omitempty"`
	// Joint: it has said that it understands joint changes. Written down, as a leader
	// must know it of voters that it never heard of.
	SupportsJoint bool `cbor:"5,keyasint,omitempty"`
}

// votes tells whether the member counts toward any majority.
func (m *Member) votes() bool { return m.Voter || m.Outgoing }

// Entry is one place of the log.
type Entry struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Data    []byte   `cbor:"3,keyasint,omitempty"`
	Members []Member `cbor:"4,keyasint,omitempty"` // a change of members: all of them from here on
}

// Snapshot stands for the log up to and with Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint,omitempty"`
}

// HardState must be on disk before anything is sent that follows from it.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote ID     `cbor:"2,keyasint"`
}

// Stored is what a host has on disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // those behind the snapshot, without a gap
}

// Kind is the kind of a message.
type MessageKind uint8

// The kinds of messages.
const (
	PreVoteRequest MessageKind = iota + 1
	PreVoteReply
	VoteRequest
	VoteReply
	AppendEntries // also the heartbeat
	AppendEntriesReply
	InstallSnapshot // a whole snapshot
	TimeoutNow
	SnapshotChunk // of a snapshot; members of before know neither this kind nor the next, and ignore both
	SnapshotChunkReply
	// Forgotten tells a member that its log lacks what it has acknowledged to this leader.
	DurabilityLost
)

// Message goes from one member to another. It may be lost, late or doubled.
type Message struct {
	Kind               MessageKind `cbor:"1,keyasint"`
	From               ID          `cbor:"2,keyasint"`
	To                 ID          `cbor:"3,keyasint"`
	Term               uint64      `cbor:"4,keyasint"`
	Index              uint64      `cbor:"5,keyasint,omitempty"` // before the entries; in replies: matched, or the last of the log
	LogTerm            uint64      `cbor:"6,keyasint,omitempty"`
	Commit             uint64      `cbor:"7,keyasint,omitempty"`
	Round              uint64      `cbor:"8,keyasint,omitempty"` // of heartbeats, echoed in replies
	Reject             bool        `cbor:"9,keyasint,omitempty"`
	LeadershipTransfer bool        `cbor:"10,keyasint,omitempty"` // a vote asked for by the leader itself
	SupportsJoint      bool        `cbor:"20,keyasint,omitempty"` // in replies: the sender understands joint changes
	Entries            []Entry     `cbor:"11,keyasint,omitempty"`
	Snapshot           *Snapshot   `cbor:"12,keyasint,omitempty"` // of a piece: with the bytes from Offset on
	// Of a piece: where it begins, the size of the whole in bytes, and the xxhash of the
	// whole. Of its reply: how many bytes are held, and the sum.
	Offset           uint64 `cbor:"13,keyasint,omitempty"`
	SnapshotSize     uint64 `cbor:"14,keyasint,omitempty"`
	SnapshotChecksum uint64 `cbor:"15,keyasint,omitempty"`
	// Tried is, in a rejection, the index that did not fit; 0 from members of before.
	RejectedIndex uint64 `cbor:"16,keyasint,omitempty"`
}

// Weight is what a message has of entries and snapshots, in bytes.
func (m *Message) PayloadSize() (bytes int) {
	for i := range m.Entries {
		bytes += weight(&m.Entries[i])
	}
	if m.Snapshot != nil {
		bytes += len(m.Snapshot.Data)
	}
	return bytes
}

// Bulk tells that a message may take a link's time and must not delay the others:
// heartbeats, votes and answers. It may be overtaken by them.
func (m *Message) IsBulk() bool { return m.Kind == SnapshotChunk || m.PayloadSize() > smallBytes }

// Role is what a member is at the moment.
type Role uint8

// The roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

func (r Role) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// Ready is what the host has to do, in this order: store Hard, Snapshot and
// Entries (which replace all from their first index on) and sync them; send
// Messages; apply Snapshot and then Committed.
type Ready struct {
	HardState        *HardState
	Snapshot         *Snapshot
	Entries          []Entry
	Messages         []Message
	CommittedEntries []Entry
}

// Empty tells that there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.CommittedEntries) == 0
}

// MustSync tells that something has to be on disk before the messages go out.
func (r *Ready) MustSync() bool { return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// voters are the members that count toward a majority of the set on its way in,
// outgoing those of the set on its way out: none, unless a joint change is under way.
func voters(ms []Member) (ids []ID) {
	for _, m := range ms {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func outgoing(ms []Member) (ids []ID) {
	for _, m := range ms {
		if m.Outgoing {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// sets are the sets of voters of which a majority each is needed.
func sets(ms []Member) [][]ID {
	if old := outgoing(ms); len(old) > 0 {
		return [][]ID{voters(ms), old}
	}
	return [][]ID{voters(ms)}
}

func find(ms []Member, id ID) *Member {
	if i := slices.IndexFunc(ms, func(m Member) bool { return m.ID == id }); i >= 0 {
		return &ms[i]
	}
	return nil
}
