package discovery

import "errors"

var (
	// ErrRateLimited is returned if the platform's rate limit is exceeded (HTTP 429). The
	// caller should retry later.
	ErrRateLimited = errors.New("discovery: platform rate limit exceeded")
	// ErrTooLarge is returned for a list with too many pages or a page with too many bytes.
	ErrTooLarge = errors.New("discovery: server list too large")
	// ErrNoMembers is returned for a page without a member list, as opposed to an empty one: it
	// does not state that there are no servers.
	ErrNoMembers = errors.New("discovery: page has no members field")
)
