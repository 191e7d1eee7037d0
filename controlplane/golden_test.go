package controlplane

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
)

// The files under testdata/golden were written by the program of f96d826. A member of
// that program and one of this may share a core, a log and a snapshot, so what stands in
// the files must be read and written to the same bytes. The client keeps nothing on disk.

// golden reads a file that the earlier program wrote.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// goldenLog are the entries of the earlier program's log, in the order of the log.
var goldenLog = []string{
	"entry-1-plain.cbor",
	"entry-2-hash.cbor",
	"entry-3-digest.cbor",
	"entry-4-sent-again.cbor",
	"entry-5-base-replaced.cbor",
	"entry-6-revision-not-above.cbor",
	"entry-7-not-cbor.cbor",
	"entry-8-digest.cbor",
	"entry-9-compressed.cbor",
}

// decodeAs decodes bytes and requires that they are encoded to the same bytes again.
func decodeAs[T any](t *testing.T, data []byte) T {
	t.Helper()
	var value T
	if err := cbor.Unmarshal(data, &value); err != nil {
		t.Fatal(err)
	}
	encoded, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, data) {
		t.Fatalf("encoded again to other bytes:\n%x\nwant\n%x", encoded, data)
	}
	return value
}

func TestGoldenLogEntriesKeepTheirBytes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		file           string
		base, revision uint64
		config         string // file of what the entry brings
		plain          bool   // it is stored as it was sent
		digest         bool   // it has a digest
	}{
		{file: "entry-1-plain.cbor", base: 0, revision: 2, config: "config-2.cbor", plain: true},
		{file: "entry-2-hash.cbor", base: 2, revision: 3, config: "config-3.cbor"},
		{file: "entry-3-digest.cbor", base: 3, revision: 5, config: "config-5.cbor", digest: true},
		{file: "entry-8-digest.cbor", base: 5, revision: 9, config: "config-9.cbor", digest: true},
		{file: "entry-9-compressed.cbor", base: 9, revision: 12, config: "config-12.cbor", digest: true},
	} {
		t.Run(c.file, func(t *testing.T) {
			data, sent := golden(t, c.file), golden(t, c.config)
			entry := decodeAs[replaceCommand](t, data)
			if entry.Base != c.base || entry.Revision != c.revision {
				t.Errorf("revision %d on %d, want %d on %d", entry.Revision, entry.Base, c.revision, c.base)
			}
			if got := entry.fingerprint(); got != fingerprintOf(sent) {
				t.Errorf("fingerprint %x, want %x", got, fingerprintOf(sent))
			}
			if (entry.Uncompressed != nil) != c.plain || c.plain && !bytes.Equal(entry.Uncompressed, sent) {
				t.Errorf("stored as it was sent: %t, want %t", entry.Uncompressed != nil, c.plain)
			}
			if (entry.Digest != nil) != c.digest {
				t.Errorf("with a digest: %t, want %t", entry.Digest != nil, c.digest)
			}
			if !c.digest {
				return
			}
			if made, err := encodeReplaceCommand(c.base, c.revision, sent); err != nil || !bytes.Equal(made, data) {
				t.Errorf("the same order makes the entry\n%x, %v, want\n%x", made, err, data)
			}
		})
	}
}

func TestGoldenLogGivesTheGoldenSnapshot(t *testing.T) {
	t.Parallel()
	results := decodeAs[[]api.ControlResponse](t, golden(t, "results.cbor"))
	var s State
	for i, name := range goldenLog {
		if got := s.Apply(golden(t, name)).result(); !reflect.DeepEqual(got, results[i]) {
			t.Errorf("%s: %+v, want %+v", name, got, results[i])
		}
		if i == 2 {
			requireEncoding(t, s, "snapshot-after-3.cbor")
		}
	}
	requireEncoding(t, s, "snapshot.cbor")
}

// requireEncoding requires that a value is encoded to the bytes of a golden file.
func requireEncoding(t *testing.T, value any, name string) {
	t.Helper()
	data, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if want := golden(t, name); !bytes.Equal(data, want) {
		t.Errorf("%s: encoded to\n%x, want\n%x", name, data, want)
	}
}

func TestGoldenSnapshotsKeepTheirBytes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		file     string
		versions []uint64
		taken    int
		config   string
	}{
		{file: "snapshot-after-3.cbor", versions: []uint64{3, 5}, taken: 3, config: "config-5.cbor"},
		{file: "snapshot.cbor", versions: []uint64{3, 5, 9, 12}, taken: 5, config: "config-12.cbor"},
		{file: "snapshot-plain.cbor", versions: []uint64{4}},
		{file: "snapshot-hash-only-stored-again.cbor", versions: []uint64{200}, taken: 128},
	} {
		t.Run(c.file, func(t *testing.T) {
			s := decodeAs[State](t, golden(t, c.file))
			if got := s.Revisions(); !slices.Equal(got, c.versions) {
				t.Errorf("versions %v, want %v", got, c.versions)
			}
			if len(s.Applied) != c.taken {
				t.Errorf("%d versions are remembered, want %d", len(s.Applied), c.taken)
			}
			sent, err := s.Config()
			if err != nil {
				t.Fatal(err)
			}
			if c.config != "" && !bytes.Equal(sent, golden(t, c.config)) {
				t.Errorf("configuration %x", sent)
			}
			if parsed, err := api.ParseConfig(sent); err != nil || parsed.Revision != s.Revision {
				t.Errorf("the configuration of revision %d: %v", s.Revision, err)
			}
		})
	}
}

// A program before digests wrote a hash alone of each version. The digest is written as
// zeros when such a snapshot is stored again, and the outcome of a command of long ago is unknown.
func TestGoldenSnapshotWithoutDigestsIsRead(t *testing.T) {
	t.Parallel()
	var s State
	if err := cbor.Unmarshal(golden(t, "snapshot-hash-only.cbor"), &s); err != nil {
		t.Fatal(err)
	}
	requireEncoding(t, s, "snapshot-hash-only-stored-again.cbor")
	results := decodeAs[[]api.ControlResponse](t, golden(t, "results.cbor"))
	want := results[len(results)-1]
	if got := s.Apply(golden(t, "entry-forgotten.cbor")).result(); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestGoldenExportKeepsItsBytes(t *testing.T) {
	t.Parallel()
	file := golden(t, "state.export")
	s, err := Import(file)
	if err != nil {
		t.Fatal(err)
	}
	requireEncoding(t, s, "snapshot.cbor")
	if encoded, err := Export(s); err != nil || !bytes.Equal(encoded, file) {
		t.Errorf("exported again to\n%x, %v, want\n%x", encoded, err, file)
	}
}
