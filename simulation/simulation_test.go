package simulation

import (
	"bytes"
	"context"
	"testing"

	"example.org/silverscale/scenario"
)

func day(t *testing.T) *scenario.Day {
	t.Helper()
	d, err := scenario.Read("../docs/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func play(t *testing.T, d *scenario.Day, policy string) *Result {
	t.Helper()
	r, err := Run(context.Background(), d, Options{Policy: policy})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A day with troubles breaks no rule, and equal seeds give equal days.
func TestDay(t *testing.T) {
	t.Parallel()
	r := play(t, day(t), "")
	var one, two bytes.Buffer
	r.Write(&one)
	if !r.Sound() || r.Served() < 0.97 {
		t.Errorf("served %v\n%s", r.Served(), one.String())
	}
	if play(t, day(t), "").Write(&two); one.String() != two.String() {
		t.Errorf("the same day twice:\n%s\n%s", one.String(), two.String())
	}
}
