package controlplane

import (
	"cmp"
	"testing"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// peerTerm is the term in which the test's messages lead a member, unless they name another.
const peerTerm = 4

// deliverFrom has messages of a member come to member 1.
func deliverFrom(t *testing.T, core *Core, from raft.ID, messages ...raft.Message) {
	t.Helper()
	for i := range messages {
		m := &messages[i]
		m.From, m.To, m.Term = from, 1, cmp.Or(m.Term, peerTerm)
	}
	request := &api.DeliverRequest{From: from, Addr: "b", Messages: messages}
	if _, err := core.Deliver(t.Context(), request); err != nil {
		t.Fatal(err)
	}
}

// installMessages send a snapshot, in two chunks or in one message.
func installMessages(snapshot raft.Snapshot, chunked bool) []raft.Message {
	if !chunked {
		return []raft.Message{{Kind: raft.InstallSnapshot, Snapshot: &snapshot}}
	}
	data := snapshot.Data
	half := len(data) / 2
	var messages []raft.Message
	for _, r := range [][2]int{{0, half}, {half, len(data)}} {
		chunk := snapshot
		chunk.Data = data[r[0]:r[1]]
		messages = append(messages, raft.Message{
			Kind:             raft.SnapshotChunk,
			Snapshot:         &chunk,
			Offset:           uint64(r[0]),
			SnapshotSize:     uint64(len(data)),
			SnapshotChecksum: xxhash.Sum64(data),
		})
	}
	return messages
}

// install has member 2 send a snapshot.
func install(t *testing.T, core *Core, index uint64, data []byte, chunked bool) {
	t.Helper()
	snapshot := raft.Snapshot{
		Index:   index,
		Term:    peerTerm,
		Members: core.host.node.Members(),
		Data:    data,
	}
	for _, m := range installMessages(snapshot, chunked) {
		deliverFrom(t, core, 2, m)
	}
}

// appendMessage appends entries after one of term 1.
func appendMessage(commit uint64, entries ...raft.Entry) raft.Message {
	return raft.Message{
		Kind:    raft.AppendEntries,
		Index:   entries[0].Index - 1,
		LogTerm: 1,
		Commit:  commit,
		Entries: entries,
	}
}
