package raft

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
)

const chunkSeeds = 3000

// A member receives chunks of three snapshots from two leaders in two terms. Two of the snapshots have
// the same index but different data. Chunks are corrupted, duplicated, missing and out of order. The
// member installs only complete snapshots that were sent, and none older than its commit index. If no
// chunk is corrupted and all come from one leader, no snapshot is rejected either.
func TestMixedChunksInstallOnlyCompleteSnapshots(t *testing.T) {
	t.Parallel()
	installed, rejected := 0, uint64(0)
	for seed := range uint64(chunkSeeds) {
		run := newChunkRun(seed)
		run.deliverAll(t)
		installed += run.installed
		rejected += run.node.RejectedSnapshots()
		if run.faultless && run.node.RejectedSnapshots() > 0 {
			t.Fatalf("seed %d: %d snapshots rejected, although no chunk was corrupted",
				seed, run.node.RejectedSnapshots())
		}
	}
	if installed < 1000 || rejected < 20 {
		t.Errorf("%d snapshots installed, %d rejected: too few for a meaningful result", installed, rejected)
	}
}

// chunkRun is a member that receives chunks of several snapshots.
type chunkRun struct {
	seed      uint64
	rng       *rand.Rand
	node      *Node
	snapshots []Snapshot
	messages  []Message
	faultless bool // one leader, two snapshots, and no corrupted chunks
	installed int
}

// newChunkRun returns a run with the messages in the order in which they will arrive.
func newChunkRun(seed uint64) *chunkRun {
	r := &chunkRun{
		seed: seed,
		rng:  rand.New(rand.NewPCG(seed, 5)),
		node: newSingleNode(1, nil),
		snapshots: []Snapshot{
			{Index: 20, Term: 2, Data: snapshotData(20)},
			{Index: 30, Term: 2, Data: snapshotData(30)},
			{Index: 20, Term: 2, Data: bytes.ToUpper(snapshotData(20))},
		},
		faultless: seed%3 == 0,
	}
	for i, snapshot := range r.snapshots {
		term := uint64(3 + i%2)
		if r.faultless {
			term = 3
			if i == 2 {
				break
			}
		}
		for range 2 {
			r.messages = append(r.messages, chunksOf(ID(2+i%2), term, snapshot)...)
		}
	}
	swap := func(i, j int) { r.messages[i], r.messages[j] = r.messages[j], r.messages[i] }
	if r.rng.IntN(2) == 0 { // almost in order
		for range 6 {
			swap(r.rng.IntN(len(r.messages)), r.rng.IntN(len(r.messages)))
		}
	} else {
		r.rng.Shuffle(len(r.messages), swap)
	}
	return r
}

// deliverAll delivers all messages three times and checks the snapshots that are installed.
func (r *chunkRun) deliverAll(t *testing.T) {
	last := uint64(0)
	for range 3 {
		for _, m := range r.messages {
			if !r.faultless && r.rng.IntN(60) == 0 {
				m = r.corrupted(m)
			}
			r.node.Step(m)
			_, installed := runHost(r.node)
			for _, s := range installed {
				if s.Index <= last || !r.wasSent(s) {
					t.Fatalf("seed %d: after the snapshot of index %d it installs %q as that of index %d",
						r.seed, last, s.Data, s.Index)
				}
				last = s.Index
				r.installed++
			}
		}
	}
}

// corrupted returns a copy of a message with one bit of its chunk flipped.
func (r *chunkRun) corrupted(m Message) Message {
	s := *m.Snapshot
	s.Data = slices.Clone(s.Data)
	s.Data[r.rng.IntN(len(s.Data))] ^= 1 << r.rng.IntN(8)
	m.Snapshot = &s
	return m
}

// wasSent reports whether a snapshot equals one of those that were sent.
func (r *chunkRun) wasSent(s *Snapshot) bool {
	return slices.ContainsFunc(r.snapshots, func(o Snapshot) bool {
		return o.Index == s.Index && bytes.Equal(o.Data, s.Data)
	})
}

// transferRun is a leader that sends a snapshot to member 2, while member 3 acknowledges all entries.
type transferRun struct {
	leader, follower *Node
	validateErr      error // returned by the follower's ValidateSnapshot; nil: snapshots are valid
	snapshotIndex    uint64
	chunks           int                  // chunks sent to the follower
	isLost           func(chunk int) bool // whether the chunk with this number is lost
	installed        int
}

func newTransferRun(t *testing.T, data []byte) *transferRun {
	t.Helper()
	r := &transferRun{leader: newSingleLeader(t), isLost: func(int) bool { return false }}
	r.follower = newSingleNode(2, func(*Snapshot) error { return r.validateErr })
	for range 10 {
		mustPropose(t, r.leader, []byte("x"))
		acknowledgeAll(r.leader, 3)
	}
	if r.leader.Compact(r.leader.AppliedIndex(), data) == nil {
		t.Fatal("no snapshot")
	}
	r.snapshotIndex = r.leader.SnapshotIndex()
	return r
}

// tick advances the leader by a number of ticks and delivers all messages.
func (r *transferRun) tick(t *testing.T, ticks int) {
	t.Helper()
	for range ticks {
		r.leader.Tick()
		queue, _ := runHost(r.leader)
		for len(queue) > 0 {
			m := queue[0]
			queue = queue[1:]
			r.deliver(t, m)
			more, _ := runHost(r.leader)
			queue = append(queue, more...)
		}
	}
}

// deliver delivers one message of the leader and the replies to it.
func (r *transferRun) deliver(t *testing.T, m Message) {
	if m.To == 3 {
		if m.Kind == AppendEntries {
			acknowledgeEntries(r.leader, m)
		}
		return
	}
	if m.Kind == SnapshotChunk {
		if m.Snapshot.Index != r.snapshotIndex {
			t.Fatalf("chunk of the snapshot of index %d, in the transfer of that of index %d",
				m.Snapshot.Index, r.snapshotIndex)
		}
		r.chunks++
		if r.isLost(r.chunks) {
			return
		}
	}
	r.follower.Step(m)
	replies, installed := runHost(r.follower)
	r.installed += len(installed)
	for _, reply := range replies {
		r.leader.Step(reply)
	}
}

// A leader resumes a transfer at the position that the follower has reached, resends lost chunks, and
// continues with the same snapshot while newer ones are created. A rejected snapshot is sent again only
// after a pause, and the follower installs it once it is valid.
func TestSnapshotTransferContinuesAfterLossAndRefusal(t *testing.T) {
	t.Parallel()
	data := bytes.Repeat([]byte("0123456789"), 20)
	r := newTransferRun(t, data)
	r.validateErr = errors.New("the host can't restore the snapshot")
	r.tick(t, 60)
	rejected := r.follower.RejectedSnapshots()
	if r.installed != 0 || rejected == 0 || rejected > 3 || r.follower.CommitIndex() != 0 {
		t.Fatalf("%d installed, %d rejected in 60 ticks", r.installed, rejected)
	}
	for range 2 { // newer snapshots; the log still has all entries after the first
		mustPropose(t, r.leader, []byte("y"))
		r.tick(t, 1)
		r.leader.Compact(r.leader.AppliedIndex(), data[:50])
	}
	r.validateErr, r.chunks = nil, 0
	r.isLost = func(chunk int) bool { return chunk%5 == 0 }
	r.tick(t, 200)
	if r.installed != 1 || r.follower.CommitIndex() != r.leader.CommitIndex() || r.chunks > 60 {
		t.Errorf("%d snapshots installed with %d chunks, commit index %d of %d",
			r.installed, r.chunks, r.follower.CommitIndex(), r.leader.CommitIndex())
	}
}

// A delayed snapshot whose index is below the commit index changes nothing, even though the log no
// longer has that index.
func TestLateSnapshotChangesNothing(t *testing.T) {
	t.Parallel()
	n := newSingleNode(1, nil)
	for _, index := range []uint64{20, 10} {
		snapshot := Snapshot{Index: index, Term: 2, Data: snapshotData(index)}
		n.Step(Message{Kind: InstallSnapshot, From: 2, To: 1, Term: 3, Snapshot: &snapshot})
		for _, m := range chunksOf(2, 3, snapshot) {
			n.Step(m)
		}
		runHost(n)
	}
	if n.SnapshotIndex() != 20 || n.CommitIndex() != 20 || n.AppliedIndex() != 20 {
		t.Errorf("snapshot index %d, commit index %d, applied index %d",
			n.SnapshotIndex(), n.CommitIndex(), n.AppliedIndex())
	}
}

// An installed snapshot counts as applied only after the host has applied it and called Advance. Until
// then, for example while the disk fails writes, the applied index does not include it.
func TestInstalledSnapshotIsAppliedOnlyByAdvance(t *testing.T) {
	t.Parallel()
	n := newSingleNode(1, nil)
	snapshot := Snapshot{Index: 20, Term: 2, Data: snapshotData(20)}
	n.Step(Message{Kind: InstallSnapshot, From: 2, To: 1, Term: 3, Snapshot: &snapshot})
	if n.AppliedIndex() != 0 {
		t.Errorf("applied index %d before the host processed the snapshot", n.AppliedIndex())
	}
	runHost(n)
	if n.AppliedIndex() != 20 {
		t.Errorf("applied index %d, want 20", n.AppliedIndex())
	}
}

// A new leader that has the same snapshot resumes the transfer where the previous leader stopped.
func TestNewLeaderContinuesSnapshotTransfer(t *testing.T) {
	t.Parallel()
	n := newSingleNode(1, nil)
	snapshot := Snapshot{Index: 20, Term: 2, Data: snapshotData(20)}
	first, second := chunksOf(2, 3, snapshot), chunksOf(3, 4, snapshot)
	n.Step(first[0])
	n.Step(first[1])
	runHost(n)
	n.Step(second[0])
	sent, _ := runHost(n)
	if len(sent) != 1 || sent[0].To != 3 || sent[0].Offset != 2*chunkBytes || sent[0].Reject {
		t.Fatalf("the reply to the new leader is %+v", sent)
	}
	for _, m := range second[2:] {
		n.Step(m)
	}
	_, installed := runHost(n)
	if len(installed) != 1 || !bytes.Equal(installed[0].Data, snapshotData(20)) || n.RejectedSnapshots() != 0 {
		t.Errorf("%d installed, %d rejected", len(installed), n.RejectedSnapshots())
	}
}
