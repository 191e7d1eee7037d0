package controlplane

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/internal/compression"
	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// unreadableState is a state that is well formed and can't be told to limiters: its configuration is cut off.
func unreadableState(t *testing.T, revision uint64) []byte {
	t.Helper()
	packed, err := compression.Pack(testConfig(t, revision)[:10])
	if err != nil {
		t.Fatal(err)
	}
	data, err := cbor.Marshal(State{Revision: revision, Compressed: packed})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// A member whose own state can't be read doesn't begin with an empty one: it says that
// its disk is corrupt, and the process begins a new member.
func TestUnreadableStateOnDisk(t *testing.T) {
	t.Parallel()
	for name, data := range map[string][]byte{"not CBOR": {0xff, 1, 2}, "no configuration in it": unreadableState(t, 3), "cut off": validState(t, 3)[:20]} {
		if _, _, err := openMember(t, raft.Snapshot{Index: 5, Term: 1, Data: data}); !errors.Is(err, storage.ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
	}
	c, _, err := openMember(t, raft.Snapshot{Index: 5, Term: 1, Data: validState(t, 3)})
	if err != nil || c.store.state.Revision != 3 || c.watches.configs.Version() != 3 {
		t.Errorf("one that can be read: %v", err)
	}
}

// A snapshot that can't be read is refused as if it had not come: the member stays at
// what it has, on disk too, and takes the next one that can be read. (It emptied its
// state, stored the snapshot, and went on.)
func TestUnreadableSnapshotIsRefused(t *testing.T) {
	t.Parallel()
	c, store, err := openMember(t, raft.Snapshot{Index: 5, Term: 1, Data: validState(t, 3)})
	if err != nil {
		t.Fatal(err)
	}
	deliver := func(ms ...raft.Message) {
		t.Helper()
		for i := range ms {
			ms[i].From, ms[i].To, ms[i].Term = 2, 1, 4
		}
		if _, err := c.Deliver(t.Context(), &api.DeliverRequest{From: 2, Addr: "b", Messages: ms}); err != nil {
			t.Fatal(err)
		}
	}
	install := func(index uint64, data []byte, inPieces bool) {
		s := raft.Snapshot{Index: index, Term: 4, Members: c.host.node.Members(), Data: data}
		if !inPieces {
			deliver(raft.Message{Kind: raft.InstallSnapshot, Snapshot: &s})
			return
		}
		half := len(data) / 2
		for _, r := range [][2]int{{0, half}, {half, len(data)}} {
			p := s
			p.Data = data[r[0]:r[1]]
			deliver(raft.Message{Kind: raft.SnapshotChunk, Snapshot: &p, Offset: uint64(r[0]), SnapshotSize: uint64(len(data)), SnapshotChecksum: xxhash.Sum64(data)})
		}
	}
	for i, inPieces := range []bool{false, true} {
		install(uint64(9+i), unreadableState(t, 7), inPieces)
		st, err := store.Load()
		if err != nil || st.Snapshot.Index != 5 || c.store.state.Revision != 3 || c.watches.configs.Version() != 3 || c.host.node.CommitIndex() != 5 || c.host.stopReason != "" {
			t.Fatalf("in pieces %v: revision %d, agreed up to %d, on disk up to %d, %q, %v", inPieces, c.store.state.Revision, c.host.node.CommitIndex(), st.Snapshot.Index, c.host.stopReason, err)
		}
	}
	if c.host.node.RejectedSnapshots() != 2 {
		t.Errorf("%d refused", c.host.node.RejectedSnapshots())
	}
	install(12, validState(t, 8), true)
	if st, err := store.Load(); err != nil || st.Snapshot.Index != 12 || c.store.state.Revision != 8 || c.watches.configs.Version() != 8 {
		t.Errorf("after one that can be read: revision %d, on disk up to %d, %v", c.store.state.Revision, st.Snapshot.Index, err)
	}
}

// A member that can't carry on what the others agreed on takes no part any more: it
// answers nothing from what was before, doesn't lead, and says why. (It logged an error,
// gave limiters the older rows under a lease, and could lead.)
func TestMemberThatCanNotApplyHalts(t *testing.T) {
	t.Parallel()
	c, _, err := openMember(t, raft.Snapshot{Index: 5, Term: 1, Data: validState(t, 3)})
	if err != nil {
		t.Fatal(err)
	}
	packed, err := compression.Pack(testConfig(t, 7)[:10])
	if err != nil {
		t.Fatal(err)
	}
	data, err := cbor.Marshal(replaceCommand{Base: 3, Revision: 7, Compressed: packed, Hash: 1})
	if err != nil {
		t.Fatal(err)
	}
	step := func(m raft.Message) {
		m.From, m.To, m.Term = 2, 1, 4
		if _, err := c.Deliver(t.Context(), &api.DeliverRequest{From: 2, Addr: "b", Messages: []raft.Message{m}}); err != nil {
			t.Fatal(err)
		}
	}
	step(raft.Message{Kind: raft.AppendEntries, Index: 5, LogTerm: 1, Commit: 6, Entries: []raft.Entry{{Index: 6, Term: 4, Data: data}}})
	s := c.Status()
	if s.Halted == "" || s.Revision != 3 || s.Role == raft.Leader.String() || c.host.node.AppliedIndex() != 5 {
		t.Errorf("%+v", s)
	}
	step(raft.Message{Kind: raft.TimeoutNow})
	for range 100 {
		c.host.handleReady()
	}
	if c.host.node.Role() == raft.Leader || c.host.node.Term() != 4 || c.host.stopReason == "" {
		t.Errorf("%v of term %d, %q", c.host.node.Role(), c.host.node.Term(), c.host.stopReason)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if n, err := c.Watch(ctx, &api.WatchRequest{}); err != nil || n.Lease || n.ConfigDelta != nil {
		t.Errorf("a limiter is answered: %+v, %v", n, err)
	}
	if r, err := c.Get(t.Context(), &api.GetRequest{}); err != nil || r.Status != 0 {
		t.Errorf("a read is answered: %+v, %v", r, err)
	}
	if r, err := c.Replace(t.Context(), &api.ReplaceRequest{Base: 3, Config: testConfig(t, 9)}); err != nil || r.Status != 0 {
		t.Errorf("a change is answered: %+v, %v", r, err)
	}
	if k, err := c.ReadIndex(t.Context(), &api.Empty{}); err != nil || k.OK {
		t.Errorf("a member is answered: %+v, %v", k, err)
	}
}

// What can't be told to limiters is turned down before it is proposed.
func TestWhatCanNotBeToldIsNotProposed(t *testing.T) {
	t.Parallel()
	long, err := cbor.Marshal(&api.Config{Revision: 3, Upstreams: []api.Upstream{{Name: strings.Repeat("a", api.MaxConfigBytes)}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := validateSize(long); err == nil {
		t.Error("one longer than can be read back")
	}
	if _, err := api.ParseConfig(testConfig(t, 3)[:10]); err == nil {
		t.Error("one that is cut off")
	}
	if err := validateSize(testConfig(t, 3)); err != nil {
		t.Error(err)
	}
}

// A snapshot that is taken over wakes limiters that wait for news, and ends calls whose
// entries it stands for: what came of them is not told, they are made again elsewhere.
func TestSnapshotsWakeThoseWhoWait(t *testing.T) {
	t.Parallel()
	c, _, err := openMember(t, raft.Snapshot{Index: 5, Term: 1, Data: validState(t, 3)})
	if err != nil {
		t.Fatal(err)
	}
	p := &pendingCall{index: 7, term: 1}
	c.store.calls[7] = p
	changed := c.notify.changed
	if _, err := c.Deliver(t.Context(), &api.DeliverRequest{From: 2, Addr: "b", Messages: []raft.Message{{Kind: raft.InstallSnapshot, From: 2, To: 1, Term: 4,
		Snapshot: &raft.Snapshot{Index: 9, Term: 4, Members: c.host.node.Members(), Data: validState(t, 8)}}}}); err != nil {
		t.Fatal(err)
	}
	select {
	case <-changed:
	default:
		t.Error("those who wait for news are not woken")
	}
	if p.answer == nil || p.answer.Status != 0 || len(c.store.calls) != 0 || c.store.state.Revision != 8 {
		t.Errorf("a call whose entry the snapshot stands for: %+v, revision %d", p.answer, c.store.state.Revision)
	}
}
