package controlplane

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/compression"
)

const (
	// mostTaken is how many versions are remembered, for orders that are sent again:
	// five days of 720 changes and more. Each takes 32 bytes of memory and 39 at
	// most of a snapshot or an export, so 131 and 160 KB in all.
	mostTaken = 4096
	// oldMostTaken is how many were before there were digests.
	oldMostTaken = 128
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
	// Since: all versions that were taken from this number on are in Taken. 0: this
	// was written before there were digests, and oldest tells.
	Since uint64 `cbor:"6,keyasint,omitempty"`
}

// past is a version that was replaced.
type past struct {
	Revision uint64 `cbor:"1,keyasint"`
	Packed   []byte `cbor:"2,keyasint"`
}

// taken is a version that was taken, in the form in which it can be told whether an
// order brings it again.
type taken struct {
	Revision uint64 `cbor:"1,keyasint"`
	fingerprint
}

// fingerprint is what is remembered of a configuration's bytes as they were sent.
type fingerprint struct {
	// Hash is the XXH64, which whoever wants to can make collide. Members that know
	// of no digests go by it, so it stays while there may be any.
	Hash uint64 `cbor:"2,keyasint"`
	// Digest is the first half of the SHA-256. Nobody can find other bytes with the
	// digest of an order that another operator sent; who makes two orders of one digest
	// with 2^64 trials can deceive nobody but himself. All zero: of an entry or a
	// snapshot of a member that knew of none.
	Digest [16]byte `cbor:"3,keyasint"`
}

func fingerprintOf(config []byte) fingerprint {
	sum := sha256.Sum256(config)
	return fingerprint{xxhash.Sum64(config), [16]byte(sum[:16])}
}

// same tells whether two fingerprints are of the same bytes.
func (f fingerprint) same(o fingerprint) bool {
	var none [16]byte
	if f.Digest == none || o.Digest == none {
		return f.Hash == o.Hash
	}
	return f.Digest == o.Digest
}

// proposal is an entry of the log. The first format had the configuration as it
// was sent; a log may still hold such entries.
type proposal struct {
	Base     uint64 `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Plain    []byte `cbor:"3,keyasint,omitempty"`
	Packed   []byte `cbor:"4,keyasint,omitempty"`
	Hash     uint64 `cbor:"5,keyasint,omitempty"` // of the configuration as it was sent, see fingerprint
	Digest   []byte `cbor:"6,keyasint,omitempty"` // likewise; left out by members that know of none
}

// newProposal returns the entry that brings a configuration.
func newProposal(base, revision uint64, config []byte) ([]byte, error) {
	packed, err := compression.Pack(config)
	if err != nil {
		return nil, err
	}
	f := fingerprintOf(config)
	return cbor.Marshal(proposal{Base: base, Revision: revision, Packed: packed, Hash: f.Hash, Digest: f.Digest[:]})
}

// fingerprint returns that of the configuration which an entry brings. Where a
// member that knew of no digests wrote it, it is made of the bytes, so that all
// members have the same one.
func (p *proposal) fingerprint() fingerprint {
	switch {
	case p.Packed == nil:
		return fingerprintOf(p.Plain)
	case len(p.Digest) == len(fingerprint{}.Digest):
		return fingerprint{p.Hash, [16]byte(p.Digest)}
	}
	config, err := compression.Unpack(p.Packed, api.MaxConfig)
	if err != nil { // it was read before it was proposed; members without digests would take it too
		return fingerprint{Hash: p.Hash}
	}
	return fingerprintOf(config)
}

// Config returns the newest configuration as it was sent.
func (s *State) Config() ([]byte, error) {
	if s.Packed == nil {
		return s.Plain, nil
	}
	return compression.Unpack(s.Packed, api.MaxConfig)
}

// Version returns a configuration that is remembered, as it was sent.
func (s *State) Version(revision uint64) ([]byte, bool, error) {
	if revision == s.Revision {
		data, err := s.Config()
		return data, err == nil, err
	}
	for _, p := range s.Past {
		if p.Revision == revision {
			data, err := compression.Unpack(p.Packed, api.MaxConfig)
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

// oldest returns the number from which on all versions that were taken are
// remembered.
func (s *State) oldest() uint64 {
	switch {
	case s.Since != 0:
		return s.Since
	case len(s.Taken) == 0: // nothing was taken yet, or nothing was remembered
		return s.Revision + 1
	case len(s.Taken) >= oldMostTaken: // there may have been others before them
		return s.Taken[0].Revision
	}
	return 1
}

// forget drops all but so many of the versions that are remembered.
func (s *State) forget(most int) {
	if k := len(s.Taken) - most; k > 0 {
		s.Since = s.Taken[k-1].Revision + 1
		s.Taken = slices.Clone(s.Taken[k:])
	}
}

// Judge tells what an order to replace the configuration comes to as things stand,
// by the fingerprint of what was sent:
//
//   - 200 where that very configuration was taken, whatever came after it, and
//     whichever version the order now says that it builds on;
//   - 412 or 400 where it was not taken and never can be;
//   - 503 where it may have been taken so long ago that it is forgotten. To turn it
//     down could refuse what was acknowledged, so this says that it can't be told;
//   - 0 where it may be taken.
//
// The last doesn't depend on what is remembered: numbers rise from version to
// version, so an order that was taken is never one that builds on the newest and
// has a higher number. Members that remember differently, as one that has its
// snapshot from a program before digests, so take the same versions; all that can
// differ is whether an order of long ago is told 200 or 503.
func (s *State) Judge(base, revision uint64, f fingerprint) api.Result {
	i, known := slices.BinarySearchFunc(s.Taken, revision, func(t taken, r uint64) int { return cmp.Compare(t.Revision, r) })
	switch {
	case known && s.Taken[i].same(f):
		return api.Result{Status: http.StatusOK}
	case base < revision && revision < s.oldest(): // one above nothing was never taken
		return api.Result{Status: http.StatusServiceUnavailable,
			Why: fmt.Sprintf("it can't be told any more whether revision %d was taken: those from %d on are remembered, the current one is %d", revision, s.oldest(), s.Revision)}
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
// same configuration everywhere. What it returns is final.
func (s *State) Apply(data []byte) api.Result {
	var p proposal
	if err := cbor.Unmarshal(data, &p); err != nil {
		return api.Result{Status: http.StatusBadRequest, Why: err.Error()}
	}
	f := p.fingerprint()
	if r := s.Judge(p.Base, p.Revision, f); r.Status != 0 {
		return r
	}
	s.keep()
	s.Since = s.oldest()
	s.Revision, s.Plain, s.Packed = p.Revision, p.Plain, p.Packed
	s.Taken = append(s.Taken, taken{p.Revision, f})
	s.forget(mostTaken)
	return api.Result{Status: http.StatusOK}
}
