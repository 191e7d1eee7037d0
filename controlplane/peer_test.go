package controlplane

import (
	"cmp"
	"testing"

	"github.com/cespare/xxhash/v2"

	"example.org/elmspan/api"
	"example.org/elmspan/raft"
)

// peerTerm is the term of messages that a test delivers to a member, unless they have another.
const peerTerm = 4

// deliverFrom delivers messages from a member to member 1.
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

// snapshotMessages returns the messages that transfer a snapshot, as two chunks or one message.
func snapshotMessages(snapshot raft.Snapshot, chunked bool) []raft.Message {
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

// deliverSnapshot delivers a snapshot from member 2 to member 1.
func deliverSnapshot(t *testing.T, core *Core, index uint64, data []byte, chunked bool) {
	t.Helper()
	snapshot := raft.Snapshot{
		Index:   index,
		Term:    peerTerm,
		Members: core.host.node.Members(),
		Data:    data,
	}
	for _, m := range snapshotMessages(snapshot, chunked) {
		deliverFrom(t, core, 2, m)
	}
}

// appendMessage returns a message that appends entries. The entry before them is of term 1.
func appendMessage(commit uint64, entries ...raft.Entry) raft.Message {
	return raft.Message{
		Kind:    raft.AppendEntries,
		Index:   entries[0].Index - 1,
		LogTerm: 1,
		Commit:  commit,
		Entries: entries,
	}
}
