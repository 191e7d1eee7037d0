package simulation

import (
	"testing"

	"example.org/elmspan/lab/scenario"
)

// What a limiter of a vast fleet sends is bounded, and choice stays as good. Fails where each unit of a small tenant is a word and
// loads go out each 35 ms: 80,454 bytes and 383 words a second. Of the words 140 tell each 230 ms that it is there.
func TestBytesInVastFleets(t *testing.T) {
	t.Parallel()
	d, err := scenario.Read("../../docs/days/target.toml")
	if err != nil {
		t.Fatal(err)
	}
	if err := Vary(d, "machines_per_zone", 25); err != nil {
		t.Fatal(err)
	}
	d.LengthS = 1
	r := play(t, d, "")
	t.Logf("%d limiters, %.0f words, %.0f bytes, %.4f in aim", r.Limiters, r.WordsPerS, r.BytesPerS, r.InTarget())
	if r.WordsPerS > 220 || r.BytesPerS > 47_000 || r.InTarget() < 0.97 || !r.Passed() {
		t.Errorf("%d limiters: %.0f words, %.0f bytes a second, %.4f in aim, broken %v", r.Limiters, r.WordsPerS, r.BytesPerS, r.InTarget(), r.Violations)
	}
}
