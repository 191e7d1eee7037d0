package balancer

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// goldenPeerMessages returns one message of each form that limiters exchange, by file name. The
// files under testdata/golden hold the bytes as encoded by commit f96d826; later versions must
// encode the same bytes.
func goldenPeerMessages() map[string]peerMessage {
	entry := peerEntry{
		customer: 4569004829, plan: 2, limiterCount: 9, firstLimiter: 3, spent: 1 << 40, newlySpent: 300, level: -77,
	}
	withInFlight := entry
	withInFlight.inFlight = 12
	level := peerEntry{customer: 1, plan: 0, level: 1 << 33, margin: 130}
	low := peerEntry{customer: 1<<64 - 1, plan: 1, level: -1, margin: 0}
	failing := peerEntry{customer: 51530247, plan: 3}
	grant := peerEntry{customer: 17, plan: 1, level: 40}
	return map[string]peerMessage{
		"report.bin":    {incarnation: 0xdeadbeef, seq: 129, ageMs: 65000, entries: []peerEntry{entry, entry}},
		"asking.bin":    {flags: flagLevelsRequest, incarnation: 1, seq: 1, ageMs: 0},
		"in-flight.bin": {flags: flagInFlight, incarnation: 7, seq: 2, ageMs: 50, entries: []peerEntry{withInFlight}},
		"levels.bin": {flags: flagLevelUpdate | flagLevelsResponse, ageMs: 123456,
			entries: []peerEntry{level, low}},
		"level.bin":       {flags: flagLevelUpdate, entries: []peerEntry{low}},
		"failing.bin":     {flags: flagLevelUpdate | flagFailureHint, entries: []peerEntry{failing}},
		"grant.bin":       {flags: flagLevelUpdate | flagEscrowGrant, entries: []peerEntry{grant}},
		"empty-level.bin": {flags: flagLevelUpdate | flagLevelsResponse, ageMs: 1},
		"asking-out.bin": {
			flags: flagLevelsRequest | flagInFlight, incarnation: 9, seq: 3, ageMs: 1999,
			entries: []peerEntry{withInFlight},
		},
	}
}

// TestGoldenPeerMessages checks that the encoding of messages between limiters is unchanged:
// limiters of two versions exchange messages while a fleet is upgraded.
func TestGoldenPeerMessages(t *testing.T) {
	for name, want := range goldenPeerMessages() {
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("testdata", "golden", name))
			if err != nil {
				t.Fatal(err)
			}
			if result, n := want.encode(); !bytes.Equal(result, data) || n != len(want.entries) {
				t.Errorf("encoded %x with %d entries, want %x", result, n, data)
			}
			got, ok := decodePeerMessage(data)
			if !ok || !reflect.DeepEqual(got, want) {
				t.Fatalf("decoded %+v, %v, want %+v", got, ok, want)
			}
			if encoded, _ := got.encode(); !bytes.Equal(encoded, data) {
				t.Errorf("decoded and encoded again: %x, want %x", encoded, data)
			}
		})
	}
}
