// Package operators says who may call the operator's interface, and what: people
// and programs with a token each, of which the file holds the hash alone. It guards
// the interface: who calls, how often and how much at a time, and writes down each
// change with who made it. Without a file everybody who reaches the port may do all,
// and only the bounds hold.
package operators

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/BurntSushi/toml"

	"example.org/elmspan/internal/atomicfile"
)

// Role is what an operator may do.
type Role string

// The roles. Each may do what those before it may.
const (
	RoleRead   Role = "read"   // all that can be read, the tenants' keys in configurations among it
	RoleChange Role = "change" // bring configurations
)

// allows tells whether a role includes another.
func (r Role) allows(need Role) bool { return r == need || r == RoleChange && need == RoleRead }

// Operator is one person or program.
type Operator struct {
	Name    string    `toml:"name"`
	Role    Role      `toml:"role"`
	Token   string    `toml:"token_sha256"` // in hexadecimal
	Expires time.Time `toml:"expires,omitempty"`
}

// tokenBytes of chance are in a token.
const tokenBytes = 32

// names are what an operator may be called: they stand in logs.
var names = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)

// New makes an operator and the token that is shown once.
func New(name string, role Role, expires time.Time) (o Operator, token string, err error) {
	b := make([]byte, tokenBytes)
	if _, err := rand.Read(b); err != nil {
		return o, "", fmt.Errorf("operators: %w", err)
	}
	token = base64.RawURLEncoding.EncodeToString(b)
	o = Operator{Name: name, Role: role, Token: hash(token), Expires: expires}
	return o, token, o.check()
}

func hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (o *Operator) check() error {
	var errs []error
	if !names.MatchString(o.Name) {
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

// file is what is on disk.
type file struct {
	Operators []Operator `toml:"operator"`
}

// Parse reads a file's text. All faults that are found are in the error, one a line.
func Parse(data []byte) ([]Operator, error) {
	var f file
	meta, err := toml.Decode(string(data), &f)
	if err != nil {
		return nil, err
	}
	var errs []error
	for _, k := range meta.Undecoded() {
		errs = append(errs, fmt.Errorf("%s: there is no such setting", k))
	}
	seen, tokens := map[string]bool{}, map[string]bool{}
	for i, o := range f.Operators {
		if err := o.check(); err != nil {
			errs = append(errs, fmt.Errorf("operator %d: %w", i+1, err))
		}
		if seen[o.Name] {
			errs = append(errs, fmt.Errorf("operator %d: %s stands there twice", i+1, o.Name))
		}
		if tokens[o.Token] {
			errs = append(errs, fmt.Errorf("operator %d: it has another one's token", i+1))
		}
		seen[o.Name], tokens[o.Token] = true, true
	}
	return f.Operators, errors.Join(errs...)
}

// Load reads the file at a path.
func Load(path string) ([]Operator, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	list, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("operators: %s: %w", path, err)
	}
	return list, nil
}

// Save writes a file anew, whole or not at all; it survives a loss of power.
func Save(path string, list []Operator) error {
	var b bytes.Buffer
	b.WriteString("# Who may call the operator's interface. Tokens are shown when they are made, and are not in here.\n")
	if err := toml.NewEncoder(&b).Encode(file{list}); err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	if _, err := Parse(b.Bytes()); err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	if err := atomicfile.WriteFile(path, b.Bytes(), 0o600); err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	return nil
}

// Registry is a file of operators as it is now.
type Registry struct {
	path string
	now  atomic.Pointer[[]Operator]
}

// Open reads the file at a path.
func Open(path string) (*Registry, error) {
	b := &Registry{path: path}
	if _, err := b.Reload(); err != nil {
		return nil, err
	}
	return b, nil
}

// Reload reads the file again and tells whether it has changed. What can't be used
// changes nothing.
func (b *Registry) Reload() (changed bool, err error) {
	list, err := Load(b.path)
	if err != nil {
		return false, err
	}
	old := b.now.Swap(&list)
	return old == nil || !slices.Equal(*old, list), nil
}

// Authenticate returns the operator with a token. All are looked at, in the same time
// whichever it is.
func (b *Registry) Authenticate(now time.Time, token string) (o Operator, ok bool) {
	sum := []byte(hash(token))
	for _, e := range *b.now.Load() {
		if subtle.ConstantTimeCompare(sum, []byte(e.Token)) == 1 {
			o, ok = e, e.Expires.IsZero() || now.Before(e.Expires)
		}
	}
	return o, ok
}
