package keys

import "errors"

var (
	// ErrAuthorityExists is returned by [InitAuthority] where the folder has an authority
	// already: writing another over it would lock all machines out.
	ErrAuthorityExists = errors.New("keys: there is an authority in this folder already")
	// ErrNotSealed is returned by [Sealer.Open] for a datagram that was not sealed with a
	// trusted key, was changed on its way, or is a replay. The datagram is dropped.
	ErrNotSealed = errors.New("keys: a datagram is not sealed by the system")
)
