package raft

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files; only for a new kind of message or record")

// goldenValues returns one value for each file in testdata/golden: every kind of message that
// members send, and every record that they store. Each field of each type is set in at least one of
// them. The number in the name of a message file is that of its kind.
func goldenValues() map[string]any {
	members := []Member{
		{ID: 0x1234567890abcdef, Addr: "10.1.2.3:7001", Voter: true, Outgoing: true, SupportsJoint: true},
		{ID: 2, Addr: "10.1.2.4:7001", Voter: true, SupportsJoint: true},
		{ID: 3, Addr: "10.1.2.5:7001"},
	}
	command := Entry{Index: 41, Term: 6, Data: []byte("set quota")}
	change := Entry{Index: 42, Term: 7, Members: members}
	snapshot := Snapshot{Index: 40, Term: 6, Members: members, Data: []byte("the state of the service")}
	values := map[string]any{
		"member":                  members[0],
		"member_learner":          members[2],
		"entry_command":           command,
		"entry_members":           change,
		"entry_empty":             Entry{Index: 43, Term: 7},
		"snapshot":                snapshot,
		"snapshot_without_data":   Snapshot{Index: 40, Term: 6, Members: members},
		"hard_state":              HardState{Term: 7, Vote: 2},
		"hard_state_without_vote": HardState{Term: 7},
	}
	for name, m := range goldenMessages(command, change) {
		values[name] = m
	}
	for name, m := range goldenSnapshotMessages(snapshot) {
		values[name] = m
	}
	return values
}

// goldenMessages returns messages of every kind that is not about snapshots.
func goldenMessages(command, change Entry) map[string]Message {
	return map[string]Message{
		"message_01_pre_vote": {
			Kind: PreVoteRequest, From: 1, To: 2, Term: 8,
			Index: 42, LogTerm: 7,
		},
		"message_02_pre_vote_reply": {
			Kind: PreVoteReply, From: 2, To: 1, Term: 8,
		},
		"message_02_pre_vote_reply_reject": {
			Kind: PreVoteReply, From: 2, To: 1, Term: 8,
			Reject: true,
		},
		"message_03_vote": {
			Kind: VoteRequest, From: 1, To: 2, Term: 8,
			Index: 42, LogTerm: 7,
		},
		"message_03_vote_transfer": {
			Kind: VoteRequest, From: 1, To: 2, Term: 8,
			Index: 42, LogTerm: 7, LeadershipTransfer: true,
		},
		"message_04_vote_reply": {
			Kind: VoteReply, From: 2, To: 1, Term: 8,
		},
		"message_04_vote_reply_reject": {
			Kind: VoteReply, From: 2, To: 1, Term: 8,
			Reject: true,
		},
		"message_05_append": {
			Kind: AppendEntries, From: 1, To: 2, Term: 8,
			Index: 40, LogTerm: 6, Commit: 39, Round: 1001, Entries: []Entry{command, change},
		},
		"message_05_append_heartbeat": {
			Kind: AppendEntries, From: 1, To: 2, Term: 8,
			Index: 42, LogTerm: 7, Commit: 42, Round: 1002,
		},
		"message_06_append_reply": {
			Kind: AppendEntriesReply, From: 2, To: 1, Term: 8,
			Index: 42, Round: 1002, SupportsJoint: true,
		},
		"message_06_append_reply_reject": {
			Kind: AppendEntriesReply, From: 2, To: 1, Term: 8,
			Index: 39, Round: 1002, Reject: true, SupportsJoint: true, RejectedIndex: 41,
		},
		"message_08_campaign": {
			Kind: TimeoutNow, From: 1, To: 2, Term: 8,
		},
		"message_11_forgotten": {
			Kind: DurabilityLost, From: 1, To: 2, Term: 8,
		},
	}
}

// goldenSnapshotMessages returns messages of every kind that carries a snapshot, and replies to them.
func goldenSnapshotMessages(snapshot Snapshot) map[string]Message {
	chunk := snapshot
	chunk.Data = []byte("state of")
	return map[string]Message{
		"message_07_install": {
			Kind: InstallSnapshot, From: 1, To: 3, Term: 8,
			Round: 1002, Snapshot: &snapshot,
		},
		"message_09_snapshot_chunk": {
			Kind: SnapshotChunk, From: 1, To: 3, Term: 8,
			Round: 1003, Snapshot: &chunk, Offset: 4, SnapshotSize: 24, SnapshotChecksum: 0xfedcba9876543210,
		},
		"message_10_snapshot_chunk_reply": {
			Kind: SnapshotChunkReply, From: 3, To: 1, Term: 8,
			Round: 1003, Index: 40, Offset: 12, SnapshotChecksum: 0xfedcba9876543210,
		},
		"message_10_snapshot_chunk_refused": {
			Kind: SnapshotChunkReply, From: 3, To: 1, Term: 8,
			Round: 1003, Index: 40, Reject: true, SnapshotChecksum: 0xfedcba9876543210,
		},
	}
}

// Every message and record that a member of another version may have written decodes to the same
// fields, and encodes to the same bytes.
func TestGoldenBytesAreStable(t *testing.T) {
	values := goldenValues()
	for name, want := range values {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join("testdata", "golden", name+".cbor")
			if *updateGolden {
				data, err := cbor.Marshal(want)
				if err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(file, data, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			decoded := reflect.New(reflect.TypeOf(want))
			if err := cbor.Unmarshal(data, decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, want) {
				t.Errorf("decoded %+v, want %+v", got, want)
			}
			encoded, err := cbor.Marshal(decoded.Elem().Interface())
			if err != nil {
				t.Fatal(err)
			}
			if string(encoded) != string(data) {
				t.Errorf("encoded to %x, want %x", encoded, data)
			}
		})
	}
	files, err := os.ReadDir(filepath.Join("testdata", "golden"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if name := strings.TrimSuffix(file.Name(), ".cbor"); values[name] == nil {
			t.Errorf("goldenValues has no value for the file %s", file.Name())
		}
	}
}

// Each kind of message has a golden file, and each field of Message is set in at least one of them.
func TestGoldenFilesCoverMessages(t *testing.T) {
	kinds, set := map[MessageKind]bool{}, map[string]bool{}
	for _, v := range goldenValues() {
		m, ok := v.(Message)
		if !ok {
			continue
		}
		kinds[m.Kind] = true
		fields := reflect.ValueOf(m)
		for i := range fields.NumField() {
			if !fields.Field(i).IsZero() {
				set[fields.Type().Field(i).Name] = true
			}
		}
	}
	for kind := PreVoteRequest; kind <= DurabilityLost; kind++ {
		if !kinds[kind] {
			t.Errorf("no golden message of kind %d", kind)
		}
	}
	if fields := reflect.TypeOf(Message{}); len(set) != fields.NumField() {
		t.Errorf("%d of %d fields of Message are set", len(set), fields.NumField())
	}
}
