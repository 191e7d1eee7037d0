package controlplane

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// For an entry of arbitrary bytes, revisions never decrease, applied revisions stay applied, and
// applying the entry a second time changes nothing.
func FuzzApply(f *testing.F) {
	var entries [][]byte
	for i := range uint64(3) {
		data, err := encodeReplaceCommand(2*i, 2*i+2, fmt.Append(nil, i))
		if err != nil {
			f.Fatal(err)
		}
		entries = append(entries, data)
		f.Add(data)
		legacy := legacyCommand{
			Base:       4,
			Revision:   9 + i,
			Compressed: []byte{byte(i), 'x'},
			Hash:       i,
		}
		if data, err = cbor.Marshal(legacy); err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		var s State
		for _, e := range entries[:2] {
			s.Apply(e)
		}
		before := s.Revision
		first := s.Apply(data)
		after := s.Revision
		if first.Outcome == OutcomeAcceptable {
			t.Fatalf("no outcome: %+v", first)
		}
		if after != before && (first.Outcome != OutcomeApplied || after < before) {
			t.Fatalf("revision %d after %d: %+v", after, before, first)
		}
		repeated := s.Apply(data)
		if s.Revision != after || first.Outcome == OutcomeApplied && repeated.Outcome != OutcomeApplied {
			t.Fatalf("entry applied twice: revision %d after %d: %+v", s.Revision, after, repeated)
		}
		if d := s.Apply(entries[0]); d.Outcome != OutcomeApplied || s.Revision != after {
			t.Fatalf("first revision applied again: %+v", d)
		}
	})
}
