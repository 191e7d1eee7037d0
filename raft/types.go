package raft

import "fmt"

// ID identifies a member. A member that starts with an empty disk gets a new ID; IDs are never
// reused.
type ID uint64

// Member is a process that replicates the log, either as a voter or as a non-voting learner.
type Member struct {
	ID    ID     `cbor:"1,keyasint"`
	Addr  string `cbor:"2,keyasint"` // host:port, for the transport
	Voter bool   `cbor:"3,keyasint"` // a voter; in a joint change, of the incoming set
	// Outgoing is set only by the leader in the entry of a joint change: the member belongs to
	// the outgoing voter set. A member with neither Voter nor Outgoing is a learner.
	Outgoing bool `cbor:"4,keyasint,omitempty"`
	// SupportsJoint is set once the member has reported that it supports joint consensus. It
	// is stored in the log because a leader needs it also for voters that have never replied
	// to it.
	SupportsJoint bool `cbor:"5,keyasint,omitempty"`
}

// isVoter reports whether the member belongs to a voter set, incoming or outgoing.
func (m *Member) isVoter() bool { return m.Voter || m.Outgoing }

// Entry is one entry of the log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"` // position in the log; the first is 1
	Term  uint64 `cbor:"2,keyasint"` // of the leader that created it
	// Data is the command for the replicated service. It is empty in an entry that changes
	// members, and in the entry that each leader appends at the start of its term.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Members, if set, is the complete list of members from this entry on.
	Members []Member `cbor:"4,keyasint,omitempty"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"` // of the last entry that it replaces
	Term    uint64   `cbor:"2,keyasint"` // of that entry
	Members []Member `cbor:"3,keyasint"` // as of that entry
	Data    []byte   `cbor:"4,keyasint,omitempty"`
}

// HardState is the term and vote of a member. A change must be on stable storage before any message
// that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"` // the current term
	Vote ID     `cbor:"2,keyasint"` // the candidate voted for in Term; 0: none
}

// PersistentState is the content of a host's stable storage. The zero value is an empty disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // the entries after the snapshot, without gaps
}

// Role is the current role of a member.
type Role uint8

// The roles. Follower is the zero value. A member is a Candidate during a pre-vote, too.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the name of the role in lower case.
func (r Role) String() string {
	names := [...]string{"follower", "candidate", "leader"}
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("role %d", uint8(r))
}
