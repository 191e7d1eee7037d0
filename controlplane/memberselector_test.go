package controlplane

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/elmspan/api"
)

// All members were replaced one by one while a process was not informed. A machine that
// left the control plane long ago still runs, is in reach, and still names the members of
// its time. It does not lead the process back to them, whatever comes first: a present member
// is found.
func TestFormerMemberDoesNotMislead(t *testing.T) {
	former, present := []string{"a:1", "b:1", "x:1"}, []string{"c:1", "d:1", "e:1"}
	for _, seeds := range [][]string{former, {"x:1"}, {"a:1", "x:1"}} {
		for _, fallbacks := range [][]string{{"x:1", "c:1"}, {"c:1", "x:1"}} {
			t.Run(fmt.Sprintf("seeds %v, fallbacks %v", seeds, fallbacks), func(t *testing.T) {
				requirePresentMemberFound(t, seeds, fallbacks, former, present)
			})
		}
	}
}

func requirePresentMemberFound(t *testing.T, seeds, fallbacks, former, present []string) {
	t.Helper()
	outdated := &api.WatchResponse{Leader: "a:1", Members: former}
	c := &Client{Name: "edge-1"}
	c.SetMembers("", seeds)
	c.SetFallbacks(fallbacks)
	calls := 0
	for ; calls < 40; calls++ {
		member := c.WatchMember()
		if slices.Contains(present, member) {
			c.ObserveWatchResponse(&api.WatchResponse{Lease: true, Leader: "d:1", Members: present})
			break
		}
		if member == "x:1" {
			c.ObserveWatchResponse(outdated)
		}
		c.WatchMemberFailed(member)
	}
	if member := c.WatchMember(); !slices.Contains(present, member) {
		t.Errorf("after %d calls %s is watched", calls, member)
	}
	c.ObserveWatchResponse(outdated) // a late answer
	member, leader := c.WatchMember(), c.selector.leaderCandidate()
	if !slices.Contains(present, member) || leader != "d:1" {
		t.Errorf("after a late answer %s is watched, %s is believed to lead", member, leader)
	}
}

// A process whose only seed has left the control plane learns from it whom to call.
func TestUnconfirmedMembersAreCalledWhenAllOthersFailed(t *testing.T) {
	c := &Client{Name: "edge-1"}
	c.SetMembers("", []string{"x:1"})
	for range 10 {
		member := c.WatchMember()
		if member == "a:1" {
			return
		}
		if member == "x:1" {
			c.ObserveWatchResponse(&api.WatchResponse{Members: []string{"x:1", "a:1"}})
		}
		c.WatchMemberFailed(member)
	}
	t.Error("no other member is watched")
}

// The member that is watched first differs from limiter to limiter; where it fails the next
// one is watched, and each of them is reached within a lease.
func TestWatchesSpreadOverMembers(t *testing.T) {
	addrs := []string{"a:1", "b:1", "c:1", "d:1", "e:1"}
	watchedFirst := map[string]int{}
	for i := range 100 {
		c := &Client{Name: fmt.Sprint("edge-", i)}
		c.SetMembers("", addrs)
		first := c.WatchMember()
		watchedFirst[first]++
		seen := map[string]bool{}
		for range addrs {
			member := c.WatchMember()
			seen[member] = true
			c.WatchMemberFailed(member)
			c.WatchMemberFailed("another")
		}
		if len(seen) != len(addrs) {
			t.Fatalf("limiter %d watches %v only", i, seen)
		}
		c.WatchMemberFailed(c.WatchMember())
		c.selector.switchedAt = time.Now().Add(-2 * preferredRetryAfter)
		if c.WatchMember() != first {
			t.Fatalf("limiter %d does not go back", i)
		}
	}
	for addr, limiters := range watchedFirst {
		if limiters < 8 || limiters > 34 {
			t.Errorf("%s is watched first by %d of 100", addr, limiters)
		}
	}
}

// Where all members have failed again and again, machines known from another source are watched.
func TestFallbacksAreCalledWhenAllMembersFailed(t *testing.T) {
	c := &Client{Name: "edge-1"}
	c.SetMembers("", []string{"a:1", "b:1"})
	c.SetFallbacks([]string{"c:1", "d:1"})
	for failures := range 8 {
		member := c.WatchMember()
		isFallback := member == "c:1" || member == "d:1"
		if isFallback != (failures >= 4) {
			t.Errorf("after %d failures %s is watched", failures, member)
		}
		if failures < 7 {
			c.WatchMemberFailed(member)
		}
	}
	c.SetMembers("", []string{"e:1"})
	if member := c.WatchMember(); member != "e:1" {
		t.Errorf("%s is watched, not the member that the control plane names", member)
	}
}
