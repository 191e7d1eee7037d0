package raft

import "testing"

// Compaction keeps some entries before the snapshot, and the term of the entry before those, so that
// a follower that lags slightly is sent entries instead of the snapshot.
func TestCompactionKeepsTrailingEntries(t *testing.T) {
	t.Parallel()
	n := newSingleLeader(t)
	n.Step(Message{
		Kind:    AppendEntries,
		From:    2,
		To:      1,
		Term:    n.Term() + 4,
		Index:   1,
		LogTerm: 1,
		Commit:  6,
		Entries: []Entry{
			{Index: 2, Term: 2}, {Index: 3, Term: 2}, {Index: 4, Term: 3}, {Index: 5, Term: 3}, {Index: 6, Term: 4},
		},
	})
	runHost(n)
	if n.Compact(6, snapshotData(6)) == nil {
		t.Fatal("no snapshot")
	}
	if n.log.base != 2 || n.log.baseTerm != 2 || n.SnapshotIndex() != 6 || n.LastIndex() != 6 || n.Term() != 5 {
		t.Errorf("base %d of term %d, snapshot %d, last index %d, term %d",
			n.log.base, n.log.baseTerm, n.SnapshotIndex(), n.LastIndex(), n.Term())
	}
	for index, want := range map[uint64]uint64{1: 0, 2: 2, 3: 2, 4: 3, 6: 4, 7: 0} {
		if got := n.log.term(index); got != want {
			t.Errorf("term of %d: %d, want %d", index, got, want)
		}
	}
}

// A snapshot is due once the entries reach the configured size, and compaction keeps at most half of
// that size in trailing entries.
func TestSnapshotIsDueAfterEnoughBytes(t *testing.T) {
	t.Parallel()
	entry := func(index uint64) Entry { return Entry{Index: index, Term: 1, Data: make([]byte, 400)} }
	n := New(Config{ID: 1, SnapshotBytes: 1 << 10, SnapshotEntries: 100},
		PersistentState{Entries: []Entry{entry(1), entry(2)}})
	commit := func(index uint64, entries ...Entry) {
		n.Step(Message{
			Kind: AppendEntries, From: 2, To: 1, Term: 1, Index: 2, LogTerm: 1, Commit: index, Entries: entries,
		})
		runHost(n)
	}
	commit(2)
	if n.SnapshotDue() {
		t.Error("due below the configured size")
	}
	commit(3, entry(3))
	if !n.SnapshotDue() {
		t.Error("not due above the configured size")
	}
	if n.Compact(3, nil) == nil || n.log.base != 2 || n.SnapshotDue() {
		t.Errorf("base %d, due again: %v", n.log.base, n.SnapshotDue())
	}
}
