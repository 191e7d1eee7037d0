package gossip

import (
	"bytes"
	"reflect"
	"testing"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// A message with the maximum number of entries is within MaxMessageSize and survives an
// encoding round trip.
func TestLargestMessageFits(t *testing.T) {
	t.Parallel()
	m := Message{From: 1 << 63, Incarnation: 1 << 62, AgeMs: 1 << 40}
	m.GroupDigest = quota.Digest{Level: 4, LiveCount: 300}
	for i := range maxHints {
		m.Hints = append(m.Hints, balance.Hint{Server: uint32(i), InFlight: 255, Latency: 255})
	}
	for i := range maxTenants {
		m.GroupDigest.Consumed = append(m.GroupDigest.Consumed, quota.Usage{Tenant: uint64(i), Units: 1<<64 - 1})
	}
	b := m.Append(nil)
	var decoded Message
	if err := decoded.Decode(b); err != nil || len(b) > MaxMessageSize {
		t.Fatalf("encoded size %d bytes, decoding error: %v", len(b), err)
	}
	decoded.Consumed = m.Consumed // both are empty, but only one is nil
	if !reflect.DeepEqual(decoded, m) {
		t.Errorf("decoded message differs: %+v", decoded)
	}
}

// Re-encoding a decoded message is idempotent: the result decodes again and encodes to the
// same bytes.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("E1aaaaaaaabbbbbbbb\x05\x01cccccccc\x07\x01dddd\x01\x10\x00abcd"))
	f.Add([]byte("E1aaaaaaaabbbbbbbb\x05\x00\x00\x04\x11\x01cccccccc\x07"))
	for _, m := range goldenMessages() {
		f.Add(m.Append(nil))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var first, second Message
		if first.Decode(b) != nil {
			return
		}
		once := first.Append(nil)
		if err := second.Decode(once); err != nil {
			t.Fatalf("%x re-encoded as %x, which does not decode", b, once)
		}
		if twice := second.Append(nil); !bytes.Equal(once, twice) {
			t.Fatalf("first re-encoding %x, second %x", once, twice)
		}
	})
}
