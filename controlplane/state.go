package controlplane

import (
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/pack"
)

// mostTaken is how many versions are remembered, for calls that come again.
const mostTaken = 128

// State is what the members agree on: the newest configuration, as it was
// sent, and which ones were taken before.
type State struct {
	Revision uint64  `cbor:"1,keyasint"`
	Plain    []byte  `cbor:"2,keyasint,omitempty"` // the configuration, as the first format had it
	Taken    []taken `cbor:"3,keyasint,omitempty"` // oldest first
	Packed   []byte  `cbor:"4,keyasint,omitempty"` // the configuration, packed: an eighth of its size
}

type taken struct {
	Revision uint64 `cbor:"1,keyasint"`
	Hash     uint64 `cbor:"2,keyasint"`
}

// proposal is an entry of the log. The first format had the configuration as it
// was sent; a log may still hold such entries.
type proposal struct {
	Base     uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Plain    []byte `cbor:"3,keyasint,omitempty"`
	Packed   []byte `cbor:"4,keyasint,omitempty"`
	Hash     uint64 `cbor:"5,keyasint,omitempty"` // of the configuration as it was sent
}

// newProposal returns the entry that brings a configuration.
func newProposal(base, revision uint64, config []byte) ([]byte, error) {
	packed, err := pack.Pack(config)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(proposal{Base: base, Revision: revision, Packed: packed, Hash: xxhash.Sum64(config)})
}

// Config returns the newest configuration as it was sent.
func (s *State) Config() ([]byte, error) {
	if s.Packed == nil {
		return s.Plain, nil
	}
	return pack.Unpack(s.Packed, api.MaxConfig)
}

// Judge tells what a call to replace the configuration comes to as things
// stand, by the hash of what was sent: 200 where that very configuration was
// taken, 0 where it may be taken.
func (s *State) Judge(base, revision, hash uint64) api.Result {
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
	if p.Packed == nil {
		p.Hash = xxhash.Sum64(p.Plain)
	}
	if r := s.Judge(p.Base, p.Revision, p.Hash); r.Status != 0 {
		return r
	}
	s.Revision, s.Plain, s.Packed = p.Revision, p.Plain, p.Packed
	s.Taken = append(s.Taken, taken{p.Revision, p.Hash})
	if k := len(s.Taken) - mostTaken; k > 0 {
		s.Taken = append([]taken(nil), s.Taken[k:]...)
	}
	return api.Result{Status: http.StatusOK}
}
