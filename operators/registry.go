package operators

import (
	"crypto/subtle"
	"slices"
	"sync/atomic"
	"time"
)

// Registry holds the contents of an operators file. It can be reloaded while in use.
type Registry struct {
	path string
	list atomic.Pointer[[]Operator] // not nil after Open; replaced as a whole, never modified
}

// Open reads the operators file at path.
func Open(path string) (*Registry, error) {
	r := &Registry{path: path}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the file again and reports whether its operators have changed. If the file is
// invalid it returns an error and the previous operators stay in use.
func (r *Registry) Reload() (changed bool, err error) {
	list, err := Load(r.path)
	if err != nil {
		return false, err
	}
	old := r.list.Swap(&list)
	return old == nil || !slices.Equal(*old, list), nil
}

// Authenticate returns the operator that a token belongs to. ok is false if the token is unknown or
// has expired at the time now. The token is compared with every entry, each in constant time, so
// that the duration reveals nothing about the tokens.
func (r *Registry) Authenticate(now time.Time, token string) (o Operator, ok bool) {
	sum := []byte(hashToken(token))
	for _, entry := range *r.list.Load() {
		if subtle.ConstantTimeCompare(sum, []byte(entry.Token)) == 1 {
			o, ok = entry, !entry.expired(now)
		}
	}
	return o, ok
}
