package simulation

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"testing"

	"example.org/elmspan/lab/scenario"
)

func day(t *testing.T) *scenario.Day {
	t.Helper()
	d, err := scenario.Read("../../docs/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// play plays a day with the gateway's own policy.
func play(t *testing.T, d *scenario.Day) *Result {
	t.Helper()
	r, err := Run(context.Background(), d, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// playEach plays a day with several policies side by side.
func playEach(t *testing.T, d *scenario.Day, policies ...string) []*Result {
	t.Helper()
	out := make([]*Result, len(policies))
	errs := make([]error, len(policies))
	var all sync.WaitGroup
	for i, p := range policies {
		all.Go(func() { out[i], errs[i] = Run(context.Background(), clone(d), Options{Policy: p}) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	return out
}

// report is the written report of a day.
func report(t *testing.T, r *Result) string {
	t.Helper()
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// A day with faults breaks no rule, and equal seeds give equal days.
func TestEqualSeedsGiveEqualDays(t *testing.T) {
	t.Parallel()
	rs := playEach(t, day(t), "", "")
	first, second := report(t, rs[0]), report(t, rs[1])
	if !rs[0].Passed() || rs[0].Served() < 0.97 {
		t.Errorf("served %v\n%s", rs[0].Served(), first)
	}
	if first != second {
		t.Errorf("the same day twice:\n%s\n%s", first, second)
	}
}

// In a fleet of many limiters, of which each sees next to nothing of the load
// of most servers, requests are answered in time more often than by policies
// that share no knowledge. (Found with 300 limiters: 0.885 in target, 0.965 by
// chance. Fails where a limiter chooses among all servers.)
func TestGatewayChoosesBetterThanPlainPoliciesInLargeFleets(t *testing.T) {
	t.Parallel()
	d := day(t)
	d.Faults, d.LengthS = nil, 3
	if err := errors.Join(Vary(d, "machines_per_zone", 25), Vary(d, "load", 2.5)); err != nil {
		t.Fatal(err)
	}
	policies := []string{"", "random", "two-choices", "least-outstanding"}
	rs := playEach(t, d, policies...)
	own := rs[0]
	for i, p := range policies[1:] {
		if other := rs[i+1]; own.Quantile(95) > other.Quantile(95) || own.InTarget() < 0.97 {
			t.Errorf("p95 %v ms, %v in target; %s has %v and %v",
				own.Quantile(95), own.InTarget(), p, other.Quantile(95), other.InTarget())
		}
	}
	if own.Targets > 60 || own.MessagesPerS > 1500 {
		t.Errorf("each limiter sends to %.0f others, %.0f messages a second", own.Targets, own.MessagesPerS)
	}
}

// Each fault that can be simulated has an effect, and no rule is broken by it.
func TestFaultsBreakNoRule(t *testing.T) {
	t.Parallel()
	retries := scenario.RetryBudget{Ratio: 0.2, Slack: 20, WindowS: 5}
	calm := day(t)
	calm.LengthS, calm.RetryBudget, calm.Faults = 6, retries, nil
	undisturbed := play(t, calm).Events
	kinds := []scenario.FaultKind{
		"kill", "freeze", "cut", "crash", "release", "lost_answers", "slow", "hot_tenant", "kill_all",
	}
	for _, kind := range kinds {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			d := day(t)
			d.LengthS, d.RetryBudget = 6, retries
			d.Faults = []scenario.Fault{{Kind: kind, AtS: 1, ForS: 1.5, Count: 2, Factor: 4}}
			r := play(t, d)
			if !r.Passed() || r.Served() < 0.5 {
				t.Errorf("%s: served %v, broken %v", kind, r.Served(), r.Violations)
			}
			if r.Events == undisturbed {
				t.Errorf("%s: nothing happened", kind)
			}
		})
	}
}

// A sweep is the same whether its days run side by side or not.
func TestSweptDaysAreThoseOfSingleRuns(t *testing.T) {
	t.Parallel()
	d := day(t)
	d.LengthS, d.Faults = 2, nil
	for range 2 {
		points, err := Sweep(context.Background(), &Experiment{Day: d, Parameter: "load", Values: []float64{0.5, 1},
			Policies: []string{Elmspan}, Seeds: 2})
		if err != nil {
			t.Fatal(err)
		}
		one := clone(d)
		one.Seed++
		if err := Vary(one, "load", 0.5); err != nil {
			t.Fatal(err)
		}
		swept, alone := points[0].Results, play(t, one)
		if alone.Events != swept[1].Events || swept[0].Events == alone.Events {
			t.Error("a day in a sweep is another one than alone")
		}
	}
	if err := Vary(d, "nothing", 1); err == nil {
		t.Error("an unknown parameter is taken")
	}
}

// While the servers of one zone of three are not reached, and for some time slow, most
// requests are served within their target, and more than by policies that learn nothing.
// Fails where the outage of each server of a zone has to be found out by itself.
func TestUnreachableZoneIsAvoided(t *testing.T) {
	t.Parallel()
	d := day(t)
	if err := Vary(d, "machines_per_zone", 12); err != nil {
		t.Fatal(err)
	}
	for i := range d.Services {
		d.Services[i].Servers *= 6
	}
	for i := range d.Classes {
		d.Classes[i].PerS *= 4
	}
	d.LengthS = 10
	d.Faults = []scenario.Fault{
		{Kind: "zone_dark", AtS: 2, ForS: 4},
		{Kind: "zone_slow", AtS: 7, ForS: 2, Factor: 4},
	}
	rs := playEach(t, d, "", "two-choices")
	own, other := rs[0], rs[1]
	if !own.Passed() || own.InTarget() < 0.95 || own.InTarget() < other.InTarget() {
		t.Errorf("passed %v, %v in target; two choices have %v", own.Passed(), own.InTarget(), other.InTarget())
	}
	t.Logf("%v in target; two choices have %v", own.InTarget(), other.InTarget())
}
