package controlplane

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/elmspan/api"
)

// All members were replaced while a process received no updates. A former member is still running
// and reachable, and returns an outdated list of members. Whatever the order of the addresses, the
// process finds a current member and doesn't return to the former ones.
func TestFormerMemberDoesNotMislead(t *testing.T) {
	former, current := []string{"a:1", "b:1", "x:1"}, []string{"c:1", "d:1", "e:1"}
	for _, seeds := range [][]string{former, {"x:1"}, {"a:1", "x:1"}} {
		for _, fallbacks := range [][]string{{"x:1", "c:1"}, {"c:1", "x:1"}} {
			t.Run(fmt.Sprintf("seeds %v, fallbacks %v", seeds, fallbacks), func(t *testing.T) {
				requireCurrentMemberFound(t, seeds, fallbacks, former, current)
			})
		}
	}
}

func requireCurrentMemberFound(t *testing.T, seeds, fallbacks, former, current []string) {
	t.Helper()
	outdated := &api.WatchResponse{Leader: "a:1", Members: former}
	c := &Client{Name: "edge-1"}
	c.SetMembers("", seeds)
	c.SetFallbacks(fallbacks)
	calls := 0
	for ; calls < 40; calls++ {
		member := c.WatchMember()
		if slices.Contains(current, member) {
			c.ObserveWatchResponse(&api.WatchResponse{Lease: true, Leader: "d:1", Members: current})
			break
		}
		if member == "x:1" {
			c.ObserveWatchResponse(outdated)
		}
		c.WatchMemberFailed(member)
	}
	if member := c.WatchMember(); !slices.Contains(current, member) {
		t.Errorf("after %d calls the client watches %s", calls, member)
	}
	c.ObserveWatchResponse(outdated) // a late response
	member, leader := c.WatchMember(), c.selector.leaderCandidate()
	if !slices.Contains(current, member) || leader != "d:1" {
		t.Errorf("after a late response the client watches %s and calls %s as the leader", member, leader)
	}
}

// A process whose only seed is a former member learns the addresses of other members from it.
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
	t.Error("the client never watches another member")
}

// Limiters differ in which member they watch first. When it fails they watch the next one, so that all
// members are tried within the duration of a lease, and after preferredRetryAfter they return to it.
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
			t.Fatalf("limiter %d watches only %v", i, seen)
		}
		c.WatchMemberFailed(c.WatchMember())
		c.selector.switchedAt = time.Now().Add(-2 * preferredRetryAfter)
		if c.WatchMember() != first {
			t.Fatalf("limiter %d does not return to its preferred member", i)
		}
	}
	for addr, limiters := range watchedFirst {
		if limiters < 8 || limiters > 34 {
			t.Errorf("%s is the first choice of %d of 100 limiters", addr, limiters)
		}
	}
}

// When all members have failed repeatedly, the client watches fallbacks known from another source.
func TestFallbacksAreCalledWhenAllMembersFailed(t *testing.T) {
	c := &Client{Name: "edge-1"}
	c.SetMembers("", []string{"a:1", "b:1"})
	c.SetFallbacks([]string{"c:1", "d:1"})
	for failures := range 8 {
		member := c.WatchMember()
		isFallback := member == "c:1" || member == "d:1"
		if isFallback != (failures >= 4) {
			t.Errorf("after %d failures the client watches %s", failures, member)
		}
		if failures < 7 {
			c.WatchMemberFailed(member)
		}
	}
	c.SetMembers("", []string{"e:1"})
	if member := c.WatchMember(); member != "e:1" {
		t.Errorf("the client watches %s, not the member that the control plane reported", member)
	}
}
