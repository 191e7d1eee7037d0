package controlplane

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/compression"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// truncatedConfig returns a truncated configuration in compressed form.
func truncatedConfig(t *testing.T, revision uint64) []byte {
	t.Helper()
	compressed, err := compression.Compress(testConfig(t, revision)[:10])
	if err != nil {
		t.Fatal(err)
	}
	return compressed
}

// unreadableState returns a well-formed encoded state whose configuration is truncated, so that it
// can't be sent to limiters.
func unreadableState(t *testing.T, revision uint64) []byte {
	t.Helper()
	data, err := cbor.Marshal(State{Revision: revision, Compressed: truncatedConfig(t, revision)})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// requireRevision requires the revision of a member, in its state and for watchers, and the index of
// the snapshot on its disk.
func requireRevision(t *testing.T, core *Core, store *storage.Store, revision, snapshotIndex uint64) {
	t.Helper()
	stored, err := store.Load()
	if err != nil {
		t.Fatal(err)
	}
	if got := core.store.state.Revision; got != revision {
		t.Errorf("revision %d, want %d", got, revision)
	}
	if got := core.watches.configs.Version(); got != revision {
		t.Errorf("revision for watchers %d, want %d", got, revision)
	}
	if got := stored.Snapshot.Index; got != snapshotIndex {
		t.Errorf("index of the snapshot on disk %d, want %d", got, snapshotIndex)
	}
}

// A member whose state on disk can't be read doesn't start with an empty state: opening it reports a
// corrupt disk, and the process starts a new member.
func TestUnreadableStateOnDiskIsCorrupt(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		data []byte
	}{
		{"not CBOR", []byte{0xff, 1, 2}},
		{"truncated configuration", unreadableState(t, 3)},
		{"truncated state", validState(t, 3)[:20]},
	} {
		t.Run(c.name, func(t *testing.T) {
			snapshot := raft.Snapshot{Index: 5, Term: 1, Data: c.data}
			if _, _, err := openMember(t, snapshot); !errors.Is(err, storage.ErrCorrupt) {
				t.Errorf("opening the member returned %v", err)
			}
		})
	}
	core, store := mustOpenMember(t)
	requireRevision(t, core, store, 3, 5)
}

// A snapshot that can't be read is rejected as if it had not been received: the member keeps its
// state, in memory and on disk, and accepts the next readable snapshot. Regression test: the member
// once cleared its state, stored the snapshot and continued.
func TestUnreadableSnapshotIsRefused(t *testing.T) {
	t.Parallel()
	core, store := mustOpenMember(t)
	for i, chunked := range []bool{false, true} {
		deliverSnapshot(t, core, uint64(9+i), unreadableState(t, 7), chunked)
		requireRevision(t, core, store, 3, 5)
		if got := core.host.node.CommitIndex(); got != 5 {
			t.Errorf("chunked %t: commit index %d", chunked, got)
		}
		if reason := core.host.stopReason; reason != "" {
			t.Errorf("chunked %t: stopped: %s", chunked, reason)
		}
	}
	if got := core.host.node.RejectedSnapshots(); got != 2 {
		t.Errorf("%d snapshots rejected, want 2", got)
	}
	deliverSnapshot(t, core, 12, validState(t, 8), true)
	requireRevision(t, core, store, 8, 12)
}

// A member that can't apply a committed entry stops serving: it answers nothing from its outdated
// state, doesn't become leader, and reports the reason. Regression test: it once logged an error, sent
// outdated rows to limiters under a lease, and could become leader.
func TestMemberThatCannotApplyStopsServing(t *testing.T) {
	t.Parallel()
	core, _ := mustOpenMember(t)
	command := replaceCommand{
		Base:       3,
		Revision:   7,
		Compressed: truncatedConfig(t, 7),
		Hash:       1,
	}
	data, err := cbor.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	deliverFrom(t, core, 2, appendMessage(6, raft.Entry{Index: 6, Term: peerTerm, Data: data}))
	s := core.Status()
	if s.Halted == "" || s.Revision != 3 || s.Role == raft.Leader.String() {
		t.Errorf("status %+v", s)
	}
	if got := core.host.node.AppliedIndex(); got != 5 {
		t.Errorf("applied index %d", got)
	}
	deliverFrom(t, core, 2, raft.Message{Kind: raft.TimeoutNow})
	for range 100 {
		core.host.handleReady()
	}
	if role, term := core.host.node.Role(), core.host.node.Term(); role == raft.Leader || term != peerTerm {
		t.Errorf("%v of term %d", role, term)
	}
	if core.host.stopReason == "" {
		t.Error("the member serves again")
	}
	requireNothingAnswered(t, core)
}

// requireNothingAnswered requires that a member answers no watch, read, change or read index call.
func requireNothingAnswered(t *testing.T, core *Core) {
	t.Helper()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if r, err := core.Watch(canceled, &api.WatchRequest{}); err != nil || r.Lease || r.ConfigDelta != nil {
		t.Errorf("watch answered: %+v, %v", r, err)
	}
	if r, err := core.Get(t.Context(), &api.GetRequest{}); err != nil || r.Status != 0 {
		t.Errorf("read answered: %+v, %v", r, err)
	}
	change := &api.ReplaceRequest{Base: 3, Config: testConfig(t, 9)}
	if r, err := core.Replace(t.Context(), change); err != nil || r.Status != 0 {
		t.Errorf("change answered: %+v, %v", r, err)
	}
	requireNoReadIndex(t, core)
}

// requireNoReadIndex requires that a member confirms no read index.
func requireNoReadIndex(t *testing.T, core *Core) {
	t.Helper()
	if r, err := core.ReadIndex(t.Context(), &api.Empty{}); err != nil || r.Confirmed {
		t.Errorf("read index confirmed: %+v, %v", r, err)
	}
}

func TestConfigurationThatCannotBeSentIsNotProposed(t *testing.T) {
	t.Parallel()
	long := encodeConfig(t, &api.Config{
		Revision:  3,
		Upstreams: []api.Upstream{{Name: strings.Repeat("a", api.MaxConfigBytes)}},
	})
	if err := validateSize(long); err == nil {
		t.Error("a configuration too large to be read back was accepted")
	}
	if _, err := api.ParseConfig(testConfig(t, 3)[:10]); err == nil {
		t.Error("a truncated configuration was accepted")
	}
	if err := validateSize(testConfig(t, 3)); err != nil {
		t.Error(err)
	}
}

// Installing a snapshot wakes limiters that wait for changes, and ends calls whose entries it
// includes. Their results are unknown, so clients retry them at another member.
func TestInstalledSnapshotWakesWatchesAndEndsCalls(t *testing.T) {
	t.Parallel()
	core, _ := mustOpenMember(t)
	call := &pendingCall{index: 7, term: 1}
	core.store.calls[7] = call
	changed := core.notify.changed
	deliverSnapshot(t, core, 9, validState(t, 8), false)
	select {
	case <-changed:
	default:
		t.Error("waiting watches were not woken")
	}
	if call.response == nil || call.response.Status != 0 || len(core.store.calls) != 0 {
		t.Errorf("call whose entry the snapshot includes: %+v", call.response)
	}
	if got := core.store.state.Revision; got != 8 {
		t.Errorf("revision %d", got)
	}
}
