package controlplane

import (
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

// bringVersions has versions 1 to n taken, each on top of the one before.
func bringVersions(t *testing.T, cl *Client, n uint64) {
	t.Helper()
	for i := range n {
		if got := replace(cl, i, config(t, i+1)); got != http.StatusOK {
			t.Fatalf("revision %d: %d", i+1, got)
		}
	}
}

// The versions before the newest are read back as they were sent, and may be
// brought again under a new number; how many are remembered is bounded.
func TestHistory(t *testing.T) { inBubble(t, testHistory) }

func testHistory(t *testing.T) {
	c := newCluster(t)
	cl := c.client()
	bringVersions(t, cl, 4)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if r := cl.Get(ctx, &api.GetRequest{Versions: true}); !slices.Equal(r.Versions, []uint64{1, 2, 3, 4}) {
		t.Errorf("%+v", r)
	}
	if r := cl.Get(ctx, &api.GetRequest{Revision: 2}); r.Status != http.StatusOK || string(r.Config) != string(config(t, 2)) {
		t.Errorf("revision 2: %d", r.Status)
	}
	if r := cl.Get(ctx, &api.GetRequest{Revision: 9}); r.Status != http.StatusNotFound || !strings.Contains(r.Reason, "[1 2 3 4]") {
		t.Errorf("revision 9: %d %s", r.Status, r.Reason)
	}
	var s State
	for i := range uint64(200) {
		data, err := encodeReplaceCommand(i, i+1, fmt.Append(nil, strings.Repeat("x", int(i)), i))
		if err != nil {
			t.Fatal(err)
		}
		s.Apply(data)
	}
	if len(s.Previous) > maxPreviousRevisions || len(s.Previous) < maxPreviousRevisions-1 {
		t.Errorf("%d versions are remembered", len(s.Previous))
	}
}

// All disks of the core are lost; from an export a core begins anew in which every
// acknowledged configuration is served.
func TestRestore(t *testing.T) { inBubble(t, testRestore) }

func testRestore(t *testing.T) {
	c := newCluster(t)
	cl := c.client()
	bringVersions(t, cl, 3)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	export := cl.Get(ctx, &api.GetRequest{State: true})
	if export.Status != http.StatusOK {
		t.Fatalf("%+v", export)
	}
	for _, stop := range c.stops {
		stop()
	}
	state, err := Import(export.Config)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range c.addrs {
		dir := memory(t)
		store, err := storage.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(Restore(store, a, c.addrs, state), store.Close()); err != nil {
			t.Fatal(err)
		}
		c.start(a, dir, false)
	}
	cl = c.client()
	for i := range uint64(3) {
		if r := cl.Get(ctx, &api.GetRequest{Revision: i + 1}); r.Status != http.StatusOK || string(r.Config) != string(config(t, i+1)) {
			t.Errorf("revision %d after the restore: %d %s", i+1, r.Status, r.Reason)
		}
	}
	if got := replace(cl, 2, config(t, 3)); got != http.StatusOK {
		t.Errorf("a call that was acknowledged, sent again: %d", got)
	}
	if got := replace(cl, 3, config(t, 4)); got != http.StatusOK {
		t.Errorf("a change after the restore: %d", got)
	}
}

// What is no whole export, or would be put where something is, is refused.
func TestRestoreRefuses(t *testing.T) {
	var s State
	data, err := encodeReplaceCommand(0, 3, config(t, 3))
	if err != nil {
		t.Fatal(err)
	}
	s.Apply(data)
	whole, err := Export(&s)
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		bad := slices.Clone(whole)
		bad[i] ^= 1
		if _, err := Import(bad); err == nil {
			t.Fatalf("byte %d of %d changed, and it is taken", i, len(whole))
		}
	}
	if _, err := Import(whole[:len(whole)-1]); !errors.Is(err, ErrInvalidExport) {
		t.Errorf("a part of it: %v", err)
	}
	store, err := storage.Open(memory(t))
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if Restore(store, "10.0.0.9:1", []string{"10.0.0.1:1"}, &s) == nil {
		t.Error("restored at a machine that is no seed")
	}
	if err := Restore(store, "10.0.0.1:1", []string{"10.0.0.1:1"}, &s); err != nil {
		t.Fatal(err)
	}
	if err := Restore(store, "10.0.0.1:1", []string{"10.0.0.1:1"}, &s); !errors.Is(err, ErrStoreNotEmpty) {
		t.Errorf("restored over a state: %v", err)
	}
	if got, err := Inspect(store); err != nil || got.State.Revision != 3 {
		t.Errorf("%+v, %v", got, err)
	}
}

// A log and a snapshot in the first format, with configurations as they were sent,
// are read; what is written on top of them is in the newest.
func TestFirstFormatIsRead(t *testing.T) {
	old := func(base, revision uint64) []byte {
		data, err := cbor.Marshal(struct {
			Base     uint64 `cbor:"1,keyasint"`
			Revision uint64 `cbor:"2,keyasint"`
			Config   []byte `cbor:"3,keyasint"`
		}{base, revision, config(t, revision)})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	snapshot, err := cbor.Marshal(struct {
		Revision uint64 `cbor:"1,keyasint"`
		Config   []byte `cbor:"2,keyasint"`
	}{4, config(t, 4)})
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(memory(t), "log")
	if err := os.Mkdir(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	store, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	if err := errors.Join(store.Initialize(7, raft.Snapshot{Index: 3, Term: 2, Data: snapshot}),
		store.Save(raft.Ready{Hard: &raft.HardState{Term: 2}, Entries: []raft.Entry{{Index: 4, Term: 2, Data: old(4, 6)}}})); err != nil {
		t.Fatal(err)
	}
	found, err := Inspect(store)
	if err != nil || found.State.Revision != 6 {
		t.Fatalf("%+v, %v", found, err)
	}
	s := found.State
	next, err := encodeReplaceCommand(6, 8, config(t, 8))
	if err != nil {
		t.Fatal(err)
	}
	if r := s.Apply(next); r.Outcome != OutcomeApplied {
		t.Fatalf("%+v", r)
	}
	if got, err := s.Config(); err != nil || string(got) != string(config(t, 8)) || s.Uncompressed != nil {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}
