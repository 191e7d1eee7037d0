package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"

	"example.org/elmspan/controlplane"
	"example.org/elmspan/internal/atomicfile"
	"example.org/elmspan/raft/storage"
	"example.org/elmspan/settings"
)

type stateCmd struct {
	Export stateExport `cmd:"" help:"${statecmd_export}"`
	Import stateImport `cmd:"" help:"${statecmd_import}"`
	Check  stateCheck  `cmd:"" help:"${statecmd_check}"`
}

type stateExport struct {
	Control string `help:"${stateexport_control}" placeholder:"HOST:PORT" xor:"from" required:""`
	Data    string `help:"${stateexport_data}" type:"existingdir" xor:"from" required:""`
	Out     string `arg:"" help:"The file to write. It holds keys."`
	callerFlags
}

// Run writes an export.
func (c *stateExport) Run() error {
	var data []byte
	var err error
	if c.Control != "" {
		data, err = c.call(http.MethodGet, c.Control, "/v1/State.Export", nil, nil)
	} else {
		err = withStore(c.Data, func(s *storage.Store) error {
			found, err := controlplane.Inspect(s)
			if err == nil {
				data, err = controlplane.Export(found.State)
			}
			return err
		})
	}
	if err != nil {
		return err
	}
	state, err := controlplane.Import(data)
	if err != nil {
		return err
	}
	if err := atomicfile.WriteFile(c.Out, data, 0o600); err != nil {
		return err
	}
	fmt.Printf("%s: revision %d, %d versions\n", c.Out, state.Revision, len(state.Revisions()))
	return nil
}

type stateImport struct {
	File     string `arg:"" help:"The export." type:"existingfile"`
	Settings string `help:"${stateimport_settings}" env:"ELMSPAN_NODE_FILE" required:"" placeholder:"FILE"`
}

// Run begins a member from an export.
func (c *stateImport) Run() error {
	node, err := settings.Read(c.Settings)
	if err != nil {
		return err
	}
	if !node.CoreMember() {
		return fmt.Errorf("%s: this machine is none of the core: quorum_member, data_dir and control are needed",
			c.Settings)
	}
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	state, err := controlplane.Import(data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	err = withStore(node.DataDir, func(s *storage.Store) error {
		return controlplane.Restore(s, node.InternalAddr(), node.SeedAddrs(), state)
	})
	if err == nil {
		fmt.Printf("%s begins with revision %d; do the same on each of %v, then start them with bootstrap = false\n",
			node.Name, state.Revision, node.SeedAddrs())
	}
	return err
}

type stateCheck struct {
	Path string `arg:"" help:"A data folder, or an export." type:"path"`
}

// Run says what is there.
func (c *stateCheck) Run() error {
	info, err := os.Stat(c.Path)
	if err != nil {
		return err
	}
	if !info.IsDir() {
		data, err := os.ReadFile(c.Path)
		if err != nil {
			return err
		}
		state, err := controlplane.Import(data)
		if err == nil {
			describeState(state)
		}
		return err
	}
	return withStore(c.Path, func(s *storage.Store) error {
		found, err := controlplane.Inspect(s)
		if err != nil {
			return err
		}
		stored := &found.Stored
		fmt.Printf("member      %x\nterm        %d\nsnapshot    up to %d\nlog         %d entries, up to %d\n",
			uint64(found.ID), stored.HardState.Term, stored.Snapshot.Index,
			len(stored.Entries), stored.Snapshot.Index+uint64(len(stored.Entries)))
		for _, m := range stored.Snapshot.Members {
			fmt.Printf("voter %-5v %x at %s\n", m.Voter, uint64(m.ID), m.Addr)
		}
		describeState(found.State)
		return nil
	})
}

func describeState(s *controlplane.State) {
	fmt.Printf("revision    %d\nversions    %v\n", s.Revision, s.Revisions())
}

// withStore opens the log in a data folder.
func withStore(dir string, do func(*storage.Store) error) error {
	s, err := storage.Open(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	return errors.Join(do(s), s.Close())
}
