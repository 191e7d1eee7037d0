package settings

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func parseNode(text []byte) (any, error)   { return Parse(text) }
func parseTuning(text []byte) (any, error) { return ParseTuning(text) }

// Files that an earlier release accepted are accepted, and mean the same: what was decoded
// then, written as TOML under the names of the settings, is what is decoded now.
func TestGoldenFilesMeanTheSame(t *testing.T) {
	for name, parse := range map[string]func([]byte) (any, error){
		"node-full": parseNode, "node-edge": parseNode, "tuning-set": parseTuning, "tuning-empty": parseTuning,
	} {
		decoded, err := parse(readGolden(t, name+".toml"))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		var got bytes.Buffer
		if err := toml.NewEncoder(&got).Encode(decoded); err != nil {
			t.Fatal(err)
		}
		if want := readGolden(t, name+".decoded"); !bytes.Equal(got.Bytes(), want) {
			t.Errorf("%s means\n%s, want\n%s", name, got.Bytes(), want)
		}
	}
	n, err := Parse(readGolden(t, "node-full.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if !n.CoreMember() || !n.Bootstrap || n.InternalAddr() != "10.1.0.13:7560" ||
		n.Tolerance.Machines != 2 || n.ZoneMap["10.2.0.0/16"] != "b" {
		t.Errorf("%+v", n)
	}
}

// Faults that an earlier release found are found, in the same words. Each line of the
// golden files is a text in the file, what replaces it, and the error.
func TestGoldenFaults(t *testing.T) {
	for _, c := range []struct {
		faults, sound string
		parse         func([]byte) (any, error)
	}{
		{"node-faults.txt", "node-full.toml", parseNode},
		{"tuning-faults.txt", "tuning-set.toml", parseTuning},
	} {
		sound := string(readGolden(t, c.sound))
		lines := bufio.NewScanner(bytes.NewReader(readGolden(t, c.faults)))
		for lines.Scan() {
			var before, after, want string
			if _, err := fmt.Sscanf(lines.Text(), "%q -> %q: %q", &before, &after, &want); err != nil {
				t.Fatalf("%s: %v", lines.Text(), err)
			}
			if !strings.Contains(sound, before) {
				t.Errorf("%s has no %q", c.sound, before)
			}
			if _, err := c.parse([]byte(strings.Replace(sound, before, after, 1))); fmt.Sprint(err) != want {
				t.Errorf("%q for %q: %v, want %s", after, before, err, want)
			}
		}
	}
	_, errNode := Read("testdata/none.toml")
	_, errTuning := ReadTuning("testdata/none.toml")
	got, want := fmt.Sprintln(errNode)+fmt.Sprintln(errTuning), string(readGolden(t, "missing-files.txt"))
	if got != want {
		t.Errorf("%s, want %s", got, want)
	}
}
