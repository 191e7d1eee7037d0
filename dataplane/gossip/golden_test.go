package gossip

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"example.org/elmspan/dataplane/balance"
	"example.org/elmspan/dataplane/quota"
)

// goldenMessages returns messages by the name of their golden file. Together they cover each
// section of a datagram with no entry, one entry, several entries, and the maximum that a sender
// puts into one message.
func goldenMessages() map[string]Message {
	const from, incarnation = 0x0123456789abcdef, 0x7edcba9876543210
	consumed := []quota.Usage{
		{Tenant: 0xabcdef0123, Units: 0, FillLevel: 0},
		{Tenant: 1, Units: 127, FillLevel: 7},
		{Tenant: 0xffffffffff, Units: 1<<64 - 1, FillLevel: 255},
	}
	hints := []balance.Hint{
		{Server: 0, InFlight: 0, Latency: 0},
		{Server: 0x89abcdef, InFlight: 3, Latency: 16},
		{Server: 1<<32 - 1, InFlight: balance.InFlightUnknown, Latency: balance.LatencyFailed},
	}
	demand := []balance.Demand{{Service: 0, Level: 1}, {Service: 0xbeef, Level: 200}}
	classes := []quota.SharingClass{{LiveSet: 0xcafef00d, Count: 41}, {LiveSet: 7, Count: 300}}
	full := Message{From: 1<<64 - 1, Incarnation: 1<<64 - 1, AgeMs: 1 << 50, StaleIdleGroup: 16}
	for i := range 64 {
		hint := balance.Hint{Server: uint32(i) << 20, InFlight: uint8(i), Latency: uint8(255 - i)}
		full.Hints = append(full.Hints, hint)
	}
	full.GroupDigest = quota.Digest{Level: 16, Primary: true, LiveCount: 1 << 20, LiveSet: 1<<32 - 1}
	for i := range 8 {
		class := quota.SharingClass{LiveSet: uint32(i), Count: 1 << i}
		full.GroupDigest.Classes = append(full.GroupDigest.Classes, class)
	}
	for i := range 48 {
		usage := quota.Usage{Tenant: uint64(i) << 32, Units: 1 << i, FillLevel: uint8(i)}
		full.GroupDigest.Consumed = append(full.GroupDigest.Consumed, usage)
	}
	head := Message{From: from, Incarnation: incarnation}
	with := func(ageMs float64, change func(m *Message)) Message {
		m := head
		m.AgeMs = ageMs
		change(&m)
		return m
	}
	digest := func(level quota.GroupingLevel, primary bool, liveCount int, liveSet uint32) quota.Digest {
		return quota.Digest{Level: level, Primary: primary, LiveCount: liveCount, LiveSet: liveSet}
	}
	return map[string]Message{
		"empty":     {},
		"head":      with(123456789, func(m *Message) { m.LiveSet = 0xdeadbeef }),
		"spent":     with(1, func(m *Message) { m.Consumed, m.LiveSet = consumed, 1 }),
		"hints":     with(128, func(m *Message) { m.Hints, m.LiveSet = hints, 2 }),
		"demand":    with(300, func(m *Message) { m.Demand, m.LiveSet = demand, 3 }),
		"forgotten": with(16384, func(m *Message) { m.StaleIdleGroup, m.LiveSet = 5, 4 }),
		"all-but-digest": with(1<<40, func(m *Message) {
			m.Consumed, m.Hints, m.Demand, m.StaleIdleGroup, m.LiveSet = consumed, hints, demand, 16, 5
		}),
		"digest-first": with(9, func(m *Message) { m.GroupDigest = digest(1, true, 1, 6) }),
		"digest-second": with(10, func(m *Message) {
			m.GroupDigest = digest(4, false, 128, 7)
			m.GroupDigest.Classes, m.GroupDigest.Consumed = classes, consumed
		}),
		"digest-and-hints": with(11, func(m *Message) {
			m.Hints, m.Demand, m.StaleIdleGroup = hints, demand, 1
			m.GroupDigest = digest(3, true, 9, 8)
			m.GroupDigest.Classes, m.GroupDigest.Consumed = classes[:1], consumed[:1]
		}),
		"full": full,
	}
}

// The datagrams of an earlier version (f96d826) decode to the same messages and encode to the
// same bytes, so that limiters of both versions interoperate during an upgrade.
func TestGoldenDatagrams(t *testing.T) {
	messages := goldenMessages()
	files, err := filepath.Glob(filepath.Join("testdata", "golden", "*.bin"))
	if err != nil || len(files) != len(messages) {
		t.Fatalf("%d golden files for %d messages (error: %v)", len(files), len(messages), err)
	}
	for name, message := range messages {
		want, err := os.ReadFile(filepath.Join("testdata", "golden", name+".bin"))
		if err != nil {
			t.Fatal(err)
		}
		if got := message.Append(nil); !bytes.Equal(got, want) {
			t.Errorf("%s: encoded as %x, want %x", name, got, want)
		}
		var decoded Message
		if err := decoded.Decode(want); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if got := decoded.Append(nil); !bytes.Equal(got, want) {
			t.Errorf("%s: re-encoded as %x, want %x", name, got, want)
		}
		if !reflect.DeepEqual(withoutEmptySlices(decoded), withoutEmptySlices(message)) {
			t.Errorf("%s: decoded as %+v, want %+v", name, decoded, message)
		}
		for n := range want {
			if decoded.Decode(want[:n]) == nil {
				t.Errorf("%s: truncated to %d bytes, Decode returned no error", name, n)
			}
		}
		if decoded.Decode(append(want[:len(want):len(want)], 0)) == nil {
			t.Errorf("%s: with a trailing byte, Decode returned no error", name)
		}
	}
}

// withoutEmptySlices replaces empty slices by nil, because a decoded message may have either.
func withoutEmptySlices(m Message) Message {
	if len(m.Consumed) == 0 {
		m.Consumed = nil
	}
	if len(m.Hints) == 0 {
		m.Hints = nil
	}
	if len(m.Demand) == 0 {
		m.Demand = nil
	}
	if len(m.GroupDigest.Classes) == 0 {
		m.GroupDigest.Classes = nil
	}
	if len(m.GroupDigest.Consumed) == 0 {
		m.GroupDigest.Consumed = nil
	}
	return m
}
