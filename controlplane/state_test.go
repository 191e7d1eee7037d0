package controlplane

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// bring applies an order and returns its outcome.
func bring(t *testing.T, s *State, base, revision uint64, config []byte) Outcome {
	t.Helper()
	data, err := encodeReplaceCommand(base, revision, config)
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(data).Outcome
}

// An order whose answer was lost is sent again after days of changes: it is
// acknowledged again. (Told by the users: it was refused.)
func TestOrdersAreRememberedForDays(t *testing.T) {
	var s State
	const days = 2000 // changes; a day at size has 720
	for i := range uint64(days) {
		if got := bring(t, &s, i, i+1, fmt.Append(nil, i)); got != OutcomeApplied {
			t.Fatalf("version %d: %d", i+1, got)
		}
	}
	for i := range uint64(days) {
		if got := bring(t, &s, i, i+1, fmt.Append(nil, i)); got != OutcomeApplied {
			t.Fatalf("version %d of %d sent again: %d", i+1, days, got)
		}
	}
	if got := bring(t, &s, 7, 8, []byte("another")); got != OutcomeConflict {
		t.Errorf("another configuration under a number that was taken: %d", got)
	}
}

// colliding returns two texts that xxhash can't tell apart: what the first block
// changes of a lane is taken back by the second.
func colliding(t *testing.T) (a, b []byte) {
	const p1, p2 = 11400714785074694791, 14029467366897019727 // of XXH64
	lane := func(acc, x uint64) uint64 { return bits.RotateLeft64(acc+x*p2, 31) * p1 }
	var k1, k2 uint64 = p1, p2
	inverse := k2 // by Newton, modulo 2^64
	for range 6 {
		inverse *= 2 - k2*inverse
	}
	a, b = make([]byte, 64), make([]byte, 64)
	first, other, second := uint64(1), uint64(2), uint64(3)
	start := k1 + k2
	binary.LittleEndian.PutUint64(a, first)
	binary.LittleEndian.PutUint64(b, other)
	binary.LittleEndian.PutUint64(a[32:], second)
	binary.LittleEndian.PutUint64(b[32:], second+(lane(start, first)-lane(start, other))*inverse)
	if xxhash.Sum64(a) != xxhash.Sum64(b) {
		t.Fatal("they do not collide")
	}
	return a, b
}

// Two operators bring different configurations under one number, made so that a
// hash of no cryptographic strength can't tell them apart: one is taken.
func TestOrdersAreToldApart(t *testing.T) {
	a, b := colliding(t)
	var s State
	if got := bring(t, &s, 0, 5, a); got != OutcomeApplied {
		t.Fatal(got)
	}
	if got := bring(t, &s, 0, 5, b); got != OutcomeConflict {
		t.Errorf("the other one under the same number: %d", got)
	}
	if got := bring(t, &s, 0, 5, a); got != OutcomeApplied {
		t.Errorf("the first one sent again: %d", got)
	}
}

// What was forgotten is neither acknowledged nor refused when it is sent again;
// what was never taken, for sure, is refused as ever.
func TestWhatIsForgottenIsNotRefused(t *testing.T) {
	var s State
	last := uint64(maxAppliedRevisions + 10)
	for i := range last {
		bring(t, &s, 2*i, 2*i+2, fmt.Append(nil, i))
	}
	for _, o := range []struct {
		base, revision uint64
		config         string
		want           Outcome
		why            string
	}{
		{0, 2, "0", OutcomeUnknown, "taken, and forgotten"},
		{18, 20, "9", OutcomeUnknown, "the last that is forgotten"},
		{20, 22, "10", OutcomeApplied, "the first that is remembered"},
		{16, 20, "another", OutcomeUnknown, "it can't be told from one that was taken"},
		{20, 22, "another", OutcomeConflict, "lost against one that is remembered"},
		{20, 23, "another", OutcomeConflict, "lost, of a number that none has"},
		{8, 7, "another", OutcomeConflict, "never to be taken: not above what it builds on"},
		{2 * last, 7, "another", OutcomeInvalid, "not above the current one"},
		{2*last - 2, 2 * last, fmt.Sprint(last - 1), OutcomeApplied, "the newest"},
		{2*last - 4, 2 * last, fmt.Sprint(last - 1), OutcomeApplied, "the same configuration, said to build on another version"},
	} {
		if got := bring(t, &s, o.base, o.revision, []byte(o.config)); got != o.want {
			t.Errorf("%s: base %d, revision %d: %d, want %d", o.why, o.base, o.revision, got, o.want)
		}
	}
	if s.Revision != 2*last {
		t.Errorf("revision %d", s.Revision)
	}
	s.Applied[0].Revision = math.MaxUint64 // the longest to write
	if data, err := cbor.Marshal(s.Applied); err != nil || len(s.Applied) != maxAppliedRevisions || len(data) > 39*maxAppliedRevisions+3 {
		t.Errorf("%d versions take %d bytes, %v", len(s.Applied), len(data), err)
	}
}

// From which version on all are remembered is known, not guessed from how many are.
func TestOldestRemembered(t *testing.T) {
	before := State{Revision: 4, Uncompressed: []byte("four")} // written before any were remembered
	if got := bring(t, &before, 4, 6, []byte("six")); got != OutcomeApplied {
		t.Fatal(got)
	}
	if got := bring(t, &before, 3, 4, []byte("four")); got != OutcomeUnknown {
		t.Errorf("what was taken before any were remembered: %d", got)
	}
	var whole State
	for i := range uint64(2 * maxAppliedBeforeDigests) {
		bring(t, &whole, whole.Revision, 5+i, fmt.Append(nil, i))
	}
	if got := bring(t, &whole, 0, 3, []byte("lost")); got != OutcomeConflict {
		t.Errorf("a number below the first, where all are remembered: %d", got)
	}
}

// What remembers other versions than it can have is no state to begin with.
func TestRememberedVersionsAreChecked(t *testing.T) {
	for name, spoil := range map[string]func(*State){
		"":                           func(*State) {},
		"the newest is another one":  func(s *State) { s.Applied[2].fingerprint = fingerprintOf([]byte("another")) },
		"the newest is missing":      func(s *State) { s.Applied = s.Applied[:2] },
		"out of order":               func(s *State) { s.Applied[0], s.Applied[1] = s.Applied[1], s.Applied[0] },
		"from before the oldest one": func(s *State) { s.AppliedFrom = 3 },
		"too many": func(s *State) {
			for range maxAppliedRevisions {
				s.Applied = append(s.Applied, appliedRevision{Revision: s.Applied[len(s.Applied)-1].Revision + 1})
			}
		},
	} {
		var s State
		for i := range uint64(3) {
			if got := bring(t, &s, 2*i, 2*i+2, config(t, 2*i+2)); got != OutcomeApplied {
				t.Fatal(got)
			}
		}
		spoil(&s)
		data, err := Export(&s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Import(data); (err == nil) != (name == "") || err != nil && !errors.Is(err, ErrInvalidExport) {
			t.Errorf("%q: %v", name, err)
		}
	}
}

// oldState and oldEntry are what a program before digests read and wrote, and
// oldApply is what it made of an entry.
type (
	oldTaken struct {
		Revision uint64 `cbor:"1,keyasint"`
		Hash     uint64 `cbor:"2,keyasint"`
	}
	oldState struct {
		Revision     uint64         `cbor:"1,keyasint"`
		Uncompressed []byte         `cbor:"2,keyasint,omitempty"`
		Applied      []oldTaken     `cbor:"3,keyasint,omitempty"`
		Compressed   []byte         `cbor:"4,keyasint,omitempty"`
		Previous     []storedConfig `cbor:"5,keyasint,omitempty"`
	}
	oldEntry struct {
		Base         uint64 `cbor:"1,keyasint"`
		Revision     uint64 `cbor:"2,keyasint"`
		Uncompressed []byte `cbor:"3,keyasint,omitempty"`
		Compressed   []byte `cbor:"4,keyasint,omitempty"`
		Hash         uint64 `cbor:"5,keyasint,omitempty"`
	}
)

func (s *oldState) apply(t *testing.T, data []byte) Outcome {
	t.Helper()
	var p oldEntry
	if err := cbor.Unmarshal(data, &p); err != nil {
		t.Fatal(err)
	}
	switch {
	case slices.Contains(s.Applied, oldTaken{p.Revision, p.Hash}):
		return OutcomeApplied
	case p.Base != s.Revision:
		return OutcomeConflict
	case p.Revision <= s.Revision:
		return OutcomeInvalid
	}
	s.Revision, s.Compressed = p.Revision, p.Compressed
	s.Applied = append(s.Applied, oldTaken{p.Revision, p.Hash})
	s.Applied = s.Applied[max(0, len(s.Applied)-maxAppliedBeforeDigests):]
	return OutcomeApplied
}

// copyOf has a state go through a snapshot, from one program to the other or to itself.
func copyOf[T any](t *testing.T, from any) *T {
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

// While members are changed to a program with digests one by one, entries and
// snapshots of either program are read by the other: all members hold the same
// configuration after each entry, and none that has digests refuses what was taken.
func TestProgramsWithAndWithoutDigests(t *testing.T) {
	for seed := range uint64(25) {
		rng := rand.New(rand.NewPCG(seed, 3))
		with, without := []*State{{}, {}}, []*oldState{{}, {}}
		type order struct {
			base, revision uint64
			config         []byte
			taken          bool
		}
		var sent []order
		for step := range 700 {
			o := order{base: with[0].Revision, revision: with[0].Revision + 1 + rng.Uint64N(3), config: fmt.Append(nil, step)}
			switch {
			case rng.IntN(3) == 0 && len(sent) > 0:
				o = sent[rng.IntN(len(sent))] // sent again
			case rng.IntN(8) == 0:
				o.base -= min(o.base, rng.Uint64N(4))
			}
			data, err := encodeReplaceCommand(o.base, o.revision, o.config)
			if err == nil && rng.IntN(2) == 0 { // a member without digests brings it
				data, err = cbor.Marshal(copyOf[oldEntry](t, cbor.RawMessage(data)))
			}
			if err != nil {
				t.Fatal(err)
			}
			before := with[0].Revision
			for i, s := range with {
				switch got := s.Apply(data).Outcome; {
				case o.taken && got != OutcomeApplied && got != OutcomeUnknown:
					t.Fatalf("seed %d step %d: member %d answers %d to revision %d, which was taken", seed, step, i, got, o.revision)
				case !o.taken && got == OutcomeApplied && s.Revision == before:
					t.Fatalf("seed %d step %d: member %d confirms revision %d, which was not taken", seed, step, i, o.revision)
				}
			}
			for _, s := range without {
				s.apply(t, data)
			}
			for _, got := range []struct {
				revision uint64
				packed   []byte
			}{{with[1].Revision, with[1].Compressed}, {without[0].Revision, without[0].Compressed}, {without[1].Revision, without[1].Compressed}} {
				if got.revision != with[0].Revision || !bytes.Equal(got.packed, with[0].Compressed) {
					t.Fatalf("seed %d step %d: revision %d here, %d there", seed, step, got.revision, with[0].Revision)
				}
			}
			o.taken = o.taken || with[0].Revision != before
			sent = append(sent, o)
			switch rng.IntN(40) { // a member is sent the snapshot of another
			case 0:
				with[1] = copyOf[State](t, without[0])
			case 1:
				without[1] = copyOf[oldState](t, with[1])
			case 2:
				without[0] = copyOf[oldState](t, without[1])
			case 3:
				with[0] = copyOf[State](t, with[1])
			}
		}
		if with[0].Revision < 300 {
			t.Fatalf("seed %d: %d versions are too few", seed, with[0].Revision)
		}
	}
}

// Whatever bytes stand in an entry: versions rise, what was taken stays taken, and
// the same entry again changes nothing.
func FuzzEntries(f *testing.F) {
	var entries [][]byte
	for i := range uint64(3) {
		data, err := encodeReplaceCommand(2*i, 2*i+2, fmt.Append(nil, i))
		if err != nil {
			f.Fatal(err)
		}
		entries = append(entries, data)
		f.Add(data)
		if data, err = cbor.Marshal(oldEntry{Base: 4, Revision: 9 + i, Compressed: []byte{byte(i), 'x'}, Hash: i}); err != nil {
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
		if took := after != before; took && (first.Outcome != OutcomeApplied || after < before) || first.Outcome == OutcomeAcceptable {
			t.Fatalf("revision %d after %d: %+v", after, before, first)
		}
		again := s.Apply(data)
		if s.Revision != after || first.Outcome == OutcomeApplied && again.Outcome != OutcomeApplied {
			t.Fatalf("again: revision %d after %d: %+v", s.Revision, after, again)
		}
		if r := s.Apply(entries[0]); r.Outcome != OutcomeApplied || s.Revision != after {
			t.Fatalf("the first version sent again: %+v", r)
		}
	})
}
