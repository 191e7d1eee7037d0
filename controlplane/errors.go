package controlplane

import "errors"

// ErrDeltaUnavailable means that a member has a delta no more, or that its chunks don't fit together:
// the next watch brings another one.
var ErrDeltaUnavailable = errors.New("controlplane: the delta is not available any more")

// errChunksLost means that a member has lost what it held of messages in chunks.
var errChunksLost = errors.New("controlplane: the member holds no beginning of these chunked messages")

// ErrRevisionNotKept means that the configuration of a revision is not part of the state: it
// was never applied, or is too old.
var ErrRevisionNotKept = errors.New("controlplane: no configuration of this revision is kept")

// ErrInvalidExport means that a file is no export, not a complete one, or holds a state that
// no control plane can have.
var ErrInvalidExport = errors.New("controlplane: not a complete export of a state")

// ErrStoreNotEmpty means that a state was to be restored into a store that has one.
var ErrStoreNotEmpty = errors.New("controlplane: the store has a state already; a restore needs an empty folder")
