package operators

import "errors"

// Reasons to reject a call. The texts are sent as response bodies: [AccessControl.Handler]
// responds with 401 to the first two and with 403 to the third.
var (
	// ErrNoToken means that the call has no Authorization header with a bearer token.
	ErrNoToken = errors.New("a token is needed: Authorization: Bearer TOKEN")
	// ErrUnknownToken means that the token belongs to no operator or has expired.
	ErrUnknownToken = errors.New("the token is not known, or has expired")
	// ErrRoleNotAllowed means that the operator is authenticated but its role does not allow the call.
	ErrRoleNotAllowed = errors.New("the token's role does not allow this call")
)
