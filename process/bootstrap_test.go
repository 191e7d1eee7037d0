package process

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"example.org/elmspan/api"
	"example.org/elmspan/controlplane"
)

// What a machine with an empty disk and bootstrap set makes of what the other seeds say.
func TestFounding(t *testing.T) {
	t.Parallel()
	type round = map[string]bool // who answers: whether it took part
	for name, c := range map[string]struct {
		rounds []round
		want   verdict
	}{
		"nobody listens":                            {[]round{{}}, undecided},
		"all begin":                                 {[]round{{"b": false, "c": false}}, firstVoter},
		"all begin, one after the other":            {[]round{{}, {"b": false}, {"c": false}}, firstVoter},
		"one went on meanwhile":                     {[]round{{"b": false}, {"b": true}}, newMember},
		"this one's disk was lost":                  {[]round{{"b": true, "c": true}}, newMember},
		"and another is down":                       {[]round{{"c": true}}, newMember},
		"two disks were lost":                       {[]round{{"b": false, "c": true}}, newMember},
		"two disks were lost, the third is cut off": {[]round{{"b": false}, {"b": false}, {"b": false}}, undecided},
		"the third is back":                         {[]round{{"b": false}, {"b": false}, {"b": false, "c": true}}, newMember},
		"the third has told another":                {[]round{{"b": false}, {"b": true}}, newMember},
	} {
		f := newFounding([]string{"a", "b", "c"}, "a")
		var got verdict
		for i, r := range c.rounds {
			if got != undecided {
				t.Errorf("%s: %v before round %d", name, got, i)
			}
			got = f.round(r)
		}
		if got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// What a machine says of itself: with a member by what that knows, without one nothing
// that keeps others from a first start; one that stays out of the core, or whose member
// is being replaced, may have promised anything.
func TestPast(t *testing.T) {
	t.Parallel()
	founding := &host{}
	founding.founding.Store(true)
	for name, c := range map[string]struct {
		h    *host
		want bool
	}{"no member": {nil, false}, "first start": {founding, false}, "out of the core": {&host{}, true}} {
		if p, err := c.h.History(t.Context(), &api.Empty{}); err != nil || p.MayHaveParticipated != c.want {
			t.Errorf("%s: %+v, %v", name, p, err)
		}
	}
}

// A system starts from empty disks with three addresses, whatever comes first. Later a
// machine, then two at once, come back with empty disks and bootstrap still set: they
// are new members, never the voters of before, whose promises they don't know. (They
// came back under their old names, and two of three would have made a majority that
// knows nothing of what is confirmed.)
func TestBootstrapLeftOn(t *testing.T) {
	t.Parallel()
	c := newCore3(t)
	for _, i := range []int{1, 2, 0} {
		c.start(i, nil)
	}
	c.bring(0, 7)
	c.until(func() bool { return c.votes(0, 7) && c.votes(1, 7) && c.votes(2, 7) })
	lose := func(lost ...int) (before []string) {
		for _, i := range lost {
			before = append(before, c.hosts[i].core().Status().ID)
			c.stops[i]()
			if err := os.RemoveAll(c.dirs[i]); err != nil {
				t.Fatal(err)
			}
		}
		for _, i := range lost {
			c.start(i, nil)
		}
		for _, i := range lost {
			c.until(func() bool { return c.hosts[i].core() != nil })
		}
		return before
	}
	check := func(i int, before []string) {
		t.Helper()
		id := c.hosts[i].core().Status().ID
		if first := fmt.Sprintf("%x", uint64(controlplane.BootstrapID(c.addrs[i]))); id == first || slices.Contains(before, id) {
			t.Fatalf("machine %d has lost its disk and is %s again", i, id)
		}
	}
	before := lose(1)
	check(1, before)
	c.bring(7, 8)
	c.until(func() bool { return c.votes(0, 8) && c.votes(1, 8) && c.votes(2, 8) })
	before = lose(0, 1)
	check(0, before)
	check(1, before)
	if s := c.hosts[2].core().Status(); s.Revision != 8 {
		t.Errorf("what is confirmed is gone: revision %d", s.Revision)
	}
}

// A seed that was ended before it had begun anything, and is there again without
// bootstrap, keeps the others from no first start: it has taken part in nothing. It joins.
// (Where each new id counts as one that took part, nobody begins.)
func TestSeedThatNeverBegan(t *testing.T) {
	t.Parallel()
	c := newCore3(t)
	c.plain = 0
	for i := range c.hosts {
		c.start(i, nil)
	}
	c.bring(0, 7)
	c.until(func() bool { return c.votes(0, 7) && c.votes(1, 7) && c.votes(2, 7) })
}
