package keys

import "errors"

var (
	// ErrAuthorityExists is returned by [InitAuthority] if the folder already contains an
	// authority. Overwriting it would lock out all machines.
	ErrAuthorityExists = errors.New("keys: the folder already contains an authority")
	// ErrNotSealed is returned by [Sealer.Open] for a datagram that was not sealed with a
	// trusted key, was modified in transit, or is a replay from before the replay window. The
	// caller should drop the datagram.
	ErrNotSealed = errors.New("keys: datagram not authentic or replayed")
)
