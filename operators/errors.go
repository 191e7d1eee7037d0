package operators

import "errors"

// Why a call is refused. The texts are the bodies of the answers: [AccessControl.Handler]
// answers 401 to the first two and 403 to the third.
var (
	// ErrNoToken: the call has no Authorization header with a bearer token.
	ErrNoToken = errors.New("a token is needed: Authorization: Bearer TOKEN")
	// ErrUnknownToken: no operator has this token, or it has expired.
	ErrUnknownToken = errors.New("the token is not known, or has expired")
	// ErrRoleNotAllowed: the operator is known and its role does not include the call.
	ErrRoleNotAllowed = errors.New("the token's role does not allow this call")
)
