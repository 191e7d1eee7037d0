package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"example.org/elmspan/raft"
)

// The files in testdata/golden were written by the version at commit f96d826. They must not
// be regenerated, because existing stores hold data in this format.
const goldenDir = "testdata/golden"

// patternBytes returns n bytes in a fixed pattern.
func patternBytes(n int) []byte {
	data := make([]byte, n)
	for i := range data {
		data[i] = byte(i*7 + i>>8)
	}
	return data
}

// goldenMembers are a voter, a learner, and a member leaving in a joint consensus.
func goldenMembers() []raft.Member {
	return []raft.Member{
		{ID: 7, Addr: "127.0.0.1:7001", Voter: true, SupportsJoint: true},
		{ID: 1 << 63, Addr: "[::1]:7002"},
		{ID: 9, Addr: "control-9.example.org:7003", Outgoing: true},
	}
}

// goldenRecord is a stored record, with its file, key and decoded value.
type goldenRecord struct {
	file   string
	key    []byte
	value  any // the expected decoded value
	target any // pointer to a zero value of the same type, to decode into
}

func goldenRecords() []goldenRecord {
	return []goldenRecord{
		{"entry-empty.record", entryKey(1), raft.Entry{Index: 1, Term: 1}, &raft.Entry{}},
		{"entry-data.record", entryKey(300),
			raft.Entry{Index: 300, Term: 70_000, Data: []byte("a configuration")}, &raft.Entry{}},
		{"entry-members.record", entryKey(1 << 40),
			raft.Entry{Index: 1 << 40, Term: 4, Members: goldenMembers()}, &raft.Entry{}},
		{"hard-state.record", keyHardState, raft.HardState{Term: 70_000, Vote: 1 << 63}, new(raft.HardState)},
		{"hard-state-no-vote.record", keyHardState, raft.HardState{Term: 1}, new(raft.HardState)},
		{"identity.record", keyIdentity, raft.ID(0x0123456789abcdef), new(raft.ID)},
		{"snapshot-first.record", keySnapshot, raft.Snapshot{Members: goldenMembers()[:1]}, new(raft.Snapshot)},
		{"snapshot-large.record", keySnapshot,
			raft.Snapshot{Index: 300, Term: 9, Members: goldenMembers(), Data: patternBytes(40_000)}, &raft.Snapshot{}},
		{"batch.record", keyBatch, batchID{Sequence: 5, Digest: 0xfedcba9876543210}, new(batchID)},
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(goldenDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestGoldenRecordsDecodeAndEncodeToTheSameBytes(t *testing.T) {
	for _, c := range goldenRecords() {
		t.Run(c.file, func(t *testing.T) {
			want := readGolden(t, c.file)
			if err := decodeRecord(want, c.target); err != nil {
				t.Fatal(err)
			}
			got := reflect.ValueOf(c.target).Elem().Interface()
			if !reflect.DeepEqual(got, c.value) {
				t.Errorf("decoded %+v, want %+v", got, c.value)
			}
			encoded, err := encodeRecord(c.key, got)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(encoded, want) {
				t.Errorf("encoded to % x, want % x", encoded, want)
			}
		})
	}
}

// goldenSeals maps the name of each seal file to the batches that were written to it: the
// one it was created with, and those it was then advanced to.
func goldenSeals() map[string][]batchID {
	return map[string][]batchID{
		"seal-empty": {{}},
		"seal-first": {{Sequence: 1, Digest: 0x1111111111111111}},
		"seal-advanced": {
			{}, {Sequence: 1, Digest: 0x1111}, {Sequence: 2, Digest: 0x2222}, {Sequence: 3, Digest: 0x3333},
		},
	}
}

// writeSeal creates a seal file for the first batch and advances it to the others in turn.
func writeSeal(t *testing.T, batches []batchID) (path string) {
	t.Helper()
	dir := t.TempDir()
	path = filepath.Join(dir, sealName)
	if err := createSeal(osFileSystem{}, dir, path, batches[0]); err != nil {
		t.Fatal(err)
	}
	s, err := openSeal(osFileSystem{}, path)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(s.file)
	for _, batch := range batches[1:] {
		if err := s.advance(batch); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

func TestGoldenSealsDecodeAndEncodeToTheSameBytes(t *testing.T) {
	for name, batches := range goldenSeals() {
		t.Run(name, func(t *testing.T) {
			want := readGolden(t, name)
			path := filepath.Join(t.TempDir(), sealName)
			if err := os.WriteFile(path, want, 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := openSeal(osFileSystem{}, path)
			if err != nil {
				t.Fatal(err)
			}
			defer closeQuietly(s.file)
			if last := batches[len(batches)-1]; s.batch != last {
				t.Errorf("decoded %+v, want %+v", s.batch, last)
			}
			encoded, err := os.ReadFile(writeSeal(t, batches))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(encoded, want) {
				t.Errorf("the encoded %d bytes differ from the %d bytes of the file", len(encoded), len(want))
			}
		})
	}
}

func TestGoldenFormatFileDecodesAndEncodesToTheSameBytes(t *testing.T) {
	dir := t.TempDir()
	want := readGolden(t, "FORMAT.1")
	if err := os.WriteFile(filepath.Join(dir, "FORMAT.1"), want, 0o600); err != nil {
		t.Fatal(err)
	}
	v, names, err := readFormat(osFileSystem{}, dir)
	if err != nil || v != (formatVersion{Format: 1, MinReader: 1}) || len(names) != 1 {
		t.Errorf("decoded %+v from %v, %v", v, names, err)
	}
	if encoded := v.content(); encoded != string(want) {
		t.Errorf("encoded to %q, want %q", encoded, want)
	}
}

// goldenStore returns the state stored in testdata/golden/store.
func goldenStore() raft.PersistentState {
	return raft.PersistentState{
		HardState: raft.HardState{Term: 3, Vote: 9},
		Snapshot:  raft.Snapshot{Index: 2, Term: 2, Members: goldenMembers(), Data: patternBytes(20_000)},
		Entries: []raft.Entry{
			{Index: 3, Term: 2, Data: []byte("third")},
			{Index: 4, Term: 3, Data: patternBytes(3000)},
			{Index: 5, Term: 3, Members: goldenMembers()[:2]},
		},
	}
}

const goldenIdentity = raft.ID(0x0123456789abcdef)

// fillGoldenStore makes the calls that wrote testdata/golden/store. It closes and reopens
// the store once, so that the directory has tables as well as a write-ahead log.
func fillGoldenStore(t *testing.T, dir string) {
	t.Helper()
	want := goldenStore()
	run := func(calls ...func(*Store) error) {
		s, err := Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		for _, call := range calls {
			if err := call(s); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	run(
		func(s *Store) error { return s.Initialize(goldenIdentity, raft.Snapshot{Members: goldenMembers()[:1]}) },
		func(s *Store) error {
			return s.Save(raft.Ready{HardState: &raft.HardState{Term: 2, Vote: 7}, Entries: []raft.Entry{
				{Index: 1, Term: 1, Data: []byte("first")}, {Index: 2, Term: 2, Data: []byte("second")},
				{Index: 3, Term: 2, Data: []byte("third")}, {Index: 4, Term: 2, Data: []byte("replaced")},
			}})
		},
	)
	run(
		func(s *Store) error { return s.Save(raft.Ready{HardState: &want.HardState, Entries: want.Entries[1:]}) },
		func(s *Store) error { return s.Compact(want.Snapshot) },
	)
}

func TestGoldenStoreOpensWithAllThatWasStored(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	if err := os.CopyFS(dir, os.DirFS(filepath.Join(goldenDir, "store"))); err != nil {
		t.Fatal(err)
	}
	checkGoldenStore(t, dir, batchID{Sequence: 4, Digest: goldenStoreDigest})
	// Once more, as opening the store copied the write-ahead log to new files.
	checkGoldenStore(t, dir, batchID{Sequence: 4, Digest: goldenStoreDigest})
}

// The same calls must lead to the same number of batches and the same digest, so that older
// versions can open what this version writes.
func TestGoldenStoreCallsLeadToTheSameDigest(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "store")
	fillGoldenStore(t, dir)
	checkGoldenStore(t, dir, batchID{Sequence: 4, Digest: goldenStoreDigest})
}

// goldenStoreDigest is the digest in the seal of testdata/golden/store.
const goldenStoreDigest = 2216389306393829205

func checkGoldenStore(t *testing.T, dir string, sealed batchID) {
	t.Helper()
	s := open(t, dir)
	defer closeStore(s)
	if s.seal.batch != sealed || s.acknowledged != sealed {
		t.Errorf("got batch %+v in the seal, %+v acknowledged, want %+v", s.seal.batch, s.acknowledged, sealed)
	}
	id, err := s.Identity()
	if err != nil || id != goldenIdentity {
		t.Errorf("identity %x, %v, want %x", id, err, goldenIdentity)
	}
	got, err := s.Load()
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenStore(); !reflect.DeepEqual(got, want) {
		t.Errorf("loaded %+v, want %+v", got, want)
	}
}
