package raft

import "fmt"

// ID names a member. A new one is made for each empty disk, and none is used again.
type ID uint64

// Member is a process that holds the log: a voter, or a learner that only receives it.
type Member struct {
	ID    ID     `cbor:"1,keyasint"`
	Addr  string `cbor:"2,keyasint"` // host:port, for the transport
	Voter bool   `cbor:"3,keyasint"` // counts toward majorities; false: a learner
	// Outgoing is set by the leader in the entry of a joint change only: the member counts
	// toward the majorities of the outgoing set of voters.
	Outgoing bool `cbor:"4,keyasint,omitempty"`
	// SupportsJoint is set once the member has said that it understands joint changes. It is
	// stored in the log, as a leader must know it of voters that have never answered it.
	SupportsJoint bool `cbor:"5,keyasint,omitempty"`
}

// isVoter reports whether the member counts toward the majorities of any set of voters.
func (m *Member) isVoter() bool { return m.Voter || m.Outgoing }

// Entry is one entry of the log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint"` // position in the log; the first is 1
	Term  uint64 `cbor:"2,keyasint"` // of the leader that created it
	// Data is the command for the replicated service. It is empty in an entry that changes
	// members, and in the one that each leader adds at the start of its term.
	Data []byte `cbor:"3,keyasint,omitempty"`
	// Members, where set, are all members from this entry on.
	Members []Member `cbor:"4,keyasint,omitempty"`
}

// Snapshot stands for the log up to and including Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"` // of the last entry that it stands for
	Term    uint64   `cbor:"2,keyasint"` // of that entry
	Members []Member `cbor:"3,keyasint"` // as of that entry
	Data    []byte   `cbor:"4,keyasint,omitempty"`
}

// HardState is what a member must have on stable storage before it sends anything that
// follows from it.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"` // the latest that the member has seen
	Vote ID     `cbor:"2,keyasint"` // whom it voted for in Term; 0: nobody
}

// PersistentState is what a host has on stable storage. The zero value is an empty disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // those after the snapshot, without a gap
}

// Role is what a member is at the moment.
type Role uint8

// The roles. Follower is the zero value.
const (
	Follower Role = iota
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	names := [...]string{"follower", "candidate", "leader"}
	if int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("role %d", uint8(r))
}
