package controlplane

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Stored types of versions without digests.
type (
	legacyAppliedRevision struct {
		Revision uint64 `cbor:"1,keyasint"`
		Hash     uint64 `cbor:"2,keyasint"`
	}
	legacyState struct {
		Revision     uint64                  `cbor:"1,keyasint"`
		Uncompressed []byte                  `cbor:"2,keyasint,omitempty"`
		Applied      []legacyAppliedRevision `cbor:"3,keyasint,omitempty"`
		Compressed   []byte                  `cbor:"4,keyasint,omitempty"`
		Previous     []storedConfig          `cbor:"5,keyasint,omitempty"`
	}
	legacyCommand struct {
		Base         uint64 `cbor:"1,keyasint"`
		Revision     uint64 `cbor:"2,keyasint"`
		Uncompressed []byte `cbor:"3,keyasint,omitempty"`
		Compressed   []byte `cbor:"4,keyasint,omitempty"`
		Hash         uint64 `cbor:"5,keyasint,omitempty"`
	}
)

// apply applies an entry as a version without digests does.
func (s *legacyState) apply(t *testing.T, data []byte) {
	t.Helper()
	var command legacyCommand
	if err := cbor.Unmarshal(data, &command); err != nil {
		t.Fatal(err)
	}
	applied := legacyAppliedRevision{Revision: command.Revision, Hash: command.Hash}
	if slices.Contains(s.Applied, applied) || command.Base != s.Revision || command.Revision <= s.Revision {
		return
	}
	s.Revision, s.Compressed = command.Revision, command.Compressed
	s.Applied = append(s.Applied, applied)
	s.Applied = s.Applied[max(0, len(s.Applied)-maxAppliedBeforeDigests):]
}

// transcode encodes a value and decodes it as type T, as when a snapshot or an entry is sent to a
// member of the same or the other version.
func transcode[T any](t *testing.T, from any) *T {
	t.Helper()
	data, err := cbor.Marshal(from)
	if err != nil {
		t.Fatal(err)
	}
	to := new(T)
	if err := cbor.Unmarshal(data, to); err != nil {
		t.Fatal(err)
	}
	return to
}

// mixedCommand is a command for members of both versions.
type mixedCommand struct {
	base, revision uint64
	config         []byte
	applied        bool
}

// mixedMembers holds the states of members with and without digests that apply the same entries.
type mixedMembers struct {
	t       *testing.T
	rng     *rand.Rand
	where   string // seed and step, for error messages
	current []*State
	legacy  []*legacyState
	sent    []mixedCommand
}

// nextCommand returns a new command, sometimes with an outdated base, or a retry of an earlier one.
func (m *mixedMembers) nextCommand(step int) mixedCommand {
	revision := m.current[0].Revision
	command := mixedCommand{
		base:     revision,
		revision: revision + 1 + m.rng.Uint64N(3),
		config:   fmt.Append(nil, step),
	}
	switch {
	case m.rng.IntN(3) == 0 && len(m.sent) > 0:
		return m.sent[m.rng.IntN(len(m.sent))]
	case m.rng.IntN(8) == 0:
		command.base -= min(command.base, m.rng.Uint64N(4))
	}
	return command
}

// encode returns the log entry of a command, half of the time in the format without digests.
func (m *mixedMembers) encode(command mixedCommand) []byte {
	m.t.Helper()
	data, err := encodeReplaceCommand(command.base, command.revision, command.config)
	if err == nil && m.rng.IntN(2) == 0 {
		data, err = cbor.Marshal(transcode[legacyCommand](m.t, cbor.RawMessage(data)))
	}
	if err != nil {
		m.t.Fatal(err)
	}
	return data
}

// apply applies a command on all members and checks the outcomes on members with digests.
func (m *mixedMembers) apply(command mixedCommand) {
	m.t.Helper()
	data := m.encode(command)
	before := m.current[0].Revision
	for i, s := range m.current {
		got := s.Apply(data).Outcome
		switch {
		case command.applied && got != OutcomeApplied && got != OutcomeUnknown:
			m.t.Fatalf("%s: member %d: outcome %d for applied revision %d", m.where, i, got, command.revision)
		case !command.applied && got == OutcomeApplied && s.Revision == before:
			m.t.Fatalf("%s: member %d confirms revision %d, which was not applied", m.where, i, command.revision)
		}
	}
	for _, s := range m.legacy {
		s.apply(m.t, data)
	}
	command.applied = command.applied || m.current[0].Revision != before
	m.sent = append(m.sent, command)
}

// requireAgreement requires that all members hold the same configuration.
func (m *mixedMembers) requireAgreement() {
	m.t.Helper()
	type held struct {
		revision   uint64
		compressed []byte
	}
	want := held{m.current[0].Revision, m.current[0].Compressed}
	for _, got := range []held{
		{m.current[1].Revision, m.current[1].Compressed},
		{m.legacy[0].Revision, m.legacy[0].Compressed},
		{m.legacy[1].Revision, m.legacy[1].Compressed},
	} {
		if got.revision != want.revision || !bytes.Equal(got.compressed, want.compressed) {
			m.t.Fatalf("%s: configurations differ: revision %d and revision %d", m.where, want.revision, got.revision)
		}
	}
}

// sendSnapshot sometimes replaces the state of a member by the snapshot of another.
func (m *mixedMembers) sendSnapshot() {
	m.t.Helper()
	switch m.rng.IntN(40) {
	case 0:
		m.current[1] = transcode[State](m.t, m.legacy[0])
	case 1:
		m.legacy[1] = transcode[legacyState](m.t, m.current[1])
	case 2:
		m.legacy[0] = transcode[legacyState](m.t, m.legacy[1])
	case 3:
		m.current[0] = transcode[State](m.t, m.current[1])
	}
}

// During a rolling upgrade to a version with digests, each version reads the entries and snapshots of
// the other: all members hold the same configuration after each entry, and no member with digests
// refuses a command that was applied.
func TestMembersWithAndWithoutDigestsAgree(t *testing.T) {
	for seed := range uint64(25) {
		m := &mixedMembers{
			t:       t,
			rng:     rand.New(rand.NewPCG(seed, 3)),
			current: []*State{{}, {}},
			legacy:  []*legacyState{{}, {}},
		}
		for step := range 700 {
			m.where = fmt.Sprintf("seed %d step %d", seed, step)
			m.apply(m.nextCommand(step))
			m.requireAgreement()
			m.sendSnapshot()
		}
		if revision := m.current[0].Revision; revision < 300 {
			t.Fatalf("seed %d: only %d revisions, too few for a meaningful test", seed, revision)
		}
	}
}
