package controlplane

import (
	"errors"
	"fmt"
	"testing"

	"example.org/elmspan/raft"
	"example.org/elmspan/raft/storage"
)

// failingStore is a store whose Save or Compact fails.
type failingStore struct {
	Store
	saveError, compactError error
}

// Save stores a batch or returns saveError.
func (s *failingStore) Save(r raft.Ready) error {
	if s.saveError != nil {
		return s.saveError
	}
	return s.Store.Save(r)
}

// Compact replaces entries by a snapshot or returns compactError.
func (s *failingStore) Compact(snapshot raft.Snapshot) error {
	if s.compactError != nil {
		return s.compactError
	}
	return s.Store.Compact(snapshot)
}

// A member that detects at run time that its store is corrupt sends no more votes, acknowledgements
// or responses, and Run returns the error, so that a new member can replace it. Regression test: Run
// once didn't return, and the member kept running without answering anything.
func TestCorruptStoreEndsTheMember(t *testing.T) {
	t.Parallel()
	corrupt := fmt.Errorf("reopening the store: %w", storage.ErrCorrupt)
	for _, c := range []struct {
		name  string
		store failingStore
	}{
		{"save", failingStore{saveError: corrupt}},
		{"compact", failingStore{compactError: corrupt}},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := memberOnFailingStore(t, c.store)
			if !core.host.suspended {
				t.Error("the member is not suspended")
			}
			if s := core.Status(); s.Halted == "" || s.DiskFails || core.host.node.Role() == raft.Leader {
				t.Errorf("status %+v", s)
			}
			if err := core.Run(t.Context()); !errors.Is(err, storage.ErrCorrupt) {
				t.Errorf("Run returns %v", err)
			}
			requireNoReadIndex(t, core)
		})
	}
}

// A disk error other than corruption suspends the member but doesn't stop it.
func TestFullDiskSuspendsTheMember(t *testing.T) {
	t.Parallel()
	core := memberOnFailingStore(t, failingStore{saveError: errors.New("no space")})
	if !core.host.suspended {
		t.Error("the member is not suspended")
	}
	if core.host.lostDurability != nil || core.host.stopReason != "" {
		t.Errorf("stopped by %v, %q", core.host.lostDurability, core.host.stopReason)
	}
}

// memberOnFailingStore returns a member on a failing store that has received enough entries for a
// snapshot to be due.
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

// A member also stops when its leader reports that its log lacks entries that it had acknowledged: its
// disk was rolled back to an earlier state. Such a report is accepted only from the leader.
func TestMemberThatLostAcknowledgedEntriesEnds(t *testing.T) {
	t.Parallel()
	core, _ := mustOpenMember(t)
	deliverFrom(t, core, 2, raft.Message{Kind: raft.AppendEntries, Index: 9, LogTerm: 4, Round: 3})
	deliverFrom(t, core, 3, raft.Message{Kind: raft.DurabilityLost})
	if core.host.lostDurability != nil {
		t.Error("a report from a member other than the leader was accepted")
	}
	deliverFrom(t, core, 2, raft.Message{Kind: raft.DurabilityLost})
	if err := core.Run(t.Context()); !errors.Is(err, storage.ErrCorrupt) || core.host.stopReason == "" {
		t.Errorf("Run returns %v, %q", err, core.host.stopReason)
	}
}
