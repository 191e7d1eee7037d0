package raft

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Whatever another process sends, a member neither ends nor forgets what was
// agreed on.
func FuzzStep(f *testing.F) {
	add := func(ms ...Message) {
		data, err := cbor.Marshal(ms)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, byte(len(ms)))
	}
	add(Message{Kind: AppendEntries, From: 2, To: 1, Term: 9, Index: 3, LogTerm: 2, Commit: 4, Entries: []Entry{{Index: 4, Term: 9}}})
	add(Message{Kind: AppendEntries, From: 2, To: 1, Term: 9, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 40, Term: 9}, {Index: 2, Term: 9}}})
	add(Message{Kind: VoteRequest, From: 2, To: 1, Term: 9, LeadershipTransfer: true}, Message{Kind: InstallSnapshot, From: 3, To: 1, Term: 9, Snapshot: &Snapshot{Index: 7, Term: 4}})
	add(Message{Kind: TimeoutNow, From: 2, To: 1, Term: 3}, Message{Kind: VoteReply, From: 2, To: 1, Term: 4},
		Message{Kind: AppendEntriesReply, From: 2, To: 1, Term: 4, Index: 1 << 60}, Message{Kind: AppendEntriesReply, From: 2, To: 1, Term: 4, Reject: true, Index: 1<<64 - 1})
	part := &Snapshot{Index: 9, Term: 4, Members: []Member{{ID: 1, Voter: true}}, Data: []byte("abc")}
	add(Message{Kind: SnapshotChunk, From: 2, To: 1, Term: 9, Snapshot: part, SnapshotSize: 6}, Message{Kind: SnapshotChunk, From: 2, To: 1, Term: 9, Snapshot: part, Offset: 3, SnapshotSize: 6, SnapshotChecksum: 7},
		Message{Kind: SnapshotChunk, From: 2, To: 1, Term: 9, Snapshot: part, Offset: 1<<64 - 2, SnapshotSize: 3}, Message{Kind: SnapshotChunkReply, From: 3, To: 1, Term: 9, Index: 9, Offset: 1 << 63})
	f.Fuzz(func(t *testing.T, data []byte, ticks byte) {
		var ms []Message
		if cbor.Unmarshal(data, &ms) != nil || len(ms) > 100 {
			return
		}
		members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
		n := New(Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Seed: 1}, PersistentState{HardState: HardState{Term: 3}, Snapshot: Snapshot{Index: 1, Term: 1, Members: members},
			Entries: []Entry{{Index: 2, Term: 2, Data: []byte("a")}, {Index: 3, Term: 2, Data: []byte("b")}}})
		commit := uint64(0)
		for _, m := range ms {
			m.To = 1
			n.Step(m)
			for range ticks % 32 {
				n.Tick()
			}
			for range 100 {
				r := n.Ready()
				if r.Empty() {
					break
				}
				for i, e := range r.Entries {
					if i > 0 && e.Index != r.Entries[i-1].Index+1 {
						t.Fatalf("a gap is to be stored: %d after %d", e.Index, r.Entries[i-1].Index)
					}
				}
				n.Advance(r)
			}
			if n.CommitIndex() < commit || n.CommitIndex() > n.LastIndex() {
				t.Fatalf("agreed up to %d, then %d of %d", commit, n.CommitIndex(), n.LastIndex())
			}
			commit = n.CommitIndex()
		}
	})
}
