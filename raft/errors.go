package raft

import "errors"

// The errors of [Node.Propose] and [Node.ProposeMembers].
var (
	// ErrNotLeader: only the leader accepts proposals; see [Node.Leader].
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrChangePending: another membership change is not committed yet, or the leader has not
	// committed an entry in its term yet. The caller may retry later.
	ErrChangePending = errors.New("raft: a membership change is pending, or no entry of the term is committed")
	// ErrInvalidChange: the membership change is larger than one voter added and one removed,
	// leaves no voters, or is a swap that drops the replaced voter from the list of members.
	ErrInvalidChange = errors.New("raft: a membership change may add at most one voter and remove at most one, " +
		"must leave at least one, and must keep a replaced voter as a learner")
	// ErrJointUnsupported: a voter runs a version without joint consensus, or is not known to
	// run one that has it. The caller may add and remove voters one by one instead.
	ErrJointUnsupported = errors.New("raft: not all voters are known to support joint consensus")
)
