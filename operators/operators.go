// Package operators controls access to the operator interface: authentication, roles, a rate
// limit per caller and a limit on concurrent calls.
//
// An operator is a person or a program with a bearer token. The operators file holds the
// SHA-256 of each token, never the token itself. [Registry] holds the contents of the file and can
// reload it. [AccessControl] is the HTTP middleware that authenticates a call, checks the
// operator's role, enforces the limits and logs each change with the operator who made it.
// [Certificate] is the TLS certificate of the interface.
//
// Without an operators file anyone who can reach the port may make every call, and only the limits
// apply.
//
// Registry, AccessControl and Certificate are safe for concurrent use once they are set up.
package operators

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"time"
)

// Role determines which calls an operator may make. Its value is stored in the operators file.
type Role string

// The roles. Each includes the permissions of those before it.
const (
	// RoleRead allows all read-only calls. It can read the tenants' API keys, since they are part
	// of the configuration.
	RoleRead Role = "read"
	// RoleChange also allows replacing the configuration.
	RoleChange Role = "change"
)

// allows reports whether r includes the required role.
func (r Role) allows(required Role) bool {
	return r == required || r == RoleChange && required == RoleRead
}

// Operator is one entry of the operators file.
type Operator struct {
	// Name appears in logs. It has 1 to 64 characters, letters, digits and ._@-, and starts with a
	// letter or a digit. It is unique in the file.
	Name string `toml:"name"`
	Role Role   `toml:"role"`
	// Token is the SHA-256 of the token in hexadecimal. It is unique in the file.
	Token string `toml:"token_sha256"`
	// Expires is the time from which the token is rejected. Zero means that it never expires.
	Expires time.Time `toml:"expires,omitempty"`
}

// tokenBytes is the number of random bytes in a token.
const tokenBytes = 32

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)

// New returns an operator with a random token, and the token. The token can't be recovered later,
// because the operator stores only its hash.
func New(name string, role Role, expires time.Time) (o Operator, token string, err error) {
	random := make([]byte, tokenBytes)
	if _, err := rand.Read(random); err != nil {
		return Operator{}, "", fmt.Errorf("operators: %w", err)
	}
	token = base64.RawURLEncoding.EncodeToString(random)
	o = Operator{Name: name, Role: role, Token: hashToken(token), Expires: expires}
	return o, token, o.validate()
}

// hashToken returns the hash of a token as it is stored in the file.
func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// validate returns all problems of an entry, joined into one error.
func (o *Operator) validate() error {
	var errs []error
	if !validName.MatchString(o.Name) {
		errs = append(errs, fmt.Errorf(
			"name %q: must be 1 to 64 letters, digits and ._@-, starting with a letter or digit", o.Name))
	}
	if o.Role != RoleRead && o.Role != RoleChange {
		errs = append(errs, fmt.Errorf("role %q: must be one of %s, %s", o.Role, RoleRead, RoleChange))
	}
	if b, err := hex.DecodeString(o.Token); err != nil || len(b) != sha256.Size {
		errs = append(errs, errors.New("token_sha256: must be 64 hexadecimal digits"))
	}
	return errors.Join(errs...)
}

// expired reports whether the token has expired at the given time.
func (o *Operator) expired(now time.Time) bool {
	return !o.Expires.IsZero() && !now.Before(o.Expires)
}
