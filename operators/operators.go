// Package operators controls access to the operator interface: who may call it, how
// often, and how many calls may run at once.
//
// An operator is a person or a program with a bearer token. The operators file holds the
// SHA-256 of each token, never the token. [Registry] is such a file as it is on disk now;
// [AccessControl] is the HTTP middleware that authenticates a call, checks the operator's
// role, enforces the limits and logs each change with the operator who made it.
// [Certificate] is the TLS certificate of the interface.
//
// Without an operators file everybody who reaches the port may make every call, and only
// the limits apply.
//
// All types are safe for concurrent use once they are made.
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

// Role is what an operator may do. Its text stands in the operators file.
type Role string

// The roles. Each includes those before it.
const (
	// RoleRead may make every call that changes nothing. Configurations contain the
	// tenants' keys, which this role can read.
	RoleRead Role = "read"
	// RoleChange may replace the configuration as well.
	RoleChange Role = "change"
)

// allows reports whether the role includes the required one.
func (r Role) allows(required Role) bool {
	return r == required || r == RoleChange && required == RoleRead
}

// Operator is one entry of the operators file.
type Operator struct {
	// Name appears in logs: 1 to 64 letters, digits and the characters ._@- with a letter
	// or a digit first. Names in a file are unique.
	Name string `toml:"name"`
	Role Role   `toml:"role"`
	// Token is the SHA-256 of the token in hexadecimal, unique in a file.
	Token string `toml:"token_sha256"`
	// Expires is when the token stops being accepted. Zero: never.
	Expires time.Time `toml:"expires,omitempty"`
}

// tokenBytes is how many random bytes a token has.
const tokenBytes = 32

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)

// New makes an operator with a random token. The token is returned here only: the
// operator holds its hash.
func New(name string, role Role, expires time.Time) (o Operator, token string, err error) {
	random := make([]byte, tokenBytes)
	if _, err := rand.Read(random); err != nil {
		return Operator{}, "", fmt.Errorf("operators: %w", err)
	}
	token = base64.RawURLEncoding.EncodeToString(random)
	o = Operator{Name: name, Role: role, Token: hashToken(token), Expires: expires}
	return o, token, o.validate()
}

// hashToken returns the form of a token that the file holds.
func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// validate returns all faults of an entry, joined.
func (o *Operator) validate() error {
	var errs []error
	if !validName.MatchString(o.Name) {
		errs = append(errs, fmt.Errorf("name %q: letters, digits and ._@-, 64 at most", o.Name))
	}
	if o.Role != RoleRead && o.Role != RoleChange {
		errs = append(errs, fmt.Errorf("role %q: one of %s, %s", o.Role, RoleRead, RoleChange))
	}
	if b, err := hex.DecodeString(o.Token); err != nil || len(b) != sha256.Size {
		errs = append(errs, errors.New("token_sha256: 64 hexadecimal digits are needed"))
	}
	return errors.Join(errs...)
}

// expired reports whether the token is no longer accepted at a time.
func (o *Operator) expired(now time.Time) bool {
	return !o.Expires.IsZero() && !now.Before(o.Expires)
}
