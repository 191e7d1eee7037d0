package api

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc"

	"example.org/elmspan/raft"
)

// goldenRow is one configuration row in a golden file.
type goldenRow struct {
	Key   string          `cbor:"key"`
	Value cbor.RawMessage `cbor:"value"`
}

func goldenConfig() *Config {
	return &Config{
		Revision: 12,
		Routes: []Route{
			{
				Name: "r", Host: "Example.org", Prefix: "/x/", Type: Idempotent, TimeoutMs: 1500.5, TargetMs: 80,
				Priority: 3, Upstream: "a", MaxAttempts: 2, Anonymous: true,
			},
			{
				Name: "s", Host: "*", Prefix: "/x/y/", Type: Download, TimeoutMs: 100,
				TrafficSplit: []WeightedUpstream{{"a", 90}, {"b", 10}},
			},
		},
		Upstreams: []Upstream{
			{Name: "a", HealthCheck: "/health", MaxConnections: 40, Protocol: "http1", TLS: true},
			{Name: "b"},
		},
		Limits: RequestLimits{MaxHeaderBytes: 8192, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 2500, IdleTimeoutMs: 60000},
		Tenants: []Tenant{
			{Name: "t", Keys: []string{"k1", "k2"}, Priority: 1, Rate: 5.5, Burst: 20},
			{Name: "u", Keys: []string{"k3"}},
		},
	}
}

func goldenMessages() []raft.Message {
	members := []raft.Member{
		{ID: 7, Addr: "10.0.0.7:9", Voter: true, SupportsJoint: true},
		{ID: 8, Addr: "10.0.0.8:9", Outgoing: true},
	}
	return []raft.Message{
		{Kind: raft.AppendEntries, From: 7, To: 8, Term: 3, Index: 40, LogTerm: 2, Commit: 39, Round: 11,
			Entries: []raft.Entry{{Index: 41, Term: 3, Data: []byte("entry")}, {Index: 42, Term: 3, Members: members}}},
		{
			Kind: raft.AppendEntriesReply, From: 8, To: 7, Term: 3, Index: 42, Reject: true, LeadershipTransfer: true,
			SupportsJoint: true, RejectedIndex: 41,
		},
		{
			Kind: raft.SnapshotChunk, From: 7, To: 8, Term: 3, Offset: 16384, SnapshotSize: 40000,
			SnapshotChecksum: 0xfedcba9876543210,
			Snapshot:         &raft.Snapshot{Index: 30, Term: 2, Members: members, Data: []byte("bytes")},
		},
	}
}

// goldenValues returns the decoded contents of the golden files by file name.
func goldenValues() map[string]any {
	peer := Peer{
		Name: "n1", Addr: "10.0.0.1:9", Zone: "z1", StartID: 0x1122334455667788, Incarnation: 5, State: 1,
		Edge: true, Core: true,
	}
	other := Peer{Name: "n2", Addr: "10.0.0.2:9", Zone: "z2", StartID: 9, Incarnation: 1}
	config := &EncodedDelta{From: 11, To: 12, Size: 20000, Data: []byte("first bytes")}
	servers := &EncodedDelta{To: 900, Size: 4, Data: []byte("list")}
	return map[string]any{
		"config": goldenConfig(),
		"server": &Server{
			ID: "i-1", Upstream: "a", Addr: "10.1.0.1:80", Zone: "z1", Revision: "v2", Capacity: 8, State: Draining,
			WarmupMs: 1250.5,
		},
		"watch-request": &WatchRequest{Name: "n1", Revision: 11, ServersVersion: 899, WaitMs: 2000},
		"watch-response": &WatchResponse{
			Lease: true, LeaseDelayMs: 730, Revision: 12, ServersVersion: 900, ConfigDelta: config,
			ServersDelta: servers, ClockMs: 123456.5, Leader: "10.0.0.7:9",
			Members: []string{"10.0.0.7:9", "10.0.0.8:9"},
		},
		"watch-response-empty": &WatchResponse{},
		"encoded-delta":        config,
		"fetch-request":        &FetchRequest{Table: ServerTable, From: 899, To: 900, Offset: 16384},
		"chunk":                &Chunk{Data: []byte("piece")},
		"chunk-empty":          &Chunk{},
		"read-index-response":  &ReadIndexResponse{Confirmed: true, Index: 42, ServersVersion: 900, ClockMs: 99.5},
		"replace-request":      &ReplaceRequest{Base: 11, Config: []byte{0xa0}},
		"control-response": &ControlResponse{
			Status: 409, Reason: "another came first", Leader: "10.0.0.7:9", Config: []byte{0xa0},
			Revisions: []uint64{10, 11, 12},
		},
		"get-request":     &GetRequest{Revision: 10, Revisions: true, State: true},
		"join-request":    &JoinRequest{ID: 8, Addr: "10.0.0.8:9", Leaving: true, SupportsJoint: true},
		"deliver-request": &DeliverRequest{Messages: goldenMessages(), From: 7, Addr: "10.0.0.7:9"},
		"deliver-request-chunk": &DeliverRequest{
			From: 7, Addr: "10.0.0.7:9", Chunk: &MessageChunk{Offset: 5, Size: 11, Checksum: 77, Data: []byte("part")},
		},
		"deliver-response": &DeliverResponse{AcceptsChunks: true, ReceivedBytes: 9},
		"peer":             &peer,
		"heartbeat-request": &HeartbeatRequest{
			From: peer, Digest: 0xaabb, Peers: []Peer{other}, RequestedBuckets: 1 << 63,
		},
		"heartbeat-response": &HeartbeatResponse{
			Digest: 0xaabb, Peers: []Peer{peer, other}, BucketDigests: []uint32{1, 2, 1 << 31},
		},
		"empty":            &Empty{},
		"history-response": &HistoryResponse{MayHaveParticipated: true},
		"server-row": &serverRow{
			Upstream: "a", Addr: "10.1.0.1:80", Zone: "z1", Capacity: 8, State: Draining, WarmAtMs: 4500,
		},
		"server-row-in-service": &serverRow{Upstream: "a", Addr: "10.1.0.1:80", Zone: "z1", Capacity: 8},
	}
}

func goldenFile(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "golden", name+".cbor"))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Each value that an earlier version (f96d826) encoded is decoded to the same value and
// encoded to the same bytes, so that members and limiters of both versions work together.
func TestGoldenFormsKeepTheirBytes(t *testing.T) {
	values := goldenValues()
	for name, want := range values {
		t.Run(name, func(t *testing.T) {
			data := goldenFile(t, name)
			got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
			if err := (codec{}).Unmarshal(data, got); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded %+v, want %+v", got, want)
			}
			encoded, err := codec{}.Marshal(got)
			if err != nil || !bytes.Equal(encoded, data) {
				t.Errorf("encoded %x (%v), want %x", encoded, err, data)
			}
		})
	}
	files, err := filepath.Glob(filepath.Join("testdata", "golden", "*.cbor"))
	if err != nil || len(files) != len(values)+1 { // config-rows.cbor has a test of its own
		t.Errorf("%d golden files for %d values, %v", len(files), len(values), err)
	}
}

// The rows of a configuration have the same keys and bytes as in an earlier version, and are
// decoded to the entries from which they were encoded.
func TestGoldenConfigRows(t *testing.T) {
	var want []goldenRow
	if err := cbor.Unmarshal(goldenFile(t, "config-rows"), &want); err != nil {
		t.Fatal(err)
	}
	s, err := ValidateConfig(goldenFile(t, "config"), nil)
	if err != nil {
		t.Fatal(err)
	}
	if s.Revision != 12 || len(s.Rows) != len(want) || len(want) != 7 {
		t.Fatalf("revision %d, %d rows, want %d", s.Revision, len(s.Rows), len(want))
	}
	c := goldenConfig()
	for _, w := range want {
		if !bytes.Equal(s.Rows[w.Key], w.Value) {
			t.Errorf("row %q: %x, want %x", w.Key, s.Rows[w.Key], w.Value)
		}
		row, err := ParseConfigRow(w.Key, w.Value)
		if err != nil {
			t.Fatal(err)
		}
		var found bool
		switch {
		case row.Route != nil:
			found = slices.ContainsFunc(c.Routes, func(r Route) bool { return reflect.DeepEqual(r, *row.Route) })
		case row.Tenant != nil:
			found = slices.ContainsFunc(c.Tenants, func(x Tenant) bool { return reflect.DeepEqual(x, *row.Tenant) })
		case row.Upstream != nil:
			found = slices.Contains(c.Upstreams, *row.Upstream)
		case row.Limits != nil:
			found = *row.Limits == c.Limits
		}
		if !found {
			t.Errorf("row %q is decoded as %+v, which is not in the configuration", w.Key, row)
		}
	}
}

// Server rows are encoded and decoded as in an earlier version.
func TestGoldenServerRows(t *testing.T) {
	draining := Server{
		ID: "i-1", Upstream: "a", Addr: "10.1.0.1:80", Zone: "z1", Capacity: 8, State: Draining, WarmupMs: 500,
	}
	inService := Server{ID: "i-2", Upstream: "a", Addr: "10.1.0.1:80", Zone: "z1", Capacity: 8, State: InService}
	for name, s := range map[string]Server{"server-row": draining, "server-row-in-service": inService} {
		data := goldenFile(t, name)
		warmAt := map[string]float64{"server-row": 4500.9}[name] // encoded in whole milliseconds
		if got, err := EncodeServerRow(s, warmAt); err != nil || !bytes.Equal(got, data) {
			t.Errorf("%s: %x (%v), want %x", name, got, err, data)
		}
		if got, err := ParseServerRow(s.ID, data, 4000); err != nil || got != s {
			t.Errorf("%s: decoded as %+v (%v), want %+v", name, got, err, s)
		}
	}
}

// The names of services and methods are part of the wire protocol.
func TestGoldenMethodNames(t *testing.T) {
	s := grpc.NewServer()
	s.RegisterService(&controlDesc, nil)
	s.RegisterService(&bootstrapDesc, nil)
	s.RegisterService(&membershipDesc, nil)
	var got []string
	for service, info := range s.GetServiceInfo() {
		for _, m := range info.Methods {
			got = append(got, service+"/"+m.Name)
		}
	}
	slices.Sort(got)
	want := []string{
		"elmspan.Bootstrap/Past",
		"elmspan.Control/Confirm", "elmspan.Control/Deliver", "elmspan.Control/Fetch", "elmspan.Control/Get",
		"elmspan.Control/Join", "elmspan.Control/Replace", "elmspan.Control/Watch",
		"elmspan.Membership/Beat",
	}
	if !slices.Equal(got, want) {
		t.Errorf("methods %q, want %q", got, want)
	}
	if name := (codec{}).Name(); name != "cbor" {
		t.Errorf("the codec is named %q", name)
	}
}
