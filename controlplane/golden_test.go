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

// The files under testdata/golden were written by the program built from commit f96d826. Members
// of that version and of this one may run in one cluster and exchange log entries and snapshots, so
// each file must be decoded, and its content encoded to the same bytes again. There are no files of
// [Client], which stores nothing on disk.

// readGolden reads a golden file.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// goldenLog lists the files of the golden log entries in log order.
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

// decodeAs decodes a value and requires that encoding it gives the same bytes.
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
		t.Fatalf("re-encoded to\n%x\nwant\n%x", encoded, data)
	}
	return value
}

func TestGoldenLogEntriesKeepTheirBytes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		file           string
		base, revision uint64
		config         string // file of the configuration in the entry
		plain          bool   // the configuration is stored uncompressed
		digest         bool   // the entry has a digest
	}{
		{file: "entry-1-plain.cbor", base: 0, revision: 2, config: "config-2.cbor", plain: true},
		{file: "entry-2-hash.cbor", base: 2, revision: 3, config: "config-3.cbor"},
		{file: "entry-3-digest.cbor", base: 3, revision: 5, config: "config-5.cbor", digest: true},
		{file: "entry-8-digest.cbor", base: 5, revision: 9, config: "config-9.cbor", digest: true},
		{file: "entry-9-compressed.cbor", base: 9, revision: 12, config: "config-12.cbor", digest: true},
	} {
		t.Run(c.file, func(t *testing.T) {
			data, sent := readGolden(t, c.file), readGolden(t, c.config)
			entry := decodeAs[replaceCommand](t, data)
			if entry.Base != c.base || entry.Revision != c.revision {
				t.Errorf("revision %d on base %d, want %d on base %d", entry.Revision, entry.Base, c.revision, c.base)
			}
			if got := entry.fingerprint(); got != fingerprintOf(sent) {
				t.Errorf("fingerprint %x, want %x", got, fingerprintOf(sent))
			}
			if (entry.Uncompressed != nil) != c.plain || c.plain && !bytes.Equal(entry.Uncompressed, sent) {
				t.Errorf("stored uncompressed: %t, want %t", entry.Uncompressed != nil, c.plain)
			}
			if (entry.Digest != nil) != c.digest {
				t.Errorf("has a digest: %t, want %t", entry.Digest != nil, c.digest)
			}
			if !c.digest {
				return
			}
			if enc, err := encodeReplaceCommand(c.base, c.revision, sent); err != nil || !bytes.Equal(enc, data) {
				t.Errorf("the same command is encoded to\n%x, %v, want\n%x", enc, err, data)
			}
		})
	}
}

func TestGoldenLogGivesTheGoldenSnapshot(t *testing.T) {
	t.Parallel()
	results := decodeAs[[]api.ControlResponse](t, readGolden(t, "results.cbor"))
	var s State
	for i, name := range goldenLog {
		if got := s.Apply(readGolden(t, name)).result(); !reflect.DeepEqual(got, results[i]) {
			t.Errorf("%s: %+v, want %+v", name, got, results[i])
		}
		if i == 2 {
			requireEncoding(t, s, "snapshot-after-3.cbor")
		}
	}
	requireEncoding(t, s, "snapshot.cbor")
}

// requireEncoding requires that a value encodes to the bytes of a golden file.
func requireEncoding(t *testing.T, value any, name string) {
	t.Helper()
	data, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if want := readGolden(t, name); !bytes.Equal(data, want) {
		t.Errorf("%s: encoded to\n%x, want\n%x", name, data, want)
	}
}

func TestGoldenSnapshotsKeepTheirBytes(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		file       string
		revisions  []uint64
		remembered int
		config     string
	}{
		{file: "snapshot-after-3.cbor", revisions: []uint64{3, 5}, remembered: 3, config: "config-5.cbor"},
		{file: "snapshot.cbor", revisions: []uint64{3, 5, 9, 12}, remembered: 5, config: "config-12.cbor"},
		{file: "snapshot-plain.cbor", revisions: []uint64{4}},
		{file: "snapshot-hash-only-stored-again.cbor", revisions: []uint64{200}, remembered: 128},
	} {
		t.Run(c.file, func(t *testing.T) {
			s := decodeAs[State](t, readGolden(t, c.file))
			if got := s.Revisions(); !slices.Equal(got, c.revisions) {
				t.Errorf("revisions %v, want %v", got, c.revisions)
			}
			if len(s.Applied) != c.remembered {
				t.Errorf("%d applied revisions are remembered, want %d", len(s.Applied), c.remembered)
			}
			sent, err := s.Config()
			if err != nil {
				t.Fatal(err)
			}
			if c.config != "" && !bytes.Equal(sent, readGolden(t, c.config)) {
				t.Errorf("unexpected configuration %x", sent)
			}
			if parsed, err := api.ParseConfig(sent); err != nil || parsed.Revision != s.Revision {
				t.Errorf("the configuration of revision %d: %v", s.Revision, err)
			}
		})
	}
}

// Versions without digests stored only a hash of each applied revision. When such a snapshot is
// stored again, the digests are written as zeros. The outcome of a command that was forgotten is
// unknown.
func TestGoldenSnapshotWithoutDigestsIsRead(t *testing.T) {
	t.Parallel()
	var s State
	if err := cbor.Unmarshal(readGolden(t, "snapshot-hash-only.cbor"), &s); err != nil {
		t.Fatal(err)
	}
	requireEncoding(t, s, "snapshot-hash-only-stored-again.cbor")
	results := decodeAs[[]api.ControlResponse](t, readGolden(t, "results.cbor"))
	want := results[len(results)-1]
	if got := s.Apply(readGolden(t, "entry-forgotten.cbor")).result(); !reflect.DeepEqual(got, want) {
		t.Errorf("result of the forgotten command: %+v, want %+v", got, want)
	}
}

func TestGoldenExportKeepsItsBytes(t *testing.T) {
	t.Parallel()
	file := readGolden(t, "state.export")
	s, err := Import(file)
	if err != nil {
		t.Fatal(err)
	}
	requireEncoding(t, s, "snapshot.cbor")
	if encoded, err := Export(s); err != nil || !bytes.Equal(encoded, file) {
		t.Errorf("re-exported to\n%x, %v, want\n%x", encoded, err, file)
	}
}
