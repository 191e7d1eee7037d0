package controlplane

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// replaceInTurn applies revisions 1 to n, each based on the previous one.
func replaceInTurn(t *testing.T, cl *Client, n uint64) {
	t.Helper()
	for base := range n {
		if got := replaceConfig(cl, base, testConfig(t, base+1)); got != http.StatusOK {
			t.Fatalf("revision %d: status %d", base+1, got)
		}
	}
}

// requireConfigAt requires that the configuration of a revision is read back unchanged.
func requireConfigAt(ctx context.Context, t *testing.T, cl *Client, revision uint64) {
	t.Helper()
	r := cl.Get(ctx, &api.GetRequest{Revision: revision})
	if r.Status != http.StatusOK || !bytes.Equal(r.Config, testConfig(t, revision)) {
		t.Errorf("revision %d: status %d, %s", revision, r.Status, r.Reason)
	}
}

func TestPreviousConfigurationsAreReadBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		cl := newCluster(t).client()
		replaceInTurn(t, cl, 4)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		if r := cl.Get(ctx, &api.GetRequest{Revisions: true}); !slices.Equal(r.Revisions, []uint64{1, 2, 3, 4}) {
			t.Errorf("revisions %+v", r)
		}
		requireConfigAt(ctx, t, cl, 2)
		r := cl.Get(ctx, &api.GetRequest{Revision: 9})
		if r.Status != http.StatusNotFound || !strings.Contains(r.Reason, "[1 2 3 4]") {
			t.Errorf("revision 9: status %d, %s", r.Status, r.Reason)
		}
	})
}

func TestPreviousConfigurationsAreBounded(t *testing.T) {
	var s State
	for i := range uint64(200) {
		applyReplace(t, &s, i, i+1, fmt.Append(nil, strings.Repeat("x", int(i)), i))
	}
	if len(s.Previous) > maxPreviousRevisions || len(s.Previous) < maxPreviousRevisions-1 {
		t.Errorf("%d previous configurations are kept", len(s.Previous))
	}
}

// All members lose their disks. A control plane restored from an export has every configuration
// that was acknowledged.
func TestRestoreFromExportKeepsAcknowledgedConfigurations(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newCluster(t)
		cl := c.client()
		replaceInTurn(t, cl, 3)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		export := cl.Get(ctx, &api.GetRequest{State: true})
		if export.Status != http.StatusOK {
			t.Fatalf("export: %+v", export)
		}
		for _, stop := range c.stops {
			stop()
		}
		c.restore(export.Config)
		cl = c.client()
		for _, revision := range []uint64{1, 2, 3} {
			requireConfigAt(ctx, t, cl, revision)
		}
		if got := replaceConfig(cl, 2, testConfig(t, 3)); got != http.StatusOK {
			t.Errorf("retry of an acknowledged change: status %d", got)
		}
		if got := replaceConfig(cl, 3, testConfig(t, 4)); got != http.StatusOK {
			t.Errorf("change after the restore: status %d", got)
		}
	})
}

// restore starts all machines on empty disks with the state of an export.
func (c *cluster) restore(export []byte) {
	c.t.Helper()
	state, err := Import(export)
	if err != nil {
		c.t.Fatal(err)
	}
	for _, addr := range c.addrs {
		dir := memoryDir(c.t)
		store, err := storage.Open(dir)
		if err != nil {
			c.t.Fatal(err)
		}
		if err := errors.Join(Restore(store, addr, c.addrs, state), store.Close()); err != nil {
			c.t.Fatal(err)
		}
		c.start(addr, dir, false)
	}
}

func TestImportRefusesDamagedExports(t *testing.T) {
	var s State
	applyReplace(t, &s, 0, 3, testConfig(t, 3))
	file, err := Export(&s)
	if err != nil {
		t.Fatal(err)
	}
	for i := range file {
		damaged := slices.Clone(file)
		damaged[i] ^= 1
		if _, err := Import(damaged); err == nil {
			t.Fatalf("imported with byte %d of %d changed", i, len(file))
		}
	}
	if _, err := Import(file[:len(file)-1]); !errors.Is(err, ErrInvalidExport) {
		t.Errorf("truncated by one byte: %v", err)
	}
}

func TestRestoreNeedsASeedAndAnEmptyStore(t *testing.T) {
	var s State
	applyReplace(t, &s, 0, 3, testConfig(t, 3))
	store := openStore(t, memoryDir(t))
	seeds := []string{"10.0.0.1:1"}
	if Restore(store, "10.0.0.9:1", seeds, &s) == nil {
		t.Error("restored on a machine that is not a seed")
	}
	if err := Restore(store, "10.0.0.1:1", seeds, &s); err != nil {
		t.Fatal(err)
	}
	if err := Restore(store, "10.0.0.1:1", seeds, &s); !errors.Is(err, ErrStoreNotEmpty) {
		t.Errorf("restored into a store that is not empty: %v", err)
	}
	if got, err := Inspect(store); err != nil || got.State.Revision != 3 {
		t.Errorf("restored store: %+v, %v", got, err)
	}
}

// A log and a snapshot in the first format, which holds uncompressed configurations, can be read.
// Later writes use the newest format.
func TestFirstFormatIsRead(t *testing.T) {
	dir := filepath.Join(memoryDir(t), "log")
	if err := os.Mkdir(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	store := openStore(t, dir)
	snapshot := raft.Snapshot{Index: 3, Term: 2, Data: firstFormatSnapshot(t, 4)}
	entry := raft.Entry{Index: 4, Term: 2, Data: firstFormatEntry(t, 4, 6)}
	ready := raft.Ready{HardState: &raft.HardState{Term: 2}, Entries: []raft.Entry{entry}}
	if err := errors.Join(store.Initialize(7, snapshot), store.Save(ready)); err != nil {
		t.Fatal(err)
	}
	inspected, err := Inspect(store)
	if err != nil || inspected.State.Revision != 6 {
		t.Fatalf("store in the first format: %+v, %v", inspected, err)
	}
	s := inspected.State
	if got := applyReplace(t, s, 6, 8, testConfig(t, 8)); got != OutcomeApplied {
		t.Fatalf("outcome %d", got)
	}
	if got, err := s.Config(); err != nil || !bytes.Equal(got, testConfig(t, 8)) || s.Uncompressed != nil {
		t.Errorf("configuration stored in the newest format: %d bytes, %v", len(got), err)
	}
}

// firstFormatSnapshot returns a snapshot in the first format.
func firstFormatSnapshot(t *testing.T, revision uint64) []byte {
	t.Helper()
	data, err := cbor.Marshal(struct {
		Revision uint64 `cbor:"1,keyasint"`
		Config   []byte `cbor:"2,keyasint"`
	}{revision, testConfig(t, revision)})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// firstFormatEntry returns a log entry in the first format.
func firstFormatEntry(t *testing.T, base, revision uint64) []byte {
	t.Helper()
	data, err := cbor.Marshal(struct {
		Base     uint64 `cbor:"1,keyasint"`
		Revision uint64 `cbor:"2,keyasint"`
		Config   []byte `cbor:"3,keyasint"`
	}{base, revision, testConfig(t, revision)})
	if err != nil {
		t.Fatal(err)
	}
	return data
}
