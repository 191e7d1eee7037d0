// Package controlplane keeps the gateway's configuration: a core of members
// that agree on each version (package agreement), the operator's interface,
// and the answers to limiters that ask for news.
package controlplane

import (
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/silverscale/api"
)

// mostTaken is how many versions are remembered, for calls that come again.
const mostTaken = 128

// State is what the members agree on: the newest configuration, as it was
// sent, and which ones were taken before.
type State struct {
	Revision uint64  `cbor:"1,keyasint"`
	Config   []byte  `cbor:"2,keyasint,omitempty"`
	Taken    []taken `cbor:"3,keyasint,omitempty"` // oldest first
}

type taken struct {
	Revision uint64 `cbor:"1,keyasint"`
	Hash     uint64 `cbor:"2,keyasint"`
}

// proposal is an entry of the log.
type proposal struct {
	Base     uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Config   []byte `cbor:"3,keyasint"`
}

// Judge tells what a call to replace the configuration comes to as things
// stand: 200 where that very configuration was taken, 0 where it may be taken.
func (s *State) Judge(base, revision uint64, config []byte) api.Result {
	hash := xxhash.Sum64(config)
	for _, t := range s.Taken {
		if t.Revision == revision && t.Hash == hash {
			return api.Result{Status: http.StatusOK}
		}
	}
	switch {
	case base != s.Revision:
		return api.Result{Status: http.StatusPreconditionFailed,
			Why: fmt.Sprintf("Base-Revision %d: the current version is %d", base, s.Revision)}
	case revision <= s.Revision:
		return api.Result{Status: http.StatusBadRequest,
			Why: fmt.Sprintf("revision %d is not above the current %d", revision, s.Revision)}
	}
	return api.Result{}
}

// Apply carries out one entry. The same entries in the same order give the
// same state everywhere.
func (s *State) Apply(data []byte) api.Result {
	var p proposal
	if err := cbor.Unmarshal(data, &p); err != nil {
		return api.Result{Status: http.StatusBadRequest, Why: err.Error()}
	}
	if r := s.Judge(p.Base, p.Revision, p.Config); r.Status != 0 {
		return r
	}
	s.Revision, s.Config = p.Revision, p.Config
	s.Taken = append(s.Taken, taken{p.Revision, xxhash.Sum64(p.Config)})
	if k := len(s.Taken) - mostTaken; k > 0 {
		s.Taken = append([]taken(nil), s.Taken[k:]...)
	}
	return api.Result{Status: http.StatusOK}
}
