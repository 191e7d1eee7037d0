package raft

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

const (
	fuzzMaxMessages = 100
	fuzzMaxTicks    = 32
	fuzzMaxReadies  = 100 // per message
)

// Whatever messages a member receives, it does not panic, stores no log with a gap, and its commit
// index never decreases.
func FuzzStep(f *testing.F) {
	for _, messages := range fuzzSeeds() {
		data, err := cbor.Marshal(messages)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, byte(len(messages)))
	}
	f.Fuzz(func(t *testing.T, data []byte, ticks byte) {
		var messages []Message
		if cbor.Unmarshal(data, &messages) != nil || len(messages) > fuzzMaxMessages {
			return
		}
		n := newFuzzNode()
		commit := uint64(0)
		for _, m := range messages {
			m.To = 1
			n.Step(m)
			for range ticks % fuzzMaxTicks {
				n.Tick()
			}
			runFuzzHost(t, n)
			if n.CommitIndex() < commit || n.CommitIndex() > n.LastIndex() {
				t.Fatalf("commit index %d, then %d of %d", commit, n.CommitIndex(), n.LastIndex())
			}
			commit = n.CommitIndex()
		}
	})
}

// fuzzSeeds returns lists of messages with extreme and contradictory values.
func fuzzSeeds() [][]Message {
	const lastIndex = 1<<64 - 1
	chunk := &Snapshot{Index: 9, Term: 4, Members: []Member{{ID: 1, Voter: true}}, Data: []byte("abc")}
	return [][]Message{
		{
			{Kind: AppendEntries, From: 2, To: 1, Term: 9, Index: 3, LogTerm: 2, Commit: 4,
				Entries: []Entry{{Index: 4, Term: 9}}},
		},
		{
			{Kind: AppendEntries, From: 2, To: 1, Term: 9, Index: 1, LogTerm: 1,
				Entries: []Entry{{Index: 40, Term: 9}, {Index: 2, Term: 9}}},
		},
		{
			{Kind: VoteRequest, From: 2, To: 1, Term: 9, LeadershipTransfer: true},
			{Kind: InstallSnapshot, From: 3, To: 1, Term: 9, Snapshot: &Snapshot{Index: 7, Term: 4}},
		},
		{
			{Kind: TimeoutNow, From: 2, To: 1, Term: 3},
			{Kind: VoteReply, From: 2, To: 1, Term: 4},
			{Kind: AppendEntriesReply, From: 2, To: 1, Term: 4, Index: 1 << 60},
			{Kind: AppendEntriesReply, From: 2, To: 1, Term: 4, Reject: true, Index: lastIndex},
		},
		{
			{Kind: SnapshotChunk, From: 2, To: 1, Term: 9, Snapshot: chunk, SnapshotSize: 6},
			{Kind: SnapshotChunk, From: 2, To: 1, Term: 9, Snapshot: chunk,
				Offset: 3, SnapshotSize: 6, SnapshotChecksum: 7},
			{Kind: SnapshotChunk, From: 2, To: 1, Term: 9, Snapshot: chunk, Offset: lastIndex - 1, SnapshotSize: 3},
			{Kind: SnapshotChunkReply, From: 3, To: 1, Term: 9, Index: 9, Offset: 1 << 63},
		},
	}
}

// newFuzzNode returns member 1 of three, with a snapshot and two entries in its log.
func newFuzzNode() *Node {
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	return New(Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1}, PersistentState{
		HardState: HardState{Term: 3},
		Snapshot:  Snapshot{Index: 1, Term: 1, Members: members},
		Entries:   []Entry{{Index: 2, Term: 2, Data: []byte("a")}, {Index: 3, Term: 2, Data: []byte("b")}},
	})
}

// runFuzzHost processes the pending work of a member and checks the entries to be stored.
func runFuzzHost(t *testing.T, n *Node) {
	t.Helper()
	for range fuzzMaxReadies {
		r := n.Ready()
		if r.Empty() {
			return
		}
		for i, e := range r.Entries {
			if i > 0 && e.Index != r.Entries[i-1].Index+1 {
				t.Fatalf("gap in the entries to be stored: index %d after %d", e.Index, r.Entries[i-1].Index)
			}
		}
		n.Advance(r)
	}
}
