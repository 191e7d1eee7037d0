package raft

import (
	"testing"

	"github.com/cespare/xxhash/v2"
)

// newSingleNode returns one member of three; the test simulates the others. It sends snapshots in
// chunks of 8 bytes.
func newSingleNode(id ID, validate func(*Snapshot) error) *Node {
	members := []Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	return New(Config{
		ID:               id,
		ElectionTicks:    10,
		HeartbeatTicks:   2,
		Seed:             1,
		ChunkBytes:       8,
		TrailingEntries:  4,
		ValidateSnapshot: validate,
	}, PersistentState{Snapshot: Snapshot{Members: members}})
}

// newSingleLeader returns a node as newSingleNode does, with ID 1, that leads. Member 3 has all its
// entries.
func newSingleLeader(t *testing.T) *Node {
	t.Helper()
	n := newSingleNode(1, nil)
	for i := 0; n.Role() != Leader; i++ {
		if i > 100 {
			t.Fatal("no leader")
		}
		n.Tick()
		sent, _ := runHost(n)
		for _, m := range sent {
			grantVote(n, m)
		}
	}
	acknowledgeAll(n, 3)
	return n
}

// grantVote grants a vote request or a pre-vote request of a member, and ignores other messages.
func grantVote(n *Node, request Message) {
	switch request.Kind {
	case PreVoteRequest:
		n.Step(Message{Kind: PreVoteReply, From: request.To, To: request.From, Term: request.Term})
	case VoteRequest:
		n.Step(Message{Kind: VoteReply, From: request.To, To: request.From, Term: request.Term})
	}
}

// acknowledgeEntries replies to AppendEntries as a receiver whose log matches.
func acknowledgeEntries(n *Node, request Message) {
	n.Step(Message{
		Kind:  AppendEntriesReply,
		From:  request.To,
		To:    request.From,
		Term:  request.Term,
		Round: request.Round,
		Index: request.Index + uint64(len(request.Entries)),
	})
}

// acknowledgeAll makes a member acknowledge all entries of the leader.
func acknowledgeAll(leader *Node, id ID) {
	runHost(leader)
	leader.Step(Message{Kind: AppendEntriesReply, From: id, To: 1, Term: leader.Term(), Index: leader.LastIndex()})
	runHost(leader)
}

// mustPropose proposes a value that the leader must accept.
func mustPropose(t *testing.T, leader *Node, data []byte) {
	t.Helper()
	if _, _, err := leader.Propose(data); err != nil {
		t.Fatal(err)
	}
}

// runHost processes all pending work of a member, and returns the messages sent and the snapshots
// installed.
func runHost(n *Node) (sent []Message, installed []*Snapshot) {
	for r := n.Ready(); !r.Empty(); r = n.Ready() {
		if r.Snapshot != nil {
			installed = append(installed, r.Snapshot)
		}
		n.Advance(r)
		sent = append(sent, r.Messages...)
	}
	return sent, installed
}

// chunkBytes is the size of the chunks that [chunksOf] returns.
const chunkBytes = 16

// chunksOf returns the messages that carry a snapshot to member 1.
func chunksOf(from ID, term uint64, s Snapshot) (chunks []Message) {
	for offset := 0; offset < len(s.Data); offset += chunkBytes {
		chunk := s
		chunk.Data = s.Data[offset:min(len(s.Data), offset+chunkBytes)]
		chunks = append(chunks, Message{
			Kind:             SnapshotChunk,
			From:             from,
			To:               1,
			Term:             term,
			Snapshot:         &chunk,
			Offset:           uint64(offset),
			SnapshotSize:     uint64(len(s.Data)),
			SnapshotChecksum: xxhash.Sum64(s.Data),
		})
	}
	return chunks
}
