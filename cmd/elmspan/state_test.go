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

// What one machine's disk holds is exported, checked, and begins a core on an
// empty disk; over a state, or at a machine that is none of the core, nothing is
// written.
func TestStateCommands(t *testing.T) {
	dir := t.TempDir()
	node := func(name, ip string, quorum bool) (path, data string) {
		path, data = filepath.Join(dir, name+".toml"), filepath.Join(dir, name)
		text := fmt.Sprintf("node_name = %q\nserved_roles = [\"control\"]\nip = %q\nzone = \"z\"\ninternal_port_range = [7000, 7001]\nseed_peers = [\"127.0.0.1:9000\", \"127.0.0.2:9000\"]\n"+
			"quorum_member = %v\ndata_dir = %q\n[listeners]\ncontrol_port = \"%s:9000\"\n[timing_bounds]\ndrain_ms = 3000\ngrace_s = 6\nconfig_apply_ms = 3000\n[cloud_api]\naddress = \"127.0.0.9:1\"\nrate_per_s = 50.0\n",
			name, ip, quorum, data, ip)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Mkdir(data, 0o755); err != nil {
			t.Fatal(err)
		}
		return path, data
	}
	conf, err := cbor.Marshal(&api.Config{Revision: 5, Upstreams: []api.Upstream{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	_, first := node("first", "127.0.0.1", true)
	err = withStore(first, func(s *storage.Store) error {
		return controlplane.Restore(s, "127.0.0.1:7000", []string{"127.0.0.1:7000"}, &controlplane.State{Revision: 5, Uncompressed: conf})
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "export")
	if err := (&stateExport{Data: first, Out: file}).Run(); err != nil {
		t.Fatal(err)
	}
	path, data := node("second", "127.0.0.2", true)
	if err := (&stateImport{File: file, Settings: path}).Run(); err != nil {
		t.Fatal(err)
	}
	for _, what := range []string{file, data} {
		if err := (&stateCheck{Path: what}).Run(); err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := (&stateImport{File: file, Settings: path}).Run(); err == nil || !strings.Contains(err.Error(), "already") {
		t.Errorf("over a state: %v", err)
	}
	other, empty := node("third", "127.0.0.3", true)
	if (&stateImport{File: file, Settings: other}).Run() == nil {
		t.Error("at a machine that is no seed")
	}
	none, _ := node("fourth", "127.0.0.4", false)
	if (&stateImport{File: file, Settings: none}).Run() == nil {
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
