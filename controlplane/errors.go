package controlplane

import "errors"

// ErrDeltaUnavailable means that a member has a delta no more, or that its chunks don't fit together:
// the next watch brings another one.
var ErrDeltaUnavailable = errors.New("controlplane: the delta is not available any more")

// errChunksLost means that a member has lost what it held of messages in chunks.
var errChunksLost = errors.New("controlplane: the member holds no beginning of these chunked messages")
