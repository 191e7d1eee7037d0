package raft

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
)

const chunkSeeds = 3000

// Chunks of three snapshots, of two leaders in two terms, two of them of the same index with
// different bytes, damaged, duplicated, lost, in any order: what is installed is one of the three,
// complete, and never one behind what is known to be committed. Where nothing is damaged and one
// leader sends, nothing is rejected either.
func TestMixedChunksInstallOnlyCompleteSnapshots(t *testing.T) {
	t.Parallel()
	installed, rejected := 0, uint64(0)
	for seed := range uint64(chunkSeeds) {
		run := newChunkRun(seed)
		run.deliverAll(t)
		installed += run.installed
		rejected += run.node.RejectedSnapshots()
		if run.faultless && run.node.RejectedSnapshots() > 0 {
			t.Fatalf("seed %d: %d rejected, and nothing was damaged", seed, run.node.RejectedSnapshots())
		}
	}
	if installed < 1000 || rejected < 20 {
		t.Errorf("%d installed, %d rejected: too few to say anything", installed, rejected)
	}
}

// chunkRun is a member that receives chunks of several snapshots.
type chunkRun struct {
	seed      uint64
	rng       *rand.Rand
	node      *Node
	snapshots []Snapshot
	messages  []Message
	faultless bool // one leader, two snapshots, and no damage
	installed int
}

// newChunkRun returns a run with its messages in the order in which they arrive.
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
	if r.rng.IntN(2) == 0 { // nearly in order
		for range 6 {
			swap(r.rng.IntN(len(r.messages)), r.rng.IntN(len(r.messages)))
		}
	} else {
		r.rng.Shuffle(len(r.messages), swap)
	}
	return r
}

// deliverAll delivers all messages three times, and checks what is installed.
func (r *chunkRun) deliverAll(t *testing.T) {
	last := uint64(0)
	for range 3 {
		for _, m := range r.messages {
			if !r.faultless && r.rng.IntN(60) == 0 {
				m = r.damaged(m)
			}
			r.node.Step(m)
			_, installed := runHost(r.node)
			for _, s := range installed {
				if s.Index <= last || !r.wasSent(s) {
					t.Fatalf("seed %d: after index %d it installs %q for %d", r.seed, last, s.Data, s.Index)
				}
				last = s.Index
				r.installed++
			}
		}
	}
}

// damaged returns a message with one bit of its chunk changed.
func (r *chunkRun) damaged(m Message) Message {
	s := *m.Snapshot
	s.Data = slices.Clone(s.Data)
	s.Data[r.rng.IntN(len(s.Data))] ^= 1 << r.rng.IntN(8)
	m.Snapshot = &s
	return m
}

// wasSent reports whether a snapshot is one of those that were sent.
func (r *chunkRun) wasSent(s *Snapshot) bool {
	return slices.ContainsFunc(r.snapshots, func(o Snapshot) bool {
		return o.Index == s.Index && bytes.Equal(o.Data, s.Data)
	})
}

// transferRun is a leader that sends a snapshot to member 2, while member 3 acknowledges all.
type transferRun struct {
	leader, follower *Node
	validateErr      error // why the follower refuses snapshots; nil: it does not
	snapshotIndex    uint64
	chunks           int                  // sent to the follower
	isLost           func(chunk int) bool // which of them are lost
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

// tick plays ticks of the leader, and delivers all messages.
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

// deliver delivers one message of the leader, and the replies to it.
func (r *transferRun) deliver(t *testing.T, m Message) {
	if m.To == 3 {
		if m.Kind == AppendEntries {
			acknowledgeEntries(r.leader, m)
		}
		return
	}
	if m.Kind == SnapshotChunk {
		if m.Snapshot.Index != r.snapshotIndex {
			t.Fatalf("chunks of snapshot %d, it began with %d", m.Snapshot.Index, r.snapshotIndex)
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

// A leader continues a transfer where the follower is, sends what was lost again, and keeps to the
// same snapshot while new ones are made. A snapshot that is refused is sent again only after a
// while; the follower installs it once it can.
func TestSnapshotTransferContinuesAfterLossAndRefusal(t *testing.T) {
	t.Parallel()
	data := bytes.Repeat([]byte("0123456789"), 20)
	r := newTransferRun(t, data)
	r.validateErr = errors.New("the host can't restore it")
	r.tick(t, 60)
	refused := r.follower.RejectedSnapshots()
	if r.installed != 0 || refused == 0 || refused > 3 || r.follower.CommitIndex() != 0 {
		t.Fatalf("%d installed, %d refused in 60 ticks", r.installed, refused)
	}
	for range 2 { // new snapshots meanwhile; the log still goes on from the first
		mustPropose(t, r.leader, []byte("y"))
		r.tick(t, 1)
		r.leader.Compact(r.leader.AppliedIndex(), data[:50])
	}
	r.validateErr, r.chunks = nil, 0
	r.isLost = func(chunk int) bool { return chunk%5 == 0 }
	r.tick(t, 200)
	if r.installed != 1 || r.follower.CommitIndex() != r.leader.CommitIndex() || r.chunks > 60 {
		t.Errorf("%d installed with %d chunks, commit index %d of %d",
			r.installed, r.chunks, r.follower.CommitIndex(), r.leader.CommitIndex())
	}
}

// A snapshot that arrives late, from before what is committed here, changes nothing, though its
// index is not in the log any more.
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
		t.Errorf("snapshot %d, commit %d, applied %d", n.SnapshotIndex(), n.CommitIndex(), n.AppliedIndex())
	}
}

// An installed snapshot counts as applied only when the host has taken it over: until then, as
// while its disk refuses writes, nobody is answered as if it were.
func TestInstalledSnapshotIsAppliedOnlyByAdvance(t *testing.T) {
	t.Parallel()
	n := newSingleNode(1, nil)
	snapshot := Snapshot{Index: 20, Term: 2, Data: snapshotData(20)}
	n.Step(Message{Kind: InstallSnapshot, From: 2, To: 1, Term: 3, Snapshot: &snapshot})
	if n.AppliedIndex() != 0 {
		t.Errorf("applied index %d before the host did anything", n.AppliedIndex())
	}
	runHost(n)
	if n.AppliedIndex() != 20 {
		t.Errorf("applied index %d", n.AppliedIndex())
	}
}

// A new leader that has the same snapshot continues with it where the last leader stopped.
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
		t.Fatalf("its reply is %+v", sent)
	}
	for _, m := range second[2:] {
		n.Step(m)
	}
	_, installed := runHost(n)
	if len(installed) != 1 || !bytes.Equal(installed[0].Data, snapshotData(20)) || n.RejectedSnapshots() != 0 {
		t.Errorf("%d installed, %d rejected", len(installed), n.RejectedSnapshots())
	}
}
