package controlplane

import "errors"

// ErrDeltaGone tells that a member has a delta no more, or that its chunks don't fit together:
// the next watch brings another one.
var ErrDeltaGone = errors.New("controlplane: the delta is not available any more")

// errChunksGone tells that a member has lost what it held of messages in chunks.
var errChunksGone = errors.New("controlplane: the member holds no beginning of these chunked messages")
