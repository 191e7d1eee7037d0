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

// truncatedConfig is a compressed configuration that is cut off.
func truncatedConfig(t *testing.T, revision uint64) []byte {
	t.Helper()
	compressed, err := compression.Compress(testConfig(t, revision)[:10])
	if err != nil {
		t.Fatal(err)
	}
	return compressed
}

// unreadableState is a state that is well formed and can't be sent to limiters: its
// configuration is cut off.
func unreadableState(t *testing.T, revision uint64) []byte {
	t.Helper()
	data, err := cbor.Marshal(State{Revision: revision, Compressed: truncatedConfig(t, revision)})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// requireRevision requires that a member has a revision, in its state and for watchers, and a
// snapshot on its disk.
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
		t.Errorf("watchers are sent revision %d, want %d", got, revision)
	}
	if got := stored.Snapshot.Index; got != snapshotIndex {
		t.Errorf("the snapshot on disk is up to %d, want %d", got, snapshotIndex)
	}
}

// A member whose own state can't be read doesn't begin with an empty one: it says that its
// disk is corrupt, and the process begins a new member.
func TestUnreadableStateOnDiskIsCorrupt(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		data []byte
	}{
		{"not CBOR", []byte{0xff, 1, 2}},
		{"no configuration in it", unreadableState(t, 3)},
		{"cut off", validState(t, 3)[:20]},
	} {
		t.Run(c.name, func(t *testing.T) {
			snapshot := raft.Snapshot{Index: 5, Term: 1, Data: c.data}
			if _, _, err := openMember(t, snapshot); !errors.Is(err, storage.ErrCorrupt) {
				t.Errorf("opened: %v", err)
			}
		})
	}
	core, store := mustOpenMember(t)
	requireRevision(t, core, store, 3, 5)
}

// A snapshot that can't be read is refused as if it had not come: the member stays at what it
// has, on disk too, and takes the next one that can be read. (It once emptied its state,
// stored the snapshot, and went on.)
func TestUnreadableSnapshotIsRefused(t *testing.T) {
	t.Parallel()
	core, store := mustOpenMember(t)
	for i, chunked := range []bool{false, true} {
		deliverSnapshot(t, core, uint64(9+i), unreadableState(t, 7), chunked)
		requireRevision(t, core, store, 3, 5)
		if got := core.host.node.CommitIndex(); got != 5 {
			t.Errorf("chunked %t: committed up to %d", chunked, got)
		}
		if reason := core.host.stopReason; reason != "" {
			t.Errorf("chunked %t: stopped, %s", chunked, reason)
		}
	}
	if got := core.host.node.RejectedSnapshots(); got != 2 {
		t.Errorf("%d refused", got)
	}
	deliverSnapshot(t, core, 12, validState(t, 8), true)
	requireRevision(t, core, store, 8, 12)
}

// A member that can't apply what is committed stops serving: it answers nothing from what was
// before, doesn't lead, and says why. (It once logged an error, gave limiters the older rows
// under a lease, and could lead.)
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
		t.Errorf("applied up to %d", got)
	}
	deliverFrom(t, core, 2, raft.Message{Kind: raft.TimeoutNow})
	for range 100 {
		core.host.handleReady()
	}
	if role, term := core.host.node.Role(), core.host.node.Term(); role == raft.Leader || term != peerTerm {
		t.Errorf("%v of term %d", role, term)
	}
	if core.host.stopReason == "" {
		t.Error("it serves again")
	}
	requireNothingAnswered(t, core)
}

// requireNothingAnswered requires that a member answers nobody.
func requireNothingAnswered(t *testing.T, core *Core) {
	t.Helper()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if r, err := core.Watch(canceled, &api.WatchRequest{}); err != nil || r.Lease || r.ConfigDelta != nil {
		t.Errorf("a limiter is answered: %+v, %v", r, err)
	}
	if r, err := core.Get(t.Context(), &api.GetRequest{}); err != nil || r.Status != 0 {
		t.Errorf("a read is answered: %+v, %v", r, err)
	}
	change := &api.ReplaceRequest{Base: 3, Config: testConfig(t, 9)}
	if r, err := core.Replace(t.Context(), change); err != nil || r.Status != 0 {
		t.Errorf("a change is answered: %+v, %v", r, err)
	}
	requireNoReadIndex(t, core)
}

// requireNoReadIndex requires that a member confirms no read index.
func requireNoReadIndex(t *testing.T, core *Core) {
	t.Helper()
	if r, err := core.ReadIndex(t.Context(), &api.Empty{}); err != nil || r.OK {
		t.Errorf("a member is answered: %+v, %v", r, err)
	}
}

func TestConfigurationThatCannotBeSentIsNotProposed(t *testing.T) {
	t.Parallel()
	long := encodeConfig(t, &api.Config{
		Revision:  3,
		Upstreams: []api.Upstream{{Name: strings.Repeat("a", api.MaxConfigBytes)}},
	})
	if err := validateSize(long); err == nil {
		t.Error("one that is longer than can be read back is valid")
	}
	if _, err := api.ParseConfig(testConfig(t, 3)[:10]); err == nil {
		t.Error("one that is cut off is valid")
	}
	if err := validateSize(testConfig(t, 3)); err != nil {
		t.Error(err)
	}
}

// A snapshot that is installed wakes limiters that wait for changes, and ends calls whose
// entries it stands for: their results are unknown, they are made again elsewhere.
func TestInstalledSnapshotWakesThoseWhoWait(t *testing.T) {
	t.Parallel()
	core, _ := mustOpenMember(t)
	call := &pendingCall{index: 7, term: 1}
	core.store.calls[7] = call
	changed := core.notify.changed
	deliverSnapshot(t, core, 9, validState(t, 8), false)
	select {
	case <-changed:
	default:
		t.Error("those who wait for changes are not woken")
	}
	if call.answer == nil || call.answer.Status != 0 || len(core.store.calls) != 0 {
		t.Errorf("a call whose entry the snapshot stands for: %+v", call.answer)
	}
	if got := core.store.state.Revision; got != 8 {
		t.Errorf("revision %d", got)
	}
}
