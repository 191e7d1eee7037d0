package controlplane

import "errors"

// ErrDeltaUnavailable means that a member no longer has a delta, or that its chunks don't fit
// together. The next watch returns another delta.
var ErrDeltaUnavailable = errors.New("controlplane: the delta is no longer available")

// errChunksLost means that a member has lost the chunks that it had received of the messages.
var errChunksLost = errors.New("controlplane: the receiver has lost the earlier chunks of these messages")

// ErrRevisionNotKept means that the state doesn't have the configuration of a revision: it was
// never applied, or is too old.
var ErrRevisionNotKept = errors.New("controlplane: the configuration of this revision is not kept")

// ErrInvalidExport means that a file is not an export, is incomplete, or contains an inconsistent
// state.
var ErrInvalidExport = errors.New("controlplane: not a complete state export")

// ErrStoreNotEmpty means that the store into which a state is to be restored already has one.
var ErrStoreNotEmpty = errors.New("controlplane: the store already has a state; a restore needs an empty directory")
