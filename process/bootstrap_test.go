package process

import (
	"fmt"
	"slices"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
)

// The verdict of a machine with an empty disk and bootstrap set for the possible answers of the
// other seeds.
func TestBootstrapDecision(t *testing.T) {
	t.Parallel()
	type round = map[string]bool // by seed that answers: whether it has taken part in a term
	for name, c := range map[string]struct {
		rounds []round
		want   bootstrapVerdict
	}{
		"no seed answers":                           {[]round{{}}, undecided},
		"all start":                                 {[]round{{"b": false, "c": false}}, initialVoter},
		"all start, one after another":              {[]round{{}, {"b": false}, {"c": false}}, initialVoter},
		"one has taken part in between":             {[]round{{"b": false}, {"b": true}}, newMember},
		"this machine's disk was lost":              {[]round{{"b": true, "c": true}}, newMember},
		"this machine's disk was lost, one is down": {[]round{{"c": true}}, newMember},
		"two disks were lost":                       {[]round{{"b": false, "c": true}}, newMember},
		"two disks were lost, third unreachable":    {[]round{{"b": false}, {"b": false}, {"b": false}}, undecided},
		"two disks were lost, third reachable again": {
			[]round{{"b": false}, {"b": false}, {"b": false, "c": true}}, newMember,
		},
		"another machine has joined in between": {[]round{{"b": false}, {"b": true}}, newMember},
	} {
		decision := newBootstrapDecision([]string{"a", "b", "c"}, "a")
		var got bootstrapVerdict
		for i, r := range c.rounds {
			if got != undecided {
				t.Errorf("%s: %v before round %d", name, got, i)
			}
			got = decision.observe(r)
		}
		if got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A machine without a member reports that it has taken part in no term, so that it does not
// prevent a first start of others. One that stays out of the control plane or is replacing its
// member reports that it may have taken part.
func TestHistoryWithoutAMember(t *testing.T) {
	t.Parallel()
	bootstrapping := &memberHost{}
	bootstrapping.bootstrapping.Store(true)
	for name, c := range map[string]struct {
		host *memberHost
		want bool
	}{
		"no member configured":     {nil, false},
		"bootstrapping":            {bootstrapping, false},
		"out of the control plane": {&memberHost{}, true},
	} {
		r, err := c.host.History(t.Context(), &api.Empty{})
		if err != nil || r.MayHaveParticipated != c.want {
			t.Errorf("%s: %+v, %v", name, r, err)
		}
	}
}

// Three machines with empty disks bootstrap a system. Later one machine, then two at once, restart
// with empty disks and bootstrap still set. They must become new members: if they returned under
// their old ids, two of three would form a majority without the committed entries.
func TestBootstrapLeftOn(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(1, 2, 0)
	c.replaceConfig(0, 7)
	c.waitForVoters(7)
	checkNew := func(i int, before []string) {
		t.Helper()
		id := c.hosts[i].core().Status().ID
		first := fmt.Sprintf("%x", uint64(controlplane.BootstrapID(c.addrs[i])))
		if id == first || slices.Contains(before, id) {
			t.Fatalf("machine %d has lost its disk and started under its old id %s", i, id)
		}
	}
	before := c.loseDisks(1)
	checkNew(1, before)
	c.replaceConfig(7, 8)
	c.waitForVoters(8)
	before = c.loseDisks(0, 1)
	checkNew(0, before)
	checkNew(1, before)
	if s := c.hosts[2].core().Status(); s.Revision != 8 {
		t.Errorf("committed configuration lost: revision %d, want 8", s.Revision)
	}
}

// A seed that was stopped before it had started a member and restarts without bootstrap does not
// prevent the first start of the others, because it has taken part in no term. It joins them as
// a new member. If having a new id alone counted as having taken part, no machine would start.
func TestBootstrapWithASeedThatHasNoHistory(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.withoutBootstrap = 0
	c.startAll(0, 1, 2)
	c.replaceConfig(0, 7)
	c.waitForVoters(7)
}
