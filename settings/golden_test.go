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

// Files that an earlier release accepted are still accepted and decode to the same values. The
// golden .decoded files hold the values that it decoded, encoded as TOML.
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
			t.Errorf("%s decodes to\n%s, want\n%s", name, got.Bytes(), want)
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

// Invalid files are rejected with exactly the error texts in the golden files. Each line of a
// golden file has a text in the valid file, its replacement, and the error that results.
func TestGoldenFaults(t *testing.T) {
	for _, c := range []struct {
		faults, valid string
		parse         func([]byte) (any, error)
	}{
		{"node-faults.txt", "node-full.toml", parseNode},
		{"tuning-faults.txt", "tuning-set.toml", parseTuning},
	} {
		valid := string(readGolden(t, c.valid))
		lines := bufio.NewScanner(bytes.NewReader(readGolden(t, c.faults)))
		for lines.Scan() {
			var before, after, want string
			if _, err := fmt.Sscanf(lines.Text(), "%q -> %q: %q", &before, &after, &want); err != nil {
				t.Fatalf("%s: %v", lines.Text(), err)
			}
			if !strings.Contains(valid, before) {
				t.Errorf("%s does not contain %q", c.valid, before)
			}
			if _, err := c.parse([]byte(strings.Replace(valid, before, after, 1))); fmt.Sprint(err) != want {
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
