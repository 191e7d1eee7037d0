package api

import (
	"bytes"
	"testing"
)

// A message from another process is decoded completely or rejected. A decoded message can be
// encoded again, and a second round trip gives the same bytes.
func FuzzMessages(f *testing.F) {
	c := codec{}
	for _, v := range []any{
		&WatchRequest{Name: "a", Revision: 3},
		&WatchResponse{
			Lease: true, ServersDelta: &EncodedDelta{To: 3, Size: 1, Data: []byte{0}}, Members: []string{"x"},
		},
		&HeartbeatRequest{From: Peer{Name: "a", StartID: 9}, Peers: []Peer{{Name: "b"}}},
		&ControlResponse{Status: 409, Reason: "x"},
		&JoinRequest{ID: 7, Addr: "a"},
	} {
		data, err := c.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	messages := []func() any{
		func() any { return new(WatchRequest) },
		func() any { return new(WatchResponse) },
		func() any { return new(HeartbeatRequest) },
		func() any { return new(HeartbeatResponse) },
		func() any { return new(ControlResponse) },
		func() any { return new(JoinRequest) },
		func() any { return new(ReplaceRequest) },
		func() any { return new(DeliverRequest) },
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, v := range messages {
			a := v()
			if c.Unmarshal(data, a) != nil {
				continue
			}
			once, err := c.Marshal(a)
			if err != nil {
				t.Fatalf("%T was decoded and can't be encoded: %v", a, err)
			}
			b := v()
			if err := c.Unmarshal(once, b); err != nil {
				t.Fatalf("%T: %v", a, err)
			}
			if twice, err := c.Marshal(b); err != nil || !bytes.Equal(once, twice) {
				t.Fatalf("%T differs after a second decoding: %x, %x", a, once, twice)
			}
		}
	})
}
