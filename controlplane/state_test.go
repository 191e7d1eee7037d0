package controlplane

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// applyReplace applies a replace command and returns its outcome.
func applyReplace(t *testing.T, s *State, base, revision uint64, config []byte) Outcome {
	t.Helper()
	data, err := encodeReplaceCommand(base, revision, config)
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(data).Outcome
}

// A command whose response was lost is acknowledged when it is retried after days of changes.
// Regression test for a user report: it was refused.
func TestCommandRetriedAfterDaysIsAcknowledged(t *testing.T) {
	const changes = 2000 // a full-size fleet makes 720 a day
	var s State
	for i := range uint64(changes) {
		if got := applyReplace(t, &s, i, i+1, fmt.Append(nil, i)); got != OutcomeApplied {
			t.Fatalf("revision %d: outcome %d", i+1, got)
		}
	}
	for i := range uint64(changes) {
		if got := applyReplace(t, &s, i, i+1, fmt.Append(nil, i)); got != OutcomeApplied {
			t.Fatalf("retry of revision %d of %d: outcome %d", i+1, changes, got)
		}
	}
	if got := applyReplace(t, &s, 7, 8, []byte("another")); got != OutcomeConflict {
		t.Errorf("another configuration under an applied revision: outcome %d", got)
	}
}

func TestAppliedRevisionsAreBounded(t *testing.T) {
	const changes = 5000
	var s State
	for i := range uint64(changes) {
		if got := applyReplace(t, &s, i, i+1, fmt.Append(nil, i)); got != OutcomeApplied {
			t.Fatalf("revision %d: outcome %d", i+1, got)
		}
	}
	if len(s.Applied) != maxAppliedRevisions || s.Revision != changes {
		t.Errorf("%d revisions are remembered, the newest is %d", len(s.Applied), s.Revision)
	}
	repeated := s.Evaluate(changes-2, changes-1, fingerprintOf(fmt.Append(nil, changes-2)))
	if repeated.Outcome != OutcomeApplied {
		t.Errorf("retry of the same command: %+v", repeated)
	}
}

// collidingConfigs returns two different byte strings with the same XXH64 hash: their second blocks
// cancel the difference that their first blocks make in an accumulator.
func collidingConfigs(t *testing.T) (a, b []byte) {
	t.Helper()
	const prime1, prime2 = 11400714785074694791, 14029467366897019727 // constants of XXH64
	round := func(accumulator, input uint64) uint64 {
		return bits.RotateLeft64(accumulator+input*prime2, 31) * prime1
	}
	var p1, p2 uint64 = prime1, prime2 // variables, since constant sums must not overflow
	inverse := p2                      // multiplicative inverse of p2 modulo 2^64, by Newton's method
	for range 6 {
		inverse *= 2 - p2*inverse
	}
	a, b = make([]byte, 64), make([]byte, 64)
	first, other, second := uint64(1), uint64(2), uint64(3)
	start := p1 + p2
	binary.LittleEndian.PutUint64(a, first)
	binary.LittleEndian.PutUint64(b, other)
	binary.LittleEndian.PutUint64(a[32:], second)
	binary.LittleEndian.PutUint64(b[32:], second+(round(start, first)-round(start, other))*inverse)
	if xxhash.Sum64(a) != xxhash.Sum64(b) {
		t.Fatal("the hashes differ")
	}
	return a, b
}

// Two operators send different configurations under one revision, with colliding non-cryptographic
// hashes. Only one is applied.
func TestCommandsWithCollidingHashesAreDistinguished(t *testing.T) {
	a, b := collidingConfigs(t)
	var s State
	if got := applyReplace(t, &s, 0, 5, a); got != OutcomeApplied {
		t.Fatal(got)
	}
	if got := applyReplace(t, &s, 0, 5, b); got != OutcomeConflict {
		t.Errorf("colliding configuration under the same revision: outcome %d", got)
	}
	if got := applyReplace(t, &s, 0, 5, a); got != OutcomeApplied {
		t.Errorf("retry of the first configuration: outcome %d", got)
	}
}

// A retry of an applied command that is no longer remembered is neither acknowledged nor refused. A
// command that was certainly never applied is still refused.
func TestForgottenCommandIsNeitherAcknowledgedNorRefused(t *testing.T) {
	var s State
	const last = uint64(maxAppliedRevisions + 10)
	for i := range last {
		applyReplace(t, &s, 2*i, 2*i+2, fmt.Append(nil, i))
	}
	newestConfig := fmt.Sprint(last - 1)
	for _, c := range []struct {
		name           string
		base, revision uint64
		config         string
		want           Outcome
	}{
		{"applied and forgotten", 0, 2, "0", OutcomeUnknown},
		{"newest forgotten command", 18, 20, "9", OutcomeUnknown},
		{"oldest remembered command", 20, 22, "10", OutcomeApplied},
		{"indistinguishable from an applied command", 16, 20, "another", OutcomeUnknown},
		{"conflicts with a remembered command", 20, 22, "another", OutcomeConflict},
		{"conflict, revision never applied", 20, 23, "another", OutcomeConflict},
		{"never valid: revision not above its base", 8, 7, "another", OutcomeConflict},
		{"revision not above the current one", 2 * last, 7, "another", OutcomeInvalid},
		{"newest command", 2*last - 2, 2 * last, newestConfig, OutcomeApplied},
		{"newest command with another base", 2*last - 4, 2 * last, newestConfig, OutcomeApplied},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := applyReplace(t, &s, c.base, c.revision, []byte(c.config)); got != c.want {
				t.Errorf("base %d, revision %d: outcome %d, want %d", c.base, c.revision, got, c.want)
			}
		})
	}
	if s.Revision != 2*last {
		t.Errorf("revision %d", s.Revision)
	}
	s.Applied[0].Revision = math.MaxUint64 // the longest encoding
	data, err := cbor.Marshal(s.Applied)
	if err != nil || len(s.Applied) != maxAppliedRevisions || len(data) > 39*maxAppliedRevisions+3 {
		t.Errorf("%d revisions take %d bytes, %v", len(s.Applied), len(data), err)
	}
}

// The oldest revision since which all applied revisions are remembered is stored, not inferred from
// the number of remembered revisions.
func TestOldestRememberedRevisionIsExact(t *testing.T) {
	before := State{Revision: 4, Uncompressed: []byte("four")} // from a version that remembered no applied revisions
	if got := applyReplace(t, &before, 4, 6, []byte("six")); got != OutcomeApplied {
		t.Fatal(got)
	}
	if got := applyReplace(t, &before, 3, 4, []byte("four")); got != OutcomeUnknown {
		t.Errorf("revision applied before any were remembered: outcome %d", got)
	}
	var complete State
	for i := range uint64(2 * maxAppliedBeforeDigests) {
		applyReplace(t, &complete, complete.Revision, 5+i, fmt.Append(nil, i))
	}
	if got := applyReplace(t, &complete, 0, 3, []byte("lost")); got != OutcomeConflict {
		t.Errorf("revision below the first, with all revisions remembered: outcome %d", got)
	}
}

// A state whose remembered revisions are inconsistent is not imported.
func TestImportChecksAppliedRevisions(t *testing.T) {
	for _, c := range []struct {
		name    string
		corrupt func(*State)
		valid   bool
	}{
		{"unchanged export", func(*State) {}, true},
		{"newest fingerprint differs", replaceNewestFingerprint, false},
		{"newest revision missing", func(s *State) { s.Applied = s.Applied[:2] }, false},
		{"out of order", func(s *State) { s.Applied[0], s.Applied[1] = s.Applied[1], s.Applied[0] }, false},
		{"remembered since a revision below the oldest one", func(s *State) { s.AppliedFrom = 3 }, false},
		{"too many revisions", addTooManyApplied, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s State
			for i := range uint64(3) {
				if got := applyReplace(t, &s, 2*i, 2*i+2, testConfig(t, 2*i+2)); got != OutcomeApplied {
					t.Fatal(got)
				}
			}
			c.corrupt(&s)
			data, err := Export(&s)
			if err != nil {
				t.Fatal(err)
			}
			_, err = Import(data)
			if (err == nil) != c.valid || err != nil && !errors.Is(err, ErrInvalidExport) {
				t.Errorf("import returned %v", err)
			}
		})
	}
}

func addTooManyApplied(s *State) {
	for range maxAppliedRevisions {
		last := s.Applied[len(s.Applied)-1].Revision
		s.Applied = append(s.Applied, appliedRevision{Revision: last + 1})
	}
}

func replaceNewestFingerprint(s *State) {
	s.Applied[len(s.Applied)-1].fingerprint = fingerprintOf([]byte("another"))
}
