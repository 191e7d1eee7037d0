package simulation

import (
	"testing"

	"example.org/elmspan/lab/scenario"
)

// What a limiter of a large fleet sends is bounded, and its choice of servers stays as good.
// Fails where each unit of a small tenant is a message and loads go out each 35 ms: 80,454
// bytes and 383 messages a second. Of the messages 140 say each 230 ms that the sender is there.
func TestGossipBytesAreBoundedInLargeFleets(t *testing.T) {
	t.Parallel()
	d, err := scenario.Read("../../docs/days/target.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := Vary(d, "machines_per_zone", 25); err != nil {
		t.Fatal(err)
	}
	d.LengthS = 1
	r := play(t, d)
	t.Logf("%d limiters, %.0f messages, %.0f bytes, %.4f in target",
		r.Limiters, r.MessagesPerS, r.BytesPerS, r.InTarget())
	if r.MessagesPerS > 220 || r.BytesPerS > 47_000 || r.InTarget() < 0.97 || !r.Passed() {
		t.Errorf("%d limiters: %.0f messages, %.0f bytes a second, %.4f in target, broken %v",
			r.Limiters, r.MessagesPerS, r.BytesPerS, r.InTarget(), r.Violations)
	}
}
