package controlplane

import (
	"errors"
	"fmt"
	"testing"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// failingStore fails a Save or a Compact.
type failingStore struct {
	Store
	saveError, compactError error
}

// Save stores a batch, or fails.
func (s *failingStore) Save(r raft.Ready) error {
	if s.saveError != nil {
		return s.saveError
	}
	return s.Store.Save(r)
}

// Compact replaces entries by a snapshot, or fails.
func (s *failingStore) Compact(snapshot raft.Snapshot) error {
	if s.compactError != nil {
		return s.compactError
	}
	return s.Store.Compact(snapshot)
}

// A member whose store is found corrupt while it runs promises and answers nothing from then
// on, and Run ends with it, so that another member can begin in its place. (It once went on,
// and the member answered nothing.)
func TestCorruptStoreEndsTheMember(t *testing.T) {
	t.Parallel()
	lost := fmt.Errorf("opening it again: %w", storage.ErrCorrupt)
	for _, c := range []struct {
		name  string
		store failingStore
	}{
		{"save", failingStore{saveError: lost}},
		{"compact", failingStore{compactError: lost}},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := memberOnFailingStore(t, c.store)
			if !core.host.suspended {
				t.Error("it goes on answering")
			}
			if s := core.Status(); s.Halted == "" || s.DiskFails || core.host.node.Role() == raft.Leader {
				t.Errorf("status %+v", s)
			}
			if err := core.Run(t.Context()); !errors.Is(err, storage.ErrCorrupt) {
				t.Errorf("Run ends with %v", err)
			}
			requireNoReadIndex(t, core)
		})
	}
}

// Another failure of the disk suspends a member and ends nothing.
func TestFullDiskSuspendsTheMember(t *testing.T) {
	t.Parallel()
	core := memberOnFailingStore(t, failingStore{saveError: errors.New("no space")})
	if !core.host.suspended {
		t.Error("it goes on answering")
	}
	if core.host.lostDurability != nil || core.host.stopReason != "" {
		t.Errorf("ended by %v, %q", core.host.lostDurability, core.host.stopReason)
	}
}

// memberOnFailingStore is a member that got so many entries over a failing store that a
// snapshot is due.
func memberOnFailingStore(t *testing.T, store failingStore) *Core {
	t.Helper()
	core, _ := mustOpenMember(t)
	store.Store = core.cfg.Store
	core.cfg.Store = &store
	var entries []raft.Entry
	for i := range uint64(200) {
		entries = append(entries, raft.Entry{Index: 6 + i, Term: peerTerm})
	}
	deliverFrom(t, core, 2, appendMessage(205, entries...))
	return core
}

// A member whose leader says that it has less than it acknowledged ends likewise: its disk
// is one of earlier. Nobody but its leader is believed.
func TestMemberThatLostAcknowledgedEntriesEnds(t *testing.T) {
	t.Parallel()
	core, _ := mustOpenMember(t)
	deliverFrom(t, core, 2, raft.Message{Kind: raft.AppendEntries, Index: 9, LogTerm: 4, Round: 3})
	deliverFrom(t, core, 3, raft.Message{Kind: raft.DurabilityLost})
	if core.host.lostDurability != nil {
		t.Error("it believes another than its leader")
	}
	deliverFrom(t, core, 2, raft.Message{Kind: raft.DurabilityLost})
	if err := core.Run(t.Context()); !errors.Is(err, storage.ErrCorrupt) || core.host.stopReason == "" {
		t.Errorf("Run ends with %v, %q", err, core.host.stopReason)
	}
}
