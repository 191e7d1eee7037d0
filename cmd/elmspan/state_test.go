package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
	"example.org/elmspan/raft/storage"
)

// machineFile is a settings file of a machine that serves control.
const machineFile = `node_name = %q
served_roles = ["control"]
ip = %q
zone = "z"
internal_port_range = [7000, 7001]
seed_peers = ["127.0.0.1:9000", "127.0.0.2:9000"]
quorum_member = %v
data_dir = %q
[listeners]
control_port = "%s:9000"
[timing_bounds]
drain_ms = 3000
grace_s = 6
config_apply_ms = 3000
[cloud_api]
address = "127.0.0.9:1"
rate_per_s = 50.0
`

// makeMachine writes a machine's settings file and makes its data folder.
func makeMachine(t *testing.T, dir, name, ip string, quorum bool) (path, data string) {
	t.Helper()
	path, data = filepath.Join(dir, name+".toml"), filepath.Join(dir, name)
	if err := os.WriteFile(path, fmt.Appendf(nil, machineFile, name, ip, quorum, data, ip), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(data, 0o755); err != nil {
		t.Fatal(err)
	}
	return path, data
}

// makeExport writes an export of a member at revision 5, and returns its path.
func makeExport(t *testing.T, dir string) string {
	t.Helper()
	conf, err := cbor.Marshal(&api.Config{Revision: 5, Upstreams: []api.Upstream{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	_, data := makeMachine(t, dir, "first", "127.0.0.1", true)
	err = withStore(data, func(s *storage.Store) error {
		state := &controlplane.State{Revision: 5, Uncompressed: conf}
		return controlplane.Restore(s, "127.0.0.1:7000", []string{"127.0.0.1:7000"}, state)
	})
	if err != nil {
		t.Fatal(err)
	}
	export := filepath.Join(dir, "export")
	if err := (&stateExport{Data: data, Out: export}).Run(); err != nil {
		t.Fatal(err)
	}
	return export
}

// What one machine's disk holds is exported, checked, and begins a core on an
// empty disk; over a state, or at a machine that is none of the core, nothing is
// written.
func TestStateCommands(t *testing.T) {
	dir := t.TempDir()
	export := makeExport(t, dir)
	path, data := makeMachine(t, dir, "second", "127.0.0.2", true)
	if err := (&stateImport{File: export, Settings: path}).Run(); err != nil {
		t.Fatal(err)
	}
	for _, what := range []string{export, data} {
		if err := (&stateCheck{Path: what}).Run(); err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	err := (&stateImport{File: export, Settings: path}).Run()
	if err == nil || !strings.Contains(err.Error(), "already") {
		t.Errorf("over a state: %v", err)
	}
	noSeed, empty := makeMachine(t, dir, "third", "127.0.0.3", true)
	if (&stateImport{File: export, Settings: noSeed}).Run() == nil {
		t.Error("at a machine that is no seed")
	}
	noMember, _ := makeMachine(t, dir, "fourth", "127.0.0.4", false)
	if (&stateImport{File: export, Settings: noMember}).Run() == nil {
		t.Error("at a machine that is none of the core")
	}
	err = withStore(empty, func(s *storage.Store) error {
		if id, err := s.Identity(); err != nil || id != 0 {
			t.Errorf("something was written: %x, %v", uint64(id), err)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}
