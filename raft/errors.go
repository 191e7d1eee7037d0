package raft

import "errors"

// The errors of [Node.Propose] and [Node.ProposeMembers].
var (
	// ErrNotLeader: only the leader accepts proposals; see [Node.Leader].
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrChangePending: another membership change is not committed yet, or that
	// the leader has committed nothing in its term yet. The caller may try again later.
	ErrChangePending = errors.New("raft: a change of members is not through yet")
	// ErrInvalidChange: a membership change is larger than one voter added and
	// one removed.
	ErrInvalidChange = errors.New("raft: a change may add one voter and take the vote of one at most")
	// ErrJointUnsupported: a voter runs a version without joint consensus, or is
	// not known to run one with it. The caller may add and remove voters one by one.
	ErrJointUnsupported = errors.New("raft: not all voters are known to understand joint changes")
)
