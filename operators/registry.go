package operators

import (
	"crypto/subtle"
	"slices"
	"sync/atomic"
	"time"
)

// Registry is an operators file as it was when it was last read.
type Registry struct {
	path string
	list atomic.Pointer[[]Operator] // never nil in an open registry; replaced whole, never changed
}

// Open reads the file at a path.
func Open(path string) (*Registry, error) {
	r := &Registry{path: path}
	if _, err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

// Reload reads the file again and reports whether it has changed. A file with faults is
// an error and leaves the operators of before in force.
func (r *Registry) Reload() (changed bool, err error) {
	list, err := Load(r.path)
	if err != nil {
		return false, err
	}
	old := r.list.Swap(&list)
	return old == nil || !slices.Equal(*old, list), nil
}

// Authenticate returns the operator who has a token. ok is false where nobody has it or it
// has expired at the given time. Every entry is compared, each in constant time, so that
// the time taken reveals nothing about the tokens.
func (r *Registry) Authenticate(now time.Time, token string) (o Operator, ok bool) {
	sum := []byte(hashToken(token))
	for _, entry := range *r.list.Load() {
		if subtle.ConstantTimeCompare(sum, []byte(entry.Token)) == 1 {
			o, ok = entry, !entry.expired(now)
		}
	}
	return o, ok
}
