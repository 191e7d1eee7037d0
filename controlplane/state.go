package controlplane

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/pack"
)

const (
	// mostTaken is how many versions are remembered, for calls that come again.
	mostTaken = 128
	// Of versions before the newest, so many are kept whole, in so many bytes.
	mostPast      = 32
	mostPastBytes = 512 << 10
)

// State is what the members agree on: the newest configuration, as it was
// sent, and which ones were taken before.
type State struct {
	Revision uint64  `cbor:"1,keyasint"`
	Plain    []byte  `cbor:"2,keyasint,omitempty"` // the configuration, as the first format had it
	Taken    []taken `cbor:"3,keyasint,omitempty"` // oldest first
	Packed   []byte  `cbor:"4,keyasint,omitempty"` // the configuration, packed: an eighth of its size
	Past     []past  `cbor:"5,keyasint,omitempty"` // oldest first
}

// past is a version that was replaced.
type past struct {
	Revision uint64 `cbor:"1,keyasint"`
	Packed   []byte `cbor:"2,keyasint"`
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

// Version returns a configuration that is remembered, as it was sent.
func (s *State) Version(revision uint64) ([]byte, bool, error) {
	if revision == s.Revision {
		data, err := s.Config()
		return data, err == nil, err
	}
	for _, p := range s.Past {
		if p.Revision == revision {
			data, err := pack.Unpack(p.Packed, api.MaxConfig)
			return data, err == nil, err
		}
	}
	return nil, false, nil
}

// Versions lists what is remembered whole, the newest last.
func (s *State) Versions() (out []uint64) {
	for _, p := range s.Past {
		out = append(out, p.Revision)
	}
	if s.Revision != 0 {
		out = append(out, s.Revision)
	}
	return out
}

// keep remembers the newest version before it is replaced.
func (s *State) keep() {
	if s.Revision == 0 || s.Packed == nil {
		return
	}
	s.Past = append(slices.Clip(s.Past), past{s.Revision, s.Packed})
	bytes := 0
	for i := len(s.Past) - 1; i >= 0; i-- {
		if bytes += len(s.Past[i].Packed); bytes > mostPastBytes || len(s.Past)-i > mostPast {
			s.Past = slices.Clone(s.Past[i+1:])
			return
		}
	}
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
	s.keep()
	s.Revision, s.Plain, s.Packed = p.Revision, p.Plain, p.Packed
	s.Taken = append(s.Taken, taken{p.Revision, p.Hash})
	if k := len(s.Taken) - mostTaken; k > 0 {
		s.Taken = append([]taken(nil), s.Taken[k:]...)
	}
	return api.Result{Status: http.StatusOK}
}
