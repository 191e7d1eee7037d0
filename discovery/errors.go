package discovery

import "errors"

var (
	// ErrRateLimited is returned when the platform's rate limit is exceeded (HTTP 429). The
	// caller asks again later.
	ErrRateLimited = errors.New("discovery: over the platform's rate limit")
	// ErrTooLarge is returned for a list or a page that exceeds the bounds.
	ErrTooLarge = errors.New("discovery: the server list is too large")
)
