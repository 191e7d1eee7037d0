package controlplane

import (
	"slices"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/compression"
)

const (
	// maxAppliedRevisions is how many revisions are remembered to recognise a command that is
	// sent again: more than five days at 720 changes a day. Each takes 32 bytes of memory and at
	// most 39 bytes of a snapshot or an export, in total 131 KB and 160 KB.
	maxAppliedRevisions = 4096
	// maxAppliedBeforeDigests is how many revisions a version without digests remembered.
	maxAppliedBeforeDigests = 128
	// maxPreviousRevisions and maxPreviousBytes bound the previous configurations that are kept;
	// the bytes are counted compressed.
	maxPreviousRevisions = 32
	maxPreviousBytes     = 512 << 10
)

// State is the replicated state of the control plane: the newest configuration as it was sent,
// some previous ones, and which revisions were applied. It does no I/O and reads no clock: the
// same entries in the same order give the same state on every member, see [State.Apply]. Its CBOR
// encoding is the data of a snapshot and the body of an export. The zero value is the state before
// the first entry.
//
// A State may be copied; applying entries to a copy doesn't change the original.
type State struct {
	// Revision is that of the newest configuration, 0 if there is none.
	Revision uint64 `cbor:"1,keyasint"`
	// Uncompressed is the newest configuration if its log entry has the first form of
	// [replaceCommand].
	Uncompressed []byte `cbor:"2,keyasint,omitempty"`
	// Applied has the last applied revisions, oldest first and including the newest one: at
	// most maxAppliedRevisions.
	Applied []appliedRevision `cbor:"3,keyasint,omitempty"`
	// Compressed is the newest configuration, compressed to about an eighth of its size.
	Compressed []byte `cbor:"4,keyasint,omitempty"`
	// Previous has the configurations before the newest, oldest first.
	Previous []storedConfig `cbor:"5,keyasint,omitempty"`
	// AppliedFrom: Applied has every applied revision that is not lower than this number. 0: the
	// state was written by a version without digests, see oldestRemembered.
	AppliedFrom uint64 `cbor:"6,keyasint,omitempty"`
}

// storedConfig is a previous configuration.
type storedConfig struct {
	Revision   uint64 `cbor:"1,keyasint"`
	Compressed []byte `cbor:"2,keyasint"`
}

// appliedRevision is the idempotency key of a command that was applied.
type appliedRevision struct {
	Revision uint64 `cbor:"1,keyasint"`
	fingerprint
}

// Config returns the newest configuration as it was sent.
func (s *State) Config() ([]byte, error) {
	if s.Compressed == nil {
		return s.Uncompressed, nil
	}
	return compression.Decompress(s.Compressed, api.MaxConfigBytes)
}

// ConfigAt returns the configuration of a revision as it was sent, or [ErrRevisionNotKept].
func (s *State) ConfigAt(revision uint64) ([]byte, error) {
	if revision == s.Revision {
		return s.Config()
	}
	for _, p := range s.Previous {
		if p.Revision == revision {
			return compression.Decompress(p.Compressed, api.MaxConfigBytes)
		}
	}
	return nil, ErrRevisionNotKept
}

// Revisions returns the revisions whose configurations are kept, newest last.
func (s *State) Revisions() []uint64 {
	var revisions []uint64
	for _, p := range s.Previous {
		revisions = append(revisions, p.Revision)
	}
	if s.Revision != 0 {
		revisions = append(revisions, s.Revision)
	}
	return revisions
}

// archiveNewest adds the newest configuration to the previous ones, before it is replaced, and
// drops the oldest ones that exceed the bounds. An uncompressed configuration, which only an old
// version writes, is not kept.
func (s *State) archiveNewest() {
	if s.Revision == 0 || s.Compressed == nil {
		return
	}
	// Clip makes append reallocate: the array may be shared with a copy of the state.
	s.Previous = append(slices.Clip(s.Previous), storedConfig{
		Revision:   s.Revision,
		Compressed: s.Compressed,
	})
	bytes := 0
	for i := len(s.Previous) - 1; i >= 0; i-- {
		bytes += len(s.Previous[i].Compressed)
		if bytes > maxPreviousBytes || len(s.Previous)-i > maxPreviousRevisions {
			s.Previous = slices.Clone(s.Previous[i+1:])
			return
		}
	}
}

// oldestRemembered returns the lowest number from which on Applied is known to have every applied
// revision.
func (s *State) oldestRemembered() uint64 {
	switch {
	case s.AppliedFrom != 0:
		return s.AppliedFrom
	case len(s.Applied) == 0: // no revision was applied yet, or none was remembered
		return s.Revision + 1
	case len(s.Applied) >= maxAppliedBeforeDigests: // older ones may have been dropped
		return s.Applied[0].Revision
	}
	return 1
}

// trimApplied drops the oldest of the remembered revisions that exceed the limit.
func (s *State) trimApplied(limit int) {
	if excess := len(s.Applied) - limit; excess > 0 {
		s.AppliedFrom = s.Applied[excess-1].Revision + 1
		s.Applied = slices.Clone(s.Applied[excess:])
	}
}
